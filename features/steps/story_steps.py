"""Steps of story.feature."""

from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from cumindrift.tool.node_log import read_events
from cumindrift.tool.story import events_of_flow
from features.builders.node import node_file
from features.builders.node_log import event_of
from features.builders.tool import ToolBench

FLOW = '100.64.0.7:40001>198.18.0.1:443'


@given('logs of a balancer and an agent, whose flow was opened and reset')
def step_logs(context):
    context.events = [
        event_of(1.0, 'front-1', 'node-started'),
        event_of(2.0, 'front-1', 'open-sent', flow=FLOW),
        event_of(4.0, 'front-1', 'flow-searched', flow=FLOW),
        event_of(1.0, 'side-1', 'node-started'),
        event_of(2.001, 'side-1', 'flow-opened', flow=FLOW),
        event_of(
            3.0, 'side-1', 'flow-opened', flow='100.64.0.9:1>198.18.0.1:443'
        ),
        event_of(3.5, 'side-1', 'target-gone'),
        event_of(4.002, 'side-1', 'flow-reset', flow=FLOW),
    ]


@given("the agent's wall clock was {seconds:d} s ahead for one line")
def step_jump(context, seconds):
    context.events[4]['time'] += seconds


@given('a log line "{text}"')
def step_line(context, text):
    lines = getattr(context, 'texts', [])
    context.texts = [*lines, text.replace('\\"', '"')]


@when('the history of {flow} is shown')
def step_shown(context, flow):
    context.story = events_of_flow(context.events, flow)


@then('the history is {events}')
def step_is(context, events):
    found = [each.event for each in context.story]
    assert found == events.split(', '), found


@then('{count:d} event is read')
def step_read(context, count):
    assert len(read_events(context.texts)) == count


@when('the command is {text}')
def step_command(context, text):
    folder = Path(mkdtemp())
    files = {
        '(a good file)': node_file(),
        '(a bad file)': node_file(ip=None),
    }
    for mark, content in files.items():
        path = folder / mark.strip('()').replace(' ', '-')
        path.write_text(content, 'utf-8')
        text = text.replace(mark, str(path))
    bench = ToolBench()
    context.add_cleanup(bench.api.stop)
    context.printed = bench.run(text)


@then('its exit code is {code:d} and it says {text}')
def step_says(context, code, text):
    printed = context.printed
    assert printed.exit_code == code, printed
    assert text in printed.out + printed.err, printed
