"""Steps of node_balancer.feature."""

from types import SimpleNamespace

from behave import given, then, when

from cumindrift.port import DRAIN_MAX
from cumindrift.steering.frame import FrameKind, Load, service_digest
from cumindrift.steering.packet import SYN_COPIES_S
from cumindrift.steering.role import drain_and_tick
from features.builders.core import BalancerBench, InputPort
from features.builders.node import (
    ACK,
    SERVICE,
    SYN,
    agent_ip,
    client_packet,
    flow_key,
)


@given('a balancer that knows {count:d} agents')
def step_balancer(context, count):
    context.bench = BalancerBench(count)


@given('a balancer that has read nothing from the store')
def step_blank(context):
    bench = context.bench = BalancerBench()
    bench.directory.has_agents = False
    bench.put_agents(0)
    bench.directory.has_agents = False


@given(
    'agent 1 reports {first:d} ms, agent 2 reports {second:d} ms, '
    'agent 3 reports {third:d} ms'
)
def step_reports(context, first, second, third):
    for number, response_ms in enumerate((first, second, third), start=1):
        load = Load(1, 0, response_ms, 7)
        context.bench.report(number, FrameKind.PONG, load=load)


@given('a flow that agent {number:d} holds')
def step_flow(context, number):
    context.bench.open_flow(number)


@given('a manifest that sends the address to another service')
def step_other_service(context):
    context.bench.put_manifest(4, 'asiakirja')


@when('the client sends a SYN')
def step_syn(context):
    context.bench.packet(SYN)


@when('the client sends a SYN to an address without a route')
def step_no_route(context):
    context.bench.packet(SYN, service_port=9)


@when('the client sends a SYN from another port')
def step_other_port(context):
    context.bench.packet(SYN, port=40002)


@when('agent {number:d} answers a ping')
def step_pong(context, number):
    context.bench.report(number, FrameKind.PONG)


@then('it is cut off')
def step_cut(context):
    assert context.bench.core.agent_monitor.is_cut_off(context.bench.now_s)


@then('it is not cut off')
def step_not_cut(context):
    assert not context.bench.core.agent_monitor.is_cut_off(context.bench.now_s)


@when('the client sends data')
def step_data(context):
    context.bench.packet(ACK, payload=b'GET', acknowledged=7001)


@when('agent {number:d} refuses it whenever it comes, for {seconds:g} s')
def step_refuses(context, number, seconds):
    bench = context.bench
    start_s = bench.now_s
    seen = 0
    context.reset_after_s = None
    copies_s = list(SYN_COPIES_S)
    while bench.now_s < start_s + seconds:
        if copies_s and bench.now_s - start_s >= copies_s[0]:
            # A client that waits sends its SYN again.
            copies_s.pop(0)
            bench.packet(SYN)
        if len(bench.output.sent) > seen:
            seen = len(bench.output.sent)
            bench.report(number, FrameKind.REFUSED, client_packet(SYN))
        bench.pass_time(0.02)
        if bench.output.resets and context.reset_after_s is None:
            context.reset_after_s = bench.now_s - start_s


@when('agent {number:d} reports that it holds the flow')
def step_holds(context, number):
    context.bench.report(number, FrameKind.HELD)


@when('agent {number:d} assumes that it holds the flow')
def step_assumes(context, number):
    context.bench.report(number, FrameKind.HELD, is_authoritative=False)


@when('agent {number:d} is sure that it holds the flow')
def step_sure(context, number):
    context.bench.report(number, FrameKind.HELD, is_authoritative=True)


@when('agent {number:d} returns data of the flow')
def step_returns(context, number):
    octets = client_packet(ACK, payload=b'GET', acknowledged=7001)
    context.bench.report(number, FrameKind.RETURNED, octets)


@when('the coordinator reports that all agents deny the flow')
def step_not_found(context):
    context.bench.report(1, FrameKind.NOT_FOUND, is_authoritative=True)


@when("the coordinator's own target does not hold the flow")
def step_coordinator_absent(context):
    context.bench.report(1, FrameKind.ABSENT, is_authoritative=True)


@when('the coordinator reports that all agents deny it, and another one joined')
def step_appeared(context):
    step_not_found(context)
    context.bench.put_agents(4)


@when('the current list of agents arrives')
def step_verified(context):
    bench = context.bench
    bench.core.locator.on_agents_listed(bench.now_s + 0.01)


@when('agent {number:d} reports manifest {version:d}')
def step_newer(context, number, version):
    context.bench.report(number, FrameKind.PONG, manifest_version=version)


