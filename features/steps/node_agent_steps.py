"""Steps of node_agent.feature."""

import json

from behave import given, then, when

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.fleet.recorder import decode_record
from cumindrift.outcome import Refused
from cumindrift.platform.packet import build_reset, read_from_client
from cumindrift.steering.agent.input_age import InputAge
from cumindrift.steering.frame import FrameKind
from features.builders.core import AgentBench
from features.builders.node import (
    ACK,
    BALANCER_IP,
    FIN,
    RST,
    SYN,
    bounced,
    client_packet,
    flow_key,
    forwarded,
    opening,
    target_packet,
)

CHANGES = {
    'of a lower sequence': {'sequence': 4},
    'of a higher sequence': {'sequence': 6},
    'of an earlier incarnation': {'incarnation': 900_000, 'target_id': 'i-0'},
    'of a later incarnation': {'incarnation': 1_100_000, 'target_id': 'i-2'},
}
EXAMPLE_SYN = bytes.fromhex(
    '00000000a1b2c3d5000001009c41c612000101bb644000071122334400000000',
)
EXAMPLE_RESET = bytes.fromhex(
    '00000000000000000000040001bb644000079c41c61200010000000000000000',
)


@given('an agent whose target serves')
def step_serves(context):
    context.bench = AgentBench()
    context.bench.send_heartbeat()


@given('an agent whose target {state}')
def step_state(context, state):
    bench = context.bench = AgentBench()
    if state == 'is not known yet':
        return
    if state == 'serves another service':
        bench.send_heartbeat(service='asiakirja')
        return
    bench.send_heartbeat(is_draining=state == 'drains')
    if state == 'left':
        bench.core.on_deregistered('i-1')
    if state == 'missed its heartbeats':
        bench.now_s += 5


@given('an agent whose cold target takes {rate:d} new flows a second')
def step_cold(context, rate):
    context.bench = AgentBench()
    context.bench.send_heartbeat(cold_s=60.0)
    context.rate = float(rate)


@given('an agent that restarted while its target ran')
def step_restarted(context):
    context.bench = AgentBench(is_first_start=False, started_ms=2_000_000)
    context.bench.send_heartbeat()


@given('a restarted agent whose target has not started yet')
def step_no_target(context):
    context.bench = AgentBench(is_first_start=False, started_ms=2_000_000)


@when('the target starts within 0.02 s')
def step_starts(context):
    context.bench.pass_time(0.02)
    context.bench.send_heartbeat(incarnation=2_000_500, sequence=1)


@then('the balancer gets no report')
def step_no_report(context):
    assert not context.bench.output.reports, context.bench.output.report_kinds()


@given('an open flow')
def step_open_flow(context):
    context.bench.open_flow()


@given('its target started again')
def step_started_again(context):
    context.bench.send_heartbeat(incarnation=1_500_000, target_id='i-9')


@when('a SYN arrives')
def step_syn(context):
    context.octets = client_packet(SYN)
    context.bench.receive(opening())


@when('a SYN arrives that names no other candidate')
def step_last_syn(context):
    context.octets = client_packet(SYN)
    context.bench.receive(opening(candidate_ips=()))


@when('{count:d} SYNs arrive, one each {gap_s:g} s')
def step_syns(context, count, gap_s):
    bench = context.bench
    context.taken_s = []
    rate = getattr(context, 'rate', 0.0)
    for number in range(count):
        before = len(bench.output.delivered)
        bench.receive(opening(40001 + number, cold_rate=rate))
        if len(bench.output.delivered) > before:
            context.taken_s.append(bench.now_s)
        if len(bench.output.delivered) > before and gap_s:
            bench.from_target(target_packet(SYN | ACK, port=40001 + number))
        bench.now_s += gap_s


@when('the target answers the SYN')
def step_answer(context):
    context.bench.from_target(target_packet(SYN | ACK))


def close_client(context):
    """Delivers the client's FIN to the agent."""
    octets = client_packet(ACK | FIN, sequence=103, acknowledged=7001)
    context.bench.receive(forwarded(octets, FrameKind.TO_HOLDER))


@when('the client closes it')
def step_client_closes(context):
    close_client(context)


