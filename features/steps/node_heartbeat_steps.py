"""Steps of node_heartbeat.feature."""

from behave import given, then, when

from cumindrift.address import Endpoint
from cumindrift.fleet.settings import TargetEndpoints
from cumindrift.steering.frame import FrameKind
from features.builders.core import AgentBench, logged_lines
from features.builders.node import SERVICE, forwarded, heartbeat

PLACE = TargetEndpoints(
    SERVICE,
    heartbeat().packets,
    Endpoint('10.1.0.13', 8162),
    Endpoint('10.1.0.13', 8166),
)
CHANGES = {
    'of another address and a later start': {
        'packets': Endpoint('10.1.0.13', 9),
        'incarnation': 2_000_000,
        'target_id': 'i-9',
    },
    'of another service': {'service': 'asiakirja'},
    'of another service and a later start': {
        'service': 'asiakirja',
        'incarnation': 2_000_000,
        'target_id': 'i-9',
    },
}


@given('an agent with settings, that {known} its target')
def step_agent(context, known):
    context.bench = AgentBench()
    context.bench.core.state.target.place = PLACE
    if known == 'knows':
        context.bench.send_heartbeat()
    context.known = context.bench.core.state.target.last_heartbeat


@when('a heartbeat {what} comes')
def step_heartbeat(context, what):
    context.effect = context.bench.send_heartbeat(**CHANGES[what])


@when('a balancer tells it that it has no entry')
def step_missing(context):
    context.bench.receive(forwarded(b'', FrameKind.ENTRY_MISSING))


@then('its effect is {effect}')
def step_effect(context, effect):
    assert context.effect.value == effect, context.effect


@then('the target is as before')
def step_as_before(context):
    assert context.bench.core.state.target.last_heartbeat is context.known


@then('beat-refused is logged')
def step_logged(context):
    assert logged_lines(context.bench.events, 'beat-refused')


@then('it checks its entry in the store')
def step_checks(context):
    assert context.bench.output.entry_checks == 1
