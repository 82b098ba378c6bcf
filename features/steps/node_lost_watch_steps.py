"""Steps of node_lost_watch.feature."""

from behave import given, then, when

from cumindrift.fleet.call import AnswerTag, StoreItem
from features.builders.lost_watch import AGENT, SilenceRun, StoreBench
from features.builders.node_store import KINDS, LinkBench, agent_entries


@given('{count:d} balancers whose watches the store has lost')
def step_lost(context, count):
    context.benches = [StoreBench(seed) for seed in range(count)]
    for bench in context.benches:
        bench.loses_watches = True
        bench.renew_watches()
        # The moment of a change differs from that of the last check.
        bench.pass_time(3.0 + bench.node.random.random() * 2)


@given('lists of the store that may be stale are {age_s:g} s old')
def step_stale(context, age_s):
    for bench in context.benches:
        bench.model.stale_s = age_s


@when('a manifest is written')
def step_manifest(context):
    for bench in context.benches:
        bench.put_manifest()


@when('an agent registers')
def step_agent(context):
    for bench in context.benches:
        bench.put_agent()


@then('each balancer knows the agent')
def step_knows_agent(context):
    unaware = [
        bench.seed
        for bench in context.benches
        if AGENT not in bench.node.directory.agents
    ]
    assert not unaware, f'{len(unaware)} do not know it: seeds {unaware}'


@when('the store drops its history')
def step_compact(context):
    for bench in context.benches:
        bench.model.compact()


@when('{seconds:g} s go by at the store')
def step_time(context, seconds):
    for bench in context.benches:
        bench.pass_time(seconds)


@given('each of them knows {count:d} agents')
def step_many_agents(context, count):
    for bench in context.benches:
        bench.node.directory.apply_agents(agent_entries(count))


@then('at least one balancer applies the manifest')
def step_one_applied(context):
    assert any(
        bench.node.directory.manifest.version == bench.version
        for bench in context.benches
    )


@then('each balancer applies the manifest')
def step_applied(context):
    late = [
        bench.seed
        for bench in context.benches
        if bench.node.directory.manifest.version != bench.version
    ]
    assert not late, f'{len(late)} are late: seeds {late}'


@given('{count:d} random runs of a balancer whose store is silent at times')
def step_runs(context, count):
    context.runs = [SilenceRun(seed) for seed in range(count)]


@then('each manifest is in force in time while the store is stable')
def step_in_time(context):
    for run in context.runs:
        run.run()
    late = {run.seed: run.late[:3] for run in context.runs if run.late}
    assert not late, f'{len(late)} runs: {late}'


@given('{count:d} balancers that hear of a change of the {kind}')
def step_hear(context, count, kind):
    context.pauses_s = []
    for seed in range(count):
        bench = LinkBench()
        bench.node.random.seed(seed)
        watcher = bench.node.watchers[KINDS[kind]]
        bench.start_due(watcher)
        bench.end_call(watcher, AnswerTag.DONE, as_of=40)
        bench.start_due(watcher)
        item = StoreItem('main', 41, {})
        bench.end_call(watcher, AnswerTag.DONE, item, as_of=41)
        context.pauses_s.append(bench.time_until_call(watcher))


@then('in no {window_s:g} s more than half of them watch it again')
def step_spread(context, window_s):
    pauses_s = sorted(context.pauses_s)
    half = len(pauses_s) // 2
    least_s = min(
        later - first
        for first, later in zip(pauses_s, pauses_s[half:], strict=False)
    )
    assert least_s > window_s, (least_s, pauses_s)
