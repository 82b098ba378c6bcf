"""Steps of node_outlier.feature, node_room.feature and node_outlook.feature."""

from behave import given, then, when

from cumindrift.steering.frame import FrameKind, Load
from features.builders.core import AgentBench, logged_lines
from features.builders.hard_load import LoadedAgent, LoadedBalancer
from features.builders.node import agent_ip

EJECTED = Load(1, 0, 40, 7, 1000)
# The clock of a bench when it is built.
STARTED_S = 100.0


@given('an agent that judges its target')
def step_judging_agent(context):
    context.agent = LoadedAgent()


@given('an agent that judges its target of {slots:d} slots')
def step_agent_with_slots(context, slots):
    context.agent = LoadedAgent(slots)


@given('an agent that trusts its target')
def step_trusting_agent(context):
    context.agent = LoadedAgent()
    context.agent.bench.core.state.judges_target = False


@given('{count:d} requests in progress')
def step_requests(context, count):
    first = context.agent.last_port + 1
    for _ in range(count):
        assert context.agent.request()
    context.busy_ports = list(range(first, first + count))


@given('{count:d} requests in progress and {urgent_count:d} urgent ones')
def step_both(context, count, urgent_count):
    step_requests(context, count)
    for _ in range(urgent_count):
        assert context.agent.request('urgent')
        context.busy_ports.append(context.agent.last_port)


@given('requests that take {seconds:g} s each')
def step_work(context, seconds):
    for _ in range(3):
        context.agent.request()
        context.agent.answer(seconds)
    context.agent.beat()


@when('the target resets {count:d} requests')
def step_resets(context, count):
    for _ in range(count):
        context.agent.request()
        context.agent.fail()


@when('the target drains and resets {count:d} requests')
def step_draining(context, count):
    agent = context.agent
    for _ in range(count):
        agent.request()
    agent.bench.send_heartbeat(is_draining=True, slots=2, sequence=200_000)
    for port in range(agent.last_port - count + 1, agent.last_port + 1):
        agent.last_port = port
        agent.fail()


@when('the target answers {count:d} requests')
def step_answers(context, count):
    for _ in range(count):
        assert context.agent.request()
        context.agent.answer()


@when('the target answers {count:d} of its requests')
def step_answers_some(context, count):
    for _ in range(count):
        context.agent.answer(0.01, context.busy_ports.pop(0))


@when('{count:d} clients give up after {seconds:g} s')
def step_give_up(context, count, seconds):
    for _ in range(count):
        context.agent.request()
        context.agent.give_up(seconds)
        context.agent.beat()


@when('{count:d} trials fail, each right after the ejection')
def step_trials(context, count):
    for _ in range(count):
        until_s = context.agent.bench.core.state.outlier.ejection_s()
        context.agent.wait(until_s + 0.01)
        assert context.agent.request()
        context.agent.fail()


@when('{seconds:g} s go by at that agent')
def step_wait(context, seconds):
    context.agent.wait(seconds)


@when('{seconds:g} s go by without an end of a request')
def step_wait_busy(context, seconds):
    context.agent.bench.now_s += seconds
    context.agent.beat()


@when('{count:d} flows are opened at once')
def step_open_many(context, count):
    context.admitted = [context.agent.open() for _ in range(count)]


@when('{count:d} urgent flows are refused')
def step_refused(context, count):
    for _ in range(count):
        assert not context.agent.open('urgent')


@when('{count:d} urgent flows are refused each {gap_s:g} s for {seconds:g} s')
def step_refused_long(context, count, gap_s, seconds):
    agent = context.agent
    for _ in range(round(seconds / gap_s)):
        agent.bench.now_s += gap_s
        agent.beat()
        # Urgent flows whose request does not come leave, others come.
        agent.bench.core.state.table.work.drop_stale(agent.bench.now_s)
        while agent.open('urgent'):
            pass
        for _ in range(count - 1):
            assert not agent.open('urgent')
    agent.give_up(0.0, context.busy_ports.pop(0))


@when(
    '{count:d} requests begin together and the target takes {seconds:g} s '
    'for each pair'
)
def step_pairs(context, count, seconds):
    agent = context.agent
    first = agent.last_port + 1
    for _ in range(count):
        agent.request()
    for number in range(count):
        is_new_pair = number % 2 == 0
        agent.answer(seconds if is_new_pair else 0.0, first + number)


@then('{count:d} of them are admitted')
def step_count(context, count):
    assert sum(context.admitted) == count, context.admitted


@then('a flow is admitted')
def step_admitted(context):
    assert context.agent.open()


@then('no flow is admitted')
def step_not_admitted(context):
    assert not context.agent.open()


@then('an urgent flow is admitted')
def step_urgent_admitted(context):
    assert context.agent.open('urgent')


@then('an urgent flow is not admitted')
def step_urgent_not_admitted(context):
    assert not context.agent.open('urgent')


