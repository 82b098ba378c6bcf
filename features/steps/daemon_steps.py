"""Steps of daemon.feature."""

from socket import AF_INET, SOCK_DGRAM, socket

from attrs import evolve
from behave import given, then, when

from cumindrift.address import Endpoint
from cumindrift.daemon import run_process
from cumindrift.document import structure
from cumindrift.membership.message import Records, Sender, membership
from cumindrift.membership.supervisor import build_membership
from cumindrift.settings.process import ProcessSettings
from features.builders.document import process_fields
from features.builders.peer import peer_context

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


@then('it exits at once with code {code:d}')
def step_ends(context, code):
    assert context.exit_code == code, context.exit_code


@given('a process that runs as balancer-1')
def step_runs(context):
    context.stops = []
    context.process = peer_context()
    context.process.request_stop = lambda: context.stops.append('stop')
    build_membership(context.process)


@when('it receives the record of a later balancer-1 at another address')
def step_later_record(context):
    me = context.process.me
    later = evolve(
        me,
        incarnation=me.incarnation + 1000,
        endpoint=Endpoint('127.0.0.9', 7100),
    )
    sender = Sender(later.claim(), later.endpoint)
    receive = context.process.receivers[membership.number]
    for _ in range(2):
        receive(Records(sender, (later,)), 1.0)


@then('it has requested a graceful stop once')
def step_asked(context):
    assert context.stops == ['stop'], context.stops
