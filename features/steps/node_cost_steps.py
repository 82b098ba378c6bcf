"""Steps of node_cost.feature."""

from behave import given, then, when

from features.builders.ranking import HERE, SpreadAgents


@given(
    'agents of {slots:d} slots that take {work_ms:d} ms, '
    'one here and one elsewhere'
)
def step_two(context, slots, work_ms):
    context.agents = SpreadAgents(1, slots, work_ms)


@given(
    'agents of {slots:d} slots that take {work_ms:d} ms, '
    '{count:d} here and as many elsewhere'
)
def step_more(context, slots, work_ms, count):
    context.agents = SpreadAgents(count, slots, work_ms)


@given('none of them has reported, and the host has run for {days:d} days')
def step_long_uptime(context, days):
    bench = context.agents.bench
    bench.core.agent_monitor.loads.clear()
    bench.now_s = days * 86_400.0
    for entry in context.agents.entries:
        bench.core.agent_monitor.load_of(entry.ip)


@given('the balancer trusts targets')
def step_trusts(context):
    context.agents.choose('lightest')


@given('the agent here has {here:d} requests in progress, the other {other:d}')
def step_busy(context, here, other):
    context.agents.report(0, busy_count=here, flow_count=here)
    context.agents.report(1, busy_count=other, flow_count=other)


@given('the agent here has a penalty of {percent:d} percent')
def step_penalty(context, percent):
    context.agents.report(0, failure_percent=percent)


@when('{count:d} flows come at once')
def step_flows(context, count):
    context.places = [context.agents.place(400) for _ in range(count)]


@then('a flow with a target latency of {latency_ms:d} ms goes {where}')
def step_goes(context, latency_ms, where):
    is_here = context.agents.place(latency_ms) == HERE
    assert is_here is (where == 'here')


@then('an unsafe flow with a target latency of {latency_ms:d} ms goes {where}')
def step_unsafe_goes(context, latency_ms, where):
    place = context.agents.place(latency_ms, is_idempotent=False)
    assert (place == HERE) is (where == 'here')


@then('from {low:d} to {high:d} of them go elsewhere')
def step_shared(context, low, high):
    count = sum(place != HERE for place in context.places)
    assert low <= count <= high, count


@when(
    'the agent here reports {count:d} times, each when it is tried, '
    'that it cannot serve'
)
def step_unable(context, count):
    agents = context.agents
    for _ in range(count):
        agents.wait_until_tried(0)
        agents.report(0, slots=0)


@when('the agent here reports that it can serve')
def step_able(context):
    context.agents.report(0)


@when('{seconds:g} s go by at its balancer')
def step_pass(context, seconds):
    context.agents.bench.now_s += seconds


@then(
    'a flow with a target latency of {latency_ms:d} ms goes elsewhere '
    'for {seconds:g} s'
)
def step_stays_away(context, latency_ms, seconds):
    end_s = context.agents.bench.now_s + seconds
    while context.agents.bench.now_s < end_s:
        assert context.agents.place(latency_ms) != HERE
        context.agents.bench.now_s += 0.1


@when('the agent here reports a response time of {response_ms:d} ms')
def step_slow(context, response_ms):
    context.agents.report(0, response_ms=response_ms)


@then('it is tried again within {seconds:g} s while the other reports')
def step_tried_again(context, seconds):
    agents = context.agents
    end_s = agents.bench.now_s + seconds
    while agents.place(400) != HERE:
        agents.report(1)
        agents.bench.now_s += 0.1
        assert agents.bench.now_s < end_s