@then('a forced flow is admitted')
def step_forced(context):
    assert context.agent.open(is_forced=True)


@then('the reported penalty is {percent:d} percent')
def step_penalty(context, percent):
    load = context.agent.bench.reported_load()
    assert load.failure_percent == percent, load.failure_percent


@then('the reported response time is from {low:d} to {high:d} ms')
def step_response(context, low, high):
    load = context.agent.bench.reported_load()
    assert low <= load.response_ms <= high, load.response_ms


@then('the agent has logged {event}')
def step_logged(context, event):
    assert logged_lines(context.agent.bench.events, event)


@then('the agent has not logged {event}')
def step_not_logged(context, event):
    assert not logged_lines(context.agent.bench.events, event)


@given('a busy balancer that judges targets')
def step_balancer(context):
    context.balancer = LoadedBalancer()


@given('a busy balancer that trusts targets')
def step_trusting_balancer(context):
    context.balancer = LoadedBalancer(judges_targets=False)


@when('{count:d} of its 3 agents report an ejection')
def step_ejections(context, count):
    for number in range(1, count + 1):
        context.balancer.bench.report(number, FrameKind.PONG, load=EJECTED)


@when('{seconds:g} s go by at that balancer')
def step_wait_balancer(context, seconds):
    context.balancer.bench.pass_time(seconds)


@then('the next SYN is {state}')
def step_forced_syn(context, state):
    context.balancer.send()
    _, message = context.balancer.bench.output.sent[-1]
    assert message.is_forced is (state == 'forced')


@then('the cost of agent {number:d} has no penalty')
def step_no_penalty(context, number):
    bench = context.balancer.bench
    load = bench.core.agent_monitor.load_of(agent_ip(number))
    assert not load.penalty_percent(bench.now_s)


@when('{sent:d} SYNs come for each one that finds room, for {seconds:g} s')
def step_overload(context, sent, seconds):
    context.balancer.play(seconds, sent, 1)


@when('{sent:d} SYNs come for each {taken:d} that find room, for {seconds:g} s')
def step_surge(context, sent, taken, seconds):
    context.balancer.play(seconds, sent, taken)


@when('no target takes anything for {seconds:g} s')
def step_outage(context, seconds):
    context.balancer.play(seconds, 1, 0)


@when(
    'an urgent SYN waits while {sent:d} SYNs come for each one that finds '
    'room, for {seconds:g} s'
)
def step_urgent_waits(context, sent, seconds):
    context.balancer.play(0.5, sent, 1)
    context.urgent_key = context.balancer.send(is_urgent=True)
    context.balancer.bench.refuse_all()
    context.balancer.play(seconds, sent, 1)


@when('{count:d} usual SYNs wait')
def step_usual_wait(context, count):
    for _ in range(count):
        context.balancer.send()
        context.balancer.bench.refuse_all()


@when('an urgent SYN comes')
def step_urgent_comes(context):
    context.urgent_key = context.balancer.send(is_urgent=True)


@then('it is sent at once')
def step_sent_at_once(context):
    sent = context.balancer.bench.output.sent
    assert context.urgent_key in [message.packet[12:24] for _, message in sent]


@then('the urgent client has not been reset')
def step_urgent_kept(context):
    assert context.urgent_key not in context.balancer.bench.output.resets


@then('{count:d} clients have been reset')
def step_reset_count(context, count):
    assert len(context.balancer.bench.output.resets) == count


@then(
    'the clients that were reset in the last second had waited '
    'from {low:g} to {high:g} s'
)
def step_waited(context, low, high):
    lines = context.balancer.logged('open-reset')
    end_s = context.balancer.bench.now_s
    waited = [line['waited_s'] for line in lines if line['up_s'] > end_s - 1]
    assert waited
    # One may have come while others were refused for a full queue.
    assert low <= min(waited) <= max(waited) <= high, waited


@then('none was reset early in the first {seconds:g} s')
def step_not_early(context, seconds):
    lines = context.balancer.logged('open-reset')
    until_s = STARTED_S + seconds
    waited = [line['waited_s'] for line in lines if line['up_s'] < until_s]
    assert all(waited_s >= 1.0 for waited_s in waited), waited


@then('{event} has been logged')
def step_event(context, event):
    assert context.balancer.logged(event)


@given('an agent that judges its target, which has not come yet')
def step_no_target(context):
    context.agent = LoadedAgent()
    context.agent.bench = AgentBench(judges_target=True)


@when('a flow is opened')
def step_open_one(context):
    assert not context.agent.open()


@when('the target sends its first heartbeat')
def step_first_heartbeat(context):
    context.agent.bench.output.clear()
    context.agent.beat()


@then('the balancer is told that the target {what}')
def step_told(context, what):
    _, report = context.agent.bench.output.reports[-1]
    assert bool(report.load.slots) is (what == 'serves')
