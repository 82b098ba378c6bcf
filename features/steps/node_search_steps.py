"""Steps of node_search.feature."""

from itertools import islice

from behave import given, then, when

from cumindrift.fleet.ring import KeeperRing
from cumindrift.steering.frame import AgentReport, FrameKind
from features.builders.node import (
    ACK,
    BALANCER_IP,
    agent_ip,
    client_packet,
    flow_key,
    forwarded,
    opening,
)

KEEPER_IPS = ('10.1.2.1', '10.1.2.2')
COORDINATOR_IP = '10.1.2.9'


def numbers_of(text):
    """Parses a list of numbers such as 1, 2, 4."""
    return [int(number) for number in text.split(', ')]


def deny(context, numbers, non_authoritative=()):
    """Delivers reports that agents do not hold the flow."""
    bench = context.bench
    for number in numbers:
        is_authoritative = number not in non_authoritative
        report = AgentReport(
            FrameKind.ABSENT, flow_key(), is_authoritative=is_authoritative
        )
        bench.core.on_report(agent_ip(number), report, bench.now_s)


@given('agent {number:d} has sent its holder record of the flow')
def step_said(context, number):
    bench = context.bench
    report = AgentReport(FrameKind.HOLDER_RECORD, flow_key())
    bench.core.on_report(agent_ip(number), report, bench.now_s)


@when('a balancer requests a search among {count:d} agents')
def step_delegated_search(context, count):
    octets = client_packet(ACK, payload=b'GET', acknowledged=7001)
    ips = tuple(agent_ip(number) for number in range(1, count + 1))
    message = forwarded(octets, FrameKind.DELEGATED_SEARCH, candidate_ips=ips)
    context.bench.receive(message)


@when('agents {numbers} deny the flow')
def step_deny(context, numbers):
    numbers, _, non_authoritative = numbers.partition(' deny the flow, ')
    deny(
        context,
        numbers_of(numbers),
        numbers_of(non_authoritative) if non_authoritative else (),
    )


@when(
    'agents {numbers} deny the flow, agent {non_authoritative:d} '
    'not authoritatively'
)
def step_deny_non_authoritative(context, numbers, non_authoritative):
    deny(context, numbers_of(numbers), (non_authoritative,))


@when('a coordinator asks for a flow that it does not hold')
@when('a coordinator asks for a flow that it holds')
def step_asked(context):
    octets = client_packet(ACK, payload=b'GET', acknowledged=7001)
    message = forwarded(octets, FrameKind.SEARCH, sender_ip=COORDINATOR_IP)
    context.bench.receive(message)


@when('a SYN arrives that names two record keepers')
def step_keepers(context):
    context.bench.receive(opening(keeper_ips=KEEPER_IPS))


@given('a ring of {count:d} agents')
def step_ring(context, count):
    context.ips = [agent_ip(number) for number in range(1, count + 1)]
    context.ring = KeeperRing(context.ips)


@when('an agent joins')
def step_joins(context):
    context.other = KeeperRing([*context.ips, agent_ip(200)])


@then('it asks agents {numbers}')
def step_asks(context, numbers):
    sent = context.bench.output.sent
    assert {message.kind for _, message in sent} == {FrameKind.SEARCH}
    assert {message.origin_ip for _, message in sent} == {BALANCER_IP}
    found = [ip for ip, _ in sent]
    assert found == [agent_ip(n) for n in numbers_of(numbers)], found


@then('the coordinator gets the report ABSENT')
def step_coordinator_report(context):
    ((ip, report),) = context.bench.output.reports
    assert (ip, report.kind) == (COORDINATOR_IP, FrameKind.ABSENT)


@then('both record keepers get the report HOLDER_RECORD')
def step_keepers_notified(context):
    reports = context.bench.output.reports
    ips = [
        ip for ip, report in reports if report.kind is FrameKind.HOLDER_RECORD
    ]
    assert ips == list(KEEPER_IPS), ips


@then('no record keeper is notified')
def step_no_keeper(context):
    assert 'HOLDER_RECORD' not in context.bench.output.report_kinds()


@then('fewer than {most:d} of {count:d} flows have another first record keeper')
def step_few(context, most, count):
    keys = [flow_key(port) for port in range(count)]
    moved = sum(
        next(context.ring.order(key)) != next(context.other.order(key))
        for key in keys
    )
    assert moved < most, moved


@then('each flow has two record keepers')
def step_two(context):
    for port in range(200):
        keepers = set(islice(context.ring.order(flow_key(port)), 2))
        assert len(keepers) == 2, keepers
