"""Steps of the daemon's feature."""

from socket import AF_INET, SOCK_DGRAM, socket

from behave import given, then, when

from cumindrift.daemon import run_process
from cumindrift.document import structure
from cumindrift.settings.process import ProcessSettings
from features.builders.document import process_fields

FAULTS = {
    'an unknown role': {'role': 'watchman'},
    'an agent without target': {'target': None},
    'a balancer without fabric': {'role': 'balancer', 'target': None},
}


@given('a daemon whose settings have {fault}')
def step_settings(context, fault):
    taken = socket(AF_INET, SOCK_DGRAM)
    taken.bind(('127.0.0.1', 0))
    context.add_cleanup(taken.close)
    port = taken.getsockname()[1]
    fields = process_fields(
        peer=f'127.0.0.1:{port}',
        admin='127.0.0.1:0',
        **FAULTS.get(fault, {}),
    )
    context.settings = structure(fields, ProcessSettings).content


@when('it is started')
def step_start(context):
    context.exit_code = run_process(context.settings)


@then('it ends at once with exit code {code:d}')
def step_ends(context, code):
    assert context.exit_code == code, context.exit_code