@when('the client resets it')
def step_client_resets(context):
    octets = client_packet(RST, sequence=103, acknowledged=7001)
    context.bench.receive(forwarded(octets, FrameKind.TO_HOLDER))


@given('an open flow of a route with a time limit of {limit_s:g} s')
def step_limited_flow(context, limit_s):
    context.bench.open_flow(limits=RequestLimits(limit_s))


@given('{count:d} open flows of a route with a time limit of {limit_s:g} s')
def step_limited_flows(context, count, limit_s):
    for number in range(count):
        context.bench.open_flow(41000 + number, RequestLimits(limit_s))


@when('{seconds:g} s go by without a tick')
def step_no_tick(context, seconds):
    context.bench.now_s += seconds
    context.bench.send_heartbeat(sequence=6)


@when('a SYN arrives from another port')
def step_other_syn(context):
    context.bench.receive(opening(40500))


@when('another flow opens and the target answers its data')
def step_other_answered(context):
    bench = context.bench
    bench.send_heartbeat(sequence=6)
    bench.open_flow(40002)
    octets = target_packet(ACK, port=40002, sequence=7001, payload=b'200')
    bench.from_target(octets)


@when('its target has started again')
def step_restarted_target(context):
    context.bench.send_heartbeat(incarnation=1_500_000, target_id='i-9')


@then('the reported response time is at least {low_ms:d} ms')
def step_response_time(context, low_ms):
    assert context.bench.reported_load().response_ms >= low_ms


@then('the reported cost is raised by {percent:d} %')
def step_penalty(context, percent):
    found = context.bench.reported_load().failure_percent
    assert abs(found - percent) <= 2, found


@when('both ends close it')
def step_close(context):
    close_client(context)
    context.bench.from_target(target_packet(ACK | FIN, sequence=7001))


@when('the client closes again')
def step_close_again(context):
    close_client(context)


@then('the reported load is {count:d} flows')
def step_load(context, count):
    assert context.bench.core.state.table.open_count == count


@when('the target answers the data')
def step_answer_data(context):
    octets = target_packet(ACK, sequence=7001, payload=b'200')
    context.bench.from_target(octets)


@when('the same data arrives again')
def step_again(context):
    context.bench.send_data(FrameKind.TO_HOLDER)


@then('the target has {count:d} requests in progress')
def step_at_work(context, count):
    assert context.bench.core.state.table.work.count == count


@when('the target bounces it')
def step_bounce(context):
    context.bench.from_target(bounced(context.bench.output.delivered[-1]))


@when('a reset comes back for it')
def step_reset_back(context):
    context.bench.from_target(target_packet(RST))


@when('its target starts to drain')
def step_drains(context):
    context.bench.send_heartbeat(is_draining=True, sequence=6)


@when('its target announces its end')
def step_leaves(context):
    context.bench.core.on_deregistered('i-1')


@when('the agent is suspended for {seconds:g} s, and a SYN waits for it')
def step_suspended(context, seconds):
    bench = context.bench
    bench.core.state.input_age = InputAge(lambda: bench.now_s)
    bench.now_s += seconds
    bench.send_heartbeat(sequence=7)
    context.octets = client_packet(SYN)
    bench.receive(opening())


@when('the agent is suspended for {seconds:g} s')
def step_suspended_after(context, seconds):
    context.bench.now_s += seconds
    context.bench.core.tick(context.bench.now_s)


@when('all input has been read')
def step_all_read(context):
    context.bench.core.tick(context.bench.now_s)
    context.bench.output.clear()


@when('{seconds:g} s go by')
def step_pass(context, seconds):
    context.bench.pass_time(seconds)


@when('data of an unknown flow arrives in a search')
def step_search(context):
    context.octets = client_packet(ACK, acknowledged=7001, payload=b'GET')
    context.bench.send_data(FrameKind.SEARCH)


@when('data of the flow arrives')
def step_data(context):
    context.bench.send_data(FrameKind.TO_HOLDER)


@when('data arrives that acknowledges another target')
def step_other(context):
    context.bench.send_data(FrameKind.TO_HOLDER, acknowledged=123456)


