"""Steps of evacuation_log.feature."""

import json
from math import inf
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from cumindrift.tool.evacuations import find_evacuations
from features.builders.node_log import event_of
from features.builders.tool import ToolBench

AGENT = 'side-1'


@given('logs of balancers front-1, front-2 and of an agent in hel-a')
def step_logs(context):
    context.events = []
    step_starts(context, 'front-1', 0)
    step_starts(context, 'front-2', 0)
    step_starts(context, AGENT, 0)


@given('{node} starts again at {at_s:g} s')
def step_starts(context, node, at_s):
    centre = 'hel-a' if node == AGENT else 'van-c'
    event = event_of(at_s, node, 'node-started', data_centre=centre)
    context.events.append(event)


@given('{node} takes hel-a for evacuated at {at_s:g} s, of revision {number:d}')
def step_taken(context, node, at_s, number):
    _add_taken(context, node, at_s, {'hel-a': number})


@given('{node} takes hel-a for open at {at_s:g} s')
def step_open(context, node, at_s):
    _add_taken(context, node, at_s, {})


def _add_taken(context, node, at_s, revisions):
    context.events.append(
        event_of(
            at_s,
            node,
            'evacuations-taken',
            data_centres=list(revisions),
            revisions=list(revisions.values()),
        )
    )


@given('the agent opens a flow at {times}')
def step_opens(context, times):
    for at_s in _seconds_of(times):
        context.events.append(event_of(at_s, AGENT, 'flow-opened'))


@given('{node} sends a SYN at {at_s:g} s')
def step_sends(context, node, at_s):
    context.events.append(event_of(at_s, node, 'open-sent'))


def _seconds_of(times):
    """Returns the times in a text such as ``9 s, at 14.5 s and at 16 s``."""
    words = times.replace(',', ' ').split()
    return [float(word) for word in words if word[0].isdigit()]


@when('the evacuations in the logs are examined')
def step_examined(context):
    context.found = find_evacuations(context.events)


@when('the command evacuations is given {what}')
def step_command(context, what):
    path = Path(mkdtemp()) / 'log'
    path.write_text('\n'.join(map(json.dumps, context.events)), 'utf-8')
    bench = ToolBench()
    context.add_cleanup(bench.api.stop)
    logs = '' if what == 'nothing' else str(path)
    is_json = what.endswith('for programs')
    context.printed = bench.run(f'evacuations {logs}', is_json=is_json)


@then('{count:d} evacuation is found')
@then('{count:d} evacuations are found')
def step_count(context, count):
    assert len(context.found) == count, context.found


@then(
    'evacuation {place:d} is of {name}, revision {revision:d}, '
    'from {from_s:g} s to {until}'
)
def step_is(context, place, name, revision, from_s, until):
    found = context.found[place - 1]
    assert (found.data_centre, found.revision) == (name, revision), found
    to_s = inf if until == 'the end' else float(until.removesuffix(' s'))
    assert (found.from_s, found.to_s) == (from_s, to_s), found


@then('the last balancer knows of evacuation {place:d} after {delay_s:g} s')
def step_last(context, place, delay_s):
    found = context.found[place - 1]
    assert found.last_known_s - found.from_s == delay_s, found


@then('the late flows of evacuation {place:d} were opened at {times}')
def step_late(context, place, times):
    late = context.found[place - 1].late_flows
    assert [line.at_s for line in late] == _seconds_of(times), late


@then('evacuations 1 and 2 have no late flows')
def step_none_late(context):
    assert not any(found.late_flows for found in context.found)


@then('evacuation {place:d} has no unaware balancer')
def step_aware(context, place):
    assert not context.found[place - 1].unaware_nodes


@then('{node} is unaware of evacuation {place:d}')
def step_unaware(context, node, place):
    assert context.found[place - 1].unaware_nodes == {node}


@then('it prints the line: {line}')
def step_prints(context, line):
    lines = [text.split() for text in context.printed.out.splitlines()]
    assert line.split() in lines, context.printed


@then('it prints how it is used')
def step_usage(context):
    assert 'usage' in context.printed.err.lower(), context.printed


@then(
    'it prints that the evacuation has no end, and one flow late at {at_s:g} s'
)
def step_prints_json(context, at_s):
    (evacuation,) = json.loads(context.printed.out)
    assert evacuation['to_s'] is None, evacuation
    assert [each['at_s'] for each in evacuation['late_flows']] == [at_s]