def catch_up(context, answers, waiting):
    """Drains the ports and ticks after half a second without a read."""
    bench = context.bench
    bench.now_s += 0.5
    node = SimpleNamespace(
        clock=lambda: bench.now_s,
        input_ports=[InputPort(answers, waiting)],
    )
    drain_and_tick(node, bench.core)


@when("the balancer is busy for 0.5 s while the agent's answer waits")
def step_busy(context):
    bench = context.bench
    first = bench.output.sent[0][0]
    numbers = [n for n in (1, 2, 3) if agent_ip(n) == first]
    catch_up(context, lambda: bench.report(numbers[0], FrameKind.HELD), 1)


@when('the balancer is busy for 0.5 s while more waits than it reads at once')
def step_busier(context):
    catch_up(context, lambda: None, DRAIN_MAX)


@then('the frames sent are {kinds}')
def step_kinds(context, kinds):
    found = context.bench.kinds_sent()
    assert found == kinds.split(', '), found


@then('{count:d} {kind} frames were sent')
def step_count(context, count, kind):
    found = context.bench.kinds_sent()
    assert found == [kind] * count, found


@then('the search names {count:d} agents')
def step_names(context, count):
    assert len(context.bench.output.sent[0][1].candidate_ips) == count


@when('another agent has joined')
def step_another(context):
    context.bench.put_agents(4)


@then('the last search names {count:d} agents')
def step_names_last(context, count):
    assert len(context.bench.output.sent[-1][1].candidate_ips) == count


@then('each went to another agent')
def step_spread(context):
    ips = [ip for ip, _ in context.bench.output.sent]
    assert len(set(ips)) == len(ips), ips


@then("the first frame names {count:d} candidates and the service's digest")
def step_candidates(context, count):
    _, message = context.bench.output.sent[0]
    assert len(message.candidate_ips) == count
    assert message.service_digest == service_digest(SERVICE)


@then('the frame goes to agent {number:d}')
@then('the last frame goes to agent {number:d}')
def step_goes(context, number):
    assert context.bench.output.sent[-1][0] == agent_ip(number)


@then('the SYN went to {count:d} agents')
def step_went(context, count):
    ips = {
        ip
        for ip, message in context.bench.output.sent
        if message.kind is FrameKind.OPEN
    }
    assert len(ips) == count, ips


@then('{count:d} agent is pinged')
def step_pinged(context, count):
    context.bench.pass_time(0.3)
    ips = {
        ip
        for ip, message in context.bench.output.sent
        if message.kind is FrameKind.PING
    }
    assert len(ips) >= count, ips


@then('the SYN went to the only agent {count:d} times or more')
def step_times(context, count):
    assert context.bench.kinds_sent().count('OPEN') >= count


@then("the client's attempt is reset after {low_s:g} s to {high_s:g} s")
def step_reset_after(context, low_s, high_s):
    assert low_s <= context.reset_after_s <= high_s, context.reset_after_s


@then("the client's attempt is reset at once")
def step_reset_attempt(context):
    assert len(context.bench.output.resets) == 1


@then("the client's flow is reset at once")
def step_reset_flow(context):
    assert context.bench.output.resets == [flow_key()]


@then('nothing is sent and nothing is reset')
def step_nothing(context):
    assert not context.bench.output.sent
    assert not context.bench.output.resets


@then('no flow is reset yet')
def step_not_yet(context):
    assert not context.bench.output.resets


@then('the manifest is requested')
def step_manifest(context):
    assert context.bench.output.manifests == 1


@then('no entry is removed')
def step_none_removed(context):
    assert not context.bench.output.removed


@when('{seconds:g} s go by while agent {number:d} answers')
def step_pass_answered(context, seconds, number):
    bench = context.bench
    end_s = bench.now_s + seconds
    while bench.now_s < end_s:
        bench.report(number, FrameKind.PONG)
        bench.pass_time(min(0.3, end_s - bench.now_s))


@then('{count:d} entries are removed')
def step_removed(context, count):
    assert len(set(context.bench.output.removed)) == count


@when('the entry of agent {number:d} vanishes')
def step_entry_vanishes(context, number):
    directory = context.bench.directory
    directory.apply_agents(
        {
            name: entry
            for name, entry in directory.agents.items()
            if entry.ip != agent_ip(number)
        }
    )


@then('agent {number:d} is told within {seconds:g} s that it has no entry')
def step_told(context, number, seconds):
    context.bench.pass_time(seconds)
    told = [
        ip
        for ip, message in context.bench.output.sent
        if message.kind is FrameKind.ENTRY_MISSING
    ]
    assert told == [agent_ip(number)], told
