"""Steps of node_open_queue.feature."""

from behave import given, then, when

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.steering.frame import AgentReport, FrameKind, Load
from cumindrift.steering.packet import SYN_COPIES_S
from features.builders.core import FULL, logged_lines
from features.builders.node import SYN, URGENT_ADDRESS, agent_ip, flow_key

FIRST_PORT = 41000


def port_of(number):
    """Returns the port of a client; the first one has number 1."""
    return FIRST_PORT + number


def send_syns(context, count, **changes):
    """Sends SYNs of clients that have sent none yet."""
    known = getattr(context, 'client_count', 0)
    context.client_count = known + count
    for number in range(known + 1, known + count + 1):
        context.bench.now_s += 0.0001
        context.bench.packet(SYN, port=port_of(number), **changes)
        yield number


def send_copies(context, waited_s):
    """Sends the copies that clients send after each of their delays."""
    if not getattr(context, 'sends_copies', True):
        return
    sent = getattr(context, 'copies_sent', 0)
    if sent < len(SYN_COPIES_S) and waited_s >= SYN_COPIES_S[sent]:
        context.copies_sent = sent + 1
        for number in range(1, context.client_count + 1):
            context.bench.packet(SYN, port=port_of(number))


@given(
    'a route with a time limit of {limit_s:g} s '
    'and a target latency of {latency_s:g} s'
)
def step_limits(context, limit_s, latency_s):
    context.bench.put_limits(RequestLimits(limit_s, latency_s))


@when('{count:d} clients send a SYN and all agents are full')
def step_full(context, count):
    for _ in send_syns(context, count):
        context.bench.refuse_all()


@when(
    '{count:d} clients send a SYN whose later copies do not come, '
    'and all agents are full'
)
def step_moved(context, count):
    context.sends_copies = False
    step_full(context, count)


@then('the balancer has logged {event} once')
def step_logged(context, event):
    assert len(logged_lines(context.bench.events, event)) == 1


@when('{count:d} clients send an urgent SYN and all agents are full')
def step_urgent(context, count):
    if not context.bench.limits:
        context.bench.put_limits(RequestLimits(2.0))
    for _ in send_syns(context, count, service_port=URGENT_ADDRESS.port):
        context.bench.refuse_all()


@when('{count:d} clients send a SYN')
def step_clients(context, count):
    context.bench.output.clear()
    list(send_syns(context, count))


@when('client {number:d} sends its SYN again')
def step_again(context, number):
    context.bench.packet(SYN, port=port_of(number))


@when('time goes by until the balancer tries again')
def step_pass_until(context):
    for _ in range(10):
        if not context.bench.output.sent:
            context.bench.pass_time(0.02)
    assert context.bench.output.sent


@when('{seconds:g} s go by at the balancer')
def step_pass(context, seconds):
    context.bench.pass_time(seconds)


@when('{seconds:g} s go by at the balancer and all agents are full')
def step_pass_full(context, seconds):
    bench = context.bench
    context.tried = []
    started_s = bench.now_s
    for _ in range(round(seconds / 0.02)):
        bench.pass_time(0.02)
        send_copies(context, bench.now_s - started_s)
        context.tried.extend(bench.refuse_all())


@when('the agents take what is sent')
def step_take(context):
    bench = context.bench
    taken = list(bench.output.sent)
    bench.output.clear()
    for ip, message in taken:
        report = AgentReport(FrameKind.HELD, message.packet[12:24])
        bench.core.on_report(ip, report, bench.now_s)


@when('agent 1 was full 2 s ago, and the others take {other_ms:d} ms')
def step_old_report(context, other_ms):
    bench = context.bench
    monitor = bench.core.agent_monitor
    monitor.on_report(agent_ip(1), FULL, bench.now_s - 2.0)
    for number in (2, 3):
        load = Load(1, 0, other_ms, 7)
        monitor.on_report(agent_ip(number), load, bench.now_s)


@then('{count:d} SYN is sent')
@then('{count:d} SYNs are sent')
def step_sent(context, count):
    keys = getattr(context, 'tried', None)
    found = len(context.bench.output.sent) if keys is None else len(keys)
    assert found == count, found


@then('the SYN of client {number:d} is sent')
def step_sent_first(context, number):
    (sent,) = context.bench.output.sent
    assert sent[1].packet[12:14] == flow_key(port_of(number))[:2]


@then('{count:d} clients are reset')
def step_resets(context, count):
    assert len(context.bench.output.resets) == count


@then('client {number:d} is reset')
def step_reset(context, number):
    (key,) = context.bench.output.resets
    assert key[:2] == flow_key(port_of(number))[:2]
