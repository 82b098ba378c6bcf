"""Steps of settings_page.feature."""

import re
from pathlib import Path

from attrs import fields
from behave import given, then

from cumindrift.administration.deployment import collect_deployment_state
from cumindrift.administration.handover import run_handover_checks
from cumindrift.document import parse_text
from cumindrift.outcome import Done
from cumindrift.settings.check import check_tree
from cumindrift.settings.process import (
    ProcessSettings,
    TargetSettings,
    load_process_settings,
)
from cumindrift.settings.token import TokenSettings
from cumindrift.settings.tree import DataCentre, Service, Snapshot, Team
from features.builders.admin import target_member

EXAMPLES = Path('examples')
PAGE = Path('docs/SETTINGS.md')
PROCESS_CLASSES = (ProcessSettings, TargetSettings, TokenSettings)
TREE_CLASSES = (DataCentre, Service, Team)


@given('the examples of {deployment}')
def step_examples(context, deployment):
    context.deployment = deployment
    text = (EXAMPLES / f'{deployment}-tree.jsonc').read_text('utf-8')
    context.checked = check_tree(parse_text(text).content)


@then('the example tree is accepted, with {first} and {second} endpoints')
def step_tree(context, first, second):
    assert isinstance(context.checked, Done), context.checked
    tree = context.checked.content
    (team,) = tree.teams.values()
    found = {
        f'{name}: {sum(service.endpoints.values())}'
        for name, service in team.services.items()
    }
    assert found == {first, second}, found


@then('the example processes are accepted, and match the example tree')
def step_processes(context):
    tree = context.checked.content
    loaded = {}
    for role in ('balancer', 'agent'):
        path = EXAMPLES / f'{context.deployment}-{role}.jsonc'
        loaded[role] = load_process_settings(str(path))
        assert isinstance(loaded[role], Done), loaded[role]
        settings = loaded[role].content
        assert settings.role == role
        assert settings.region == tree.data_centres[settings.data_centre].region
    target = loaded['agent'].content.target
    assert target.service in tree.teams[target.team].services
    holders = {entry.holder for entry in loaded['balancer'].content.tokens}
    assert holders == {'supervisors', *tree.teams}, holders


@then('the example passes all handover checks, also the loss of a data centre')
def step_handover_checks(context):
    tree = context.checked.content
    ((team_name, team),) = tree.teams.items()
    members = [
        target_member(number, place, name, team=team_name)
        for name, service in team.services.items()
        for place, count in service.endpoints.items()
        for number in range(count)
    ]
    versions = {member.endpoint: 1 for member in members}
    deployment = collect_deployment_state(
        Snapshot(1, tree), members, versions, 1
    )
    failed = [
        each for each in run_handover_checks(deployment) if not each.holds
    ]
    assert not failed, failed


@given('the settings page')
def step_page(context):
    context.page = PAGE.read_text('utf-8')


@then('each document on the page is an example, word for word')
def step_word_for_word(context):
    documents = re.findall(r'```jsonc\n(.*?)```', context.page, re.DOTALL)
    examples = [path.read_text('utf-8') for path in EXAMPLES.iterdir()]
    assert sorted(documents) == sorted(examples), len(documents)


@then('each field of the settings is named on the page')
def step_fields(context):
    missing = [
        attribute.name
        for settings_class in (*PROCESS_CLASSES, *TREE_CLASSES)
        for attribute in fields(settings_class)
        if f'`{attribute.name}`' not in context.page
    ]
    assert not missing, missing
