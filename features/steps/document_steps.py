"""Steps of document.feature."""

import json

from behave import given, then, when

from cumindrift.document import parse_document, parse_strict_document
from cumindrift.outcome import Done, Refused
from cumindrift.settings.process import ProcessSettings
from features.builders.document import process_fields


def faulty_text(fault: str) -> str:
    """Returns a settings file with the fault that a scenario names."""
    whole = json.dumps(process_fields())
    target = dict(process_fields()['target'], slots='four')
    texts = {
        'a duplicate key': whole.replace('{', '{"role": "agent", ', 1),
        'an unknown field': json.dumps(process_fields(rolle='agent')),
        'a text as slots': json.dumps(process_fields(target=target)),
        'a bad address': json.dumps(process_fields(peer='127.0.0.1')),
        'a short key': json.dumps(process_fields(keys=['00ff'])),
        'a missing brace': whole[:-1],
        'comments': f'// the first agent\n{whole}',
    }
    return texts[fault]


@given('a process settings file with {fault}')
def step_file(context, fault):
    context.file_text = faulty_text(fault)


@when('it is parsed')
def step_read(context):
    context.outcome = parse_document(context.file_text, ProcessSettings)


@when('it is parsed as JSON without comments')
def step_read_strict(context):
    context.outcome = parse_strict_document(context.file_text, ProcessSettings)


@then('it is refused with code {code:d} at {path}')
def step_refused(context, code, path):
    assert isinstance(context.outcome, Refused), context.outcome
    assert (context.outcome.code, context.outcome.path) == (code, path), (
        context.outcome
    )


@then('it is accepted')
def step_accepted(context):
    assert isinstance(context.outcome, Done), context.outcome
