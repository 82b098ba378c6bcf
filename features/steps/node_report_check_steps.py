"""Steps of node_report_check.feature."""

from attrs import evolve
from behave import given, then, when

from cumindrift.steering.frame import AgentReport, FrameKind, Load
from features.builders.node import agent_ip

PLAIN = Load(3, 1, 40, 2)
ODD_LOADS = {
    '5000 percent penalty': evolve(PLAIN, failure_percent=5000),
}


def send(context, number, incarnation, load=PLAIN):
    """Passes a report of an agent to the balancer."""
    bench = context.balancer.bench
    report = AgentReport(FrameKind.PONG, incarnation=incarnation, load=load)
    bench.core.on_report(agent_ip(number), report, bench.now_s)


def loads_of(context):
    """Returns what the balancer knows of all agents."""
    loads = context.balancer.bench.core.agent_monitor.loads
    return {
        ip: (load.last_report, load.reported_s) for ip, load in loads.items()
    }


@given('agent {number:d} has reported incarnation {incarnation:d}')
def step_reported(context, number, incarnation):
    send(context, number, incarnation)
    context.known_loads = loads_of(context)


@when('it gets a report of incarnation {incarnation:d} from agent {number:d}')
def step_incarnation(context, incarnation, number):
    send(context, number, incarnation, evolve(PLAIN, busy_count=2))


@when('it gets a report of {what} from agent {number:d}')
def step_odd(context, what, number):
    send(context, number, 5, ODD_LOADS[what])


@then('the loads are as before')
def step_same(context):
    assert loads_of(context) == context.known_loads


@then('the loads have changed')
def step_changed(context):
    assert loads_of(context) != context.known_loads


@then('{event} is logged at that balancer')
def step_logged(context, event):
    assert context.balancer.logged(event)