@when('data arrives for the earlier incarnation')
def step_earlier(context):
    context.octets = client_packet(ACK, acknowledged=7001, payload=b'GET')
    context.bench.send_data(FrameKind.TO_HOLDER, incarnation=900_000)


@when("the target's process is found to have ended")
def step_gone(context):
    bench = context.bench
    bench.now_s += 1
    bench.core.on_target_gone(bench.now_s, bench.now_s)


@when('a draining heartbeat arrives, {change}')
def step_heartbeat(context, change):
    fields = {'sequence': 6, **CHANGES[change]}
    context.effect = context.bench.send_heartbeat(is_draining=True, **fields)


@then('the record names the flow')
def step_recorded(context):
    record = context.bench.core.crash_recovery.build_record(context.bench.now_s)
    assert record.flows == {flow_key(): 7001}, record.flows
    assert record.incarnation == 1_000_000


@when('the agent and its target lose power')
def step_power(context):
    content = context.bench.core.crash_recovery.build_record(
        context.bench.now_s
    ).encode()
    context.record = decode_record(content).content
    context.bench = AgentBench(is_first_start=False, started_ms=1_400_000)


@when('the agent is killed')
def step_killed(context):
    step_power(context)
    context.bench.send_heartbeat()


@when('the agent reads the record')
def step_reads(context):
    context.bench.core.crash_recovery.on_record(context.record)


@when('the target starts with a later incarnation')
def step_later(context):
    context.bench.send_heartbeat(incarnation=1_500_000, target_id='i-2')


@when('the flow is opened again')
def step_opened_again(context):
    context.bench.open_flow()


@given('a record with the content {content}')
def step_strange_record(context, content):
    context.outcome = decode_record(json.loads(content))


@then('the record is refused')
def step_record_refused(context):
    assert isinstance(context.outcome, Refused), context.outcome


@then('the target got {count:d} packet')
@then('the target got {count:d} packets')
def step_got(context, count):
    assert len(context.bench.output.delivered) == count


@then('the target got {count:d} packet, unchanged')
@then('the target got {count:d} packets, unchanged')
def step_got_same(context, count):
    assert context.bench.output.delivered == [context.octets] * count


@then('the client got {count:d} packet')
@then('the client got {count:d} packets')
def step_client_got(context, count):
    assert len(context.bench.output.answered) == count


@then('the balancer gets the authoritative report {kind}')
def step_authoritative_report(context, kind):
    step_reports(context, kind)
    assert context.bench.output.reports[-1][1].is_authoritative


@then('the balancer gets the report {kind} with the SYN')
def step_report_with_syn(context, kind):
    step_reports(context, kind)
    assert context.bench.output.reports[-1][1].packet == context.octets


@then('the reports to the balancer are {kinds}')
def step_reports(context, kinds):
    output = context.bench.output
    assert output.report_kinds() == kinds.split(', '), output.report_kinds()
    assert {ip for ip, _ in output.reports} == {BALANCER_IP}


@then('the SYN goes to {ip} with {count:d} candidate left')
def step_goes(context, ip, count):
    ((sent_ip, message),) = context.bench.output.sent
    assert sent_ip == ip
    assert len(message.candidate_ips) == count
    assert message.packet == client_packet(SYN)


@then('the target was checked once')
def step_checked(context):
    assert context.bench.output.checks == 1


@then("the client's flow is reset")
def step_reset(context):
    assert context.bench.output.resets == [flow_key()]


@then('no flow is reset')
def step_no_reset(context):
    assert not context.bench.output.resets


@then('the heartbeat is {effect}')
def step_effect(context, effect):
    assert context.effect.value == effect, context.effect


@then('the target got at most {most:d} SYNs in any second')
def step_any_second(context, most):
    taken_s = context.taken_s
    for start_s in taken_s:
        count = sum(start_s <= at_s < start_s + 1 for at_s in taken_s)
        assert count <= most, (count, taken_s)
    assert taken_s


@given('the reference bytes of a SYN')
def step_example(context):
    context.packet = read_from_client(EXAMPLE_SYN)


@then('its reset has the reference bytes')
def step_example_reset(context):
    assert context.packet.is_syn
    assert (
        build_reset(context.packet.flow_key, context.packet.acknowledged)
        == EXAMPLE_RESET
    )
