"""Steps of node_explain.feature."""

import json
import subprocess
import sys
from random import Random

from behave import given, then, when

from cumindrift.fleet.manifest import Manifest
from cumindrift.steering.balancer.cost import cost_policies
from cumindrift.steering.frame import FrameKind, Load
from features.builders.explanation import (
    CLIENT,
    NODE,
    ExplainBench,
    put_weights,
    state_of,
)
from features.builders.node import (
    SERVICE,
    SERVICE_ADDRESS,
    SYN,
    agent_ip,
    flow_key,
)

LINE = f'explain {NODE.ip} {CLIENT} {SERVICE_ADDRESS}'
ZONES = frozenset(('zone-1', 'zone-2', 'zone-3'))


@given('targets are judged by what they do')
def step_judged(context):
    core = context.bench.core
    core.state.judges_targets = True
    core.placer.ranking.cost = cost_policies.get('spill')


@given(
    'the address belongs to {first} with weight {first_weight:g} '
    'and {second} with weight {second_weight:g}'
)
def step_weights(context, first, first_weight, second, second_weight):
    weights = {first: first_weight, second: second_weight}
    put_weights(context.bench, weights)


@given('the balancer {lacks}')
def step_lacks(context, lacks):
    bench = context.bench
    directory = bench.directory
    if lacks == 'has no route':
        directory.apply_manifest(Manifest(9), 9)
    elif lacks == 'has not read evacuations':
        directory.has_evacuations = False
    elif lacks == 'has not listed agents':
        directory.has_agents = False
    elif lacks == 'has no agents':
        bench.put_agents(0)
    else:
        directory.apply_evacuations(ZONES)


@when('agent 2 is {reason}')
def step_reason(context, reason):
    bench = context.bench
    monitor = bench.core.agent_monitor
    bench.report(1, FrameKind.PONG)
    bench.report(3, FrameKind.PONG)
    percent = 1000 if reason == 'ejected' else 0
    bench.report(2, FrameKind.PONG, load=Load(1, 0, 10, 7, percent))
    if reason == 'silent':
        monitor.on_unanswered(agent_ip(2), flow_key(), bench.now_s)
    elif reason == 'avoided':
        monitor.avoid(agent_ip(2), bench.now_s)


@when('its state is compared before and after an explanation')
def step_compare(context):
    before = state_of(context.bench)
    assert ExplainBench(context.bench).explain()['services']
    context.states = (before, state_of(context.bench))


@when('the overload has lasted longer than the time limit')
def step_long_overload(context):
    bench = context.bench
    outlook = bench.core.placer.queues[SERVICE].outlook
    outlook.update(bench.now_s - 2.1)


@when('a flow opens')
def step_opens(context):
    bench = context.bench
    bench.core.placer.queues[SERVICE].outlook.on_opened(bench.now_s)


@when('its copies are confirmed and agent 1 reports, and 2 s go by')
def step_confirm(context):
    bench = context.bench
    directory = bench.directory
    directory.manifest_copy_version.confirm(7, 7, bench.now_s)
    directory.evacuations_version.confirm(7, 7, bench.now_s)
    bench.report(1, FrameKind.PONG)
    bench.now_s += 2


@then(
    'each of {count:d} SYNs under changing load goes where the explanation says'
)
def step_same_order(context, count):
    bench, random = context.bench, Random(7)
    for number in range(count):
        for agent in range(1, bench.agent_count + 1):
            load = Load(random.randint(0, 3), random.randint(0, 9), 40, 7)
            bench.report(agent, FrameKind.PONG, load=load)
        bench.core.agent_monitor.avoid(
            agent_ip(random.randint(1, 9)), bench.now_s
        )
        (service,) = ExplainBench(bench).explain()['services']
        expected = [agent['ip'] for agent in service['agents']]
        bench.output.clear()
        bench.packet(SYN, port=41000 + number)
        ((ip, frame),) = bench.output.sent
        assert [ip, *frame.candidate_ips] == expected[:4]


@then('the state is the same')
def step_same_state(context):
    before, after = context.states
    assert before == after


@then('the line {line} exits with {exit_code:d} and prints {text}')
def step_line(context, line, exit_code, text):
    printed = ExplainBench(context.bench).run(line)
    assert printed.exit_code == exit_code, printed
    assert text in printed.out + printed.err, printed


@then('the tool prints the page as JSON')
def step_json_output(context):
    bench = ExplainBench(context.bench)
    printed = bench.run(LINE, is_json=True)
    assert json.loads(printed.out) == bench.explain(), printed


@then('the query {query} is refused with {code:d} at {path}')
def step_refused(context, query, code, path):
    bench = ExplainBench(context.bench)
    found = bench.explain(query)
    assert bench.ask(query).status == 400
    assert (found['code'], found['path']) == (code, path), found


@then("the explanation's {path} is {content}")
def step_field(context, path, content):
    found = ExplainBench(context.bench).explain()
    for part in path.split('.'):
        found = (
            found[part] if part.isalpha() or '_' in part else found[int(part)]
        )
    assert found == json.loads(content), found


@then('a process that imports a balancer has not imported the explanation')
def step_imports(context):
    code = 'import sys, cumindrift.steering.balancer.supervisor as balancer'
    command = [sys.executable, '-c', f'{code}; print(*sys.modules)']
    names = subprocess.check_output(command, text=True)  # noqa: S603
    assert 'steering.balancer.page' in names
    assert not {'explanation', 'placement_page'} & set(
        names.replace('.', ' ').split()
    )
