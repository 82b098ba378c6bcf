"""Steps of node_life.feature."""

import json
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from cumindrift.administration.routing import HttpRequest
from cumindrift.event import EventLog
from cumindrift.fleet.call import AnswerTag, CallVerb, StoreAnswer, StoreItem
from cumindrift.fleet.context import NodeContext
from cumindrift.node import SettingsFile
from cumindrift.steering.agent.supervisor import prepare_agent
from cumindrift.steering.balancer.page import show_ready
from cumindrift.steering.balancer.supervisor import prepare_balancer
from features.builders.core import AgentBench
from features.builders.node import node_file


def start_process(context, prepare):
    """Builds a node's context from a settings file and prepares its role."""
    context.path = Path(mkdtemp()) / 'local.toml'
    context.path.write_text(node_file(), 'utf-8')
    context.file = SettingsFile(str(context.path))
    start = context.file.read().content
    context.now_s = 100.0
    context.lines = []
    node = NodeContext(start.settings, True, clock=lambda: context.now_s)
    node.events.write = lambda octets: keep_lines(context, octets)
    context.file.context = context.node = node
    prepare(node)


def keep_lines(context, octets):
    """Collects the lines that are written to the log."""
    context.lines.extend(map(json.loads, octets.splitlines()))
    return len(octets)


def answer_all(context, tag):
    """Answers each store call that is due; returns the calls."""
    calls = []
    for source in context.node.sources:
        call = source.next_call(context.now_s)
        if call is not None:
            calls.append(call)
            item = StoreItem(call.name, 5, call.content)
            source.on_answer(StoreAnswer(tag, (item,)), context.now_s)
    return calls


@given("an agent's process with its settings file")
def step_agent(context):
    start_process(context, prepare_agent)


@given("a balancer's process")
def step_balancer(context):
    start_process(context, prepare_balancer)
    context.node.directory.has_agents = True


@given('its entry and its record are in the store')
def step_in_store(context):
    bench = AgentBench(now_s=context.now_s)
    core = bench.core = context.node.core
    core.state.output = bench.output
    bench.send_heartbeat()
    bench.open_flow()
    context.now_s += 3
    while answer_all(context, AnswerTag.DONE):
        context.now_s += 5


@when('the file sets the address reuse time to {seconds:d} s')
def step_change(context, seconds):
    text = node_file().replace('grace_s = 6', f'addr_reuse_s = {seconds}')
    context.path.write_text(text, 'utf-8')


@when('the file is half written')
def step_half(context):
    context.path.write_text(node_file()[:100], 'utf-8')


@when('the file is read again')
def step_reload(context):
    context.file.reload()


@when('the target announces its end and the process is asked to stop')
def step_leave(context):
    context.node.core.on_deregistered('i-1')
    step_stop(context)


@when('the process is asked to stop')
def step_stop(context):
    context.node.is_stopping = True
    context.node.begin_shutdown()


@when('the store has removed both')
def step_removed(context):
    """Does nothing: the step before has answered the calls."""


@then('the address reuse time in force is {seconds:d} s')
def step_reuse_time(context, seconds):
    assert context.node.core.state.target.bounds.address_reuse_s == seconds


@then('the log says {event}')
def step_log(context, event):
    context.node.events.flush()
    assert event in {line['event'] for line in context.lines}, context.lines


@then('the process waits for the store')
def step_waits(context):
    assert not context.node.may_exit(context.now_s)


@then('it asks to remove the entry and the record')
def step_asks_removal(context):
    calls = answer_all(context, AnswerTag.DONE)
    assert {call.verb for call in calls} == {CallVerb.REMOVE}, calls
    assert len(calls) == 2


@then('the process may end')
def step_may_end(context):
    assert context.node.may_exit(context.now_s)


@then('it asks the store for nothing')
def step_nothing(context):
    assert not answer_all(context, AnswerTag.DONE)


@then('its readiness answers {status:d}')
def step_readiness(context, status):
    request = HttpRequest('GET', '/cumindrift/ready', {})
    assert show_ready(context.node, request).status == status


@then('the process may end after {low_s:g} s to {high_s:g} s')
def step_ends_after(context, low_s, high_s):
    start_s = context.now_s
    while not context.node.may_exit(context.now_s):
        context.now_s += 0.1
    assert low_s <= context.now_s - start_s <= high_s


# What a write to the log raises, by what its reader has done.
WRITE_ERRORS = {
    'stopped': BlockingIOError,
    'closed its end': BrokenPipeError,
}


@given('a log whose reader has {done}')
def step_reader_gone(context, done):
    def fail(_octets):
        raise WRITE_ERRORS[done]

    context.now_s = 0.0
    context.events = EventLog('side-1', lambda: context.now_s, fail)


@given('a log whose lines are read at once')
def step_reader(context):
    context.now_s = 0.0
    context.lines = []
    context.events = EventLog(
        'side-1',
        lambda: context.now_s,
        lambda octets: keep_lines(context, octets),
    )


@when('{count:d} event is logged in 1 s')
@when('{count:d} events are logged in 1 s')
def step_events(context, count):
    for number in range(count):
        context.now_s += 1 / count
        context.events.note('flow-opened', number=number)
        if number % 100 == 0:
            context.events.flush()
    context.events.flush()


@when('the reader reads again')
def step_reads_again(context):
    context.lines = []
    context.events.write = lambda octets: keep_lines(context, octets)
    context.events.flush()


@then('at most {count:d} lines wait')
def step_wait(context, count):
    assert context.events.queued_count <= count


@then('no write blocked, and lines were dropped')
def step_no_block(context):
    assert context.events.dropped_count > 0


@then('a line says how many were dropped')
def step_dropped_count(context):
    (line,) = [
        each for each in context.lines if each['event'] == 'lines-dropped'
    ]
    assert line['count'] > 10000


@then('each of the {count:d} events was written or counted as dropped')
def step_all_counted(context, count):
    names = [line['event'] for line in context.lines]
    counts = [line.get('count', 0) for line in context.lines]
    found = names.count('flow-opened') + sum(counts)
    assert found == count, context.lines


@then('at most {count:d} lines were written')
def step_written(context, count):
    assert 0 < len(context.lines) <= count, len(context.lines)


@when(
    '{count:d} SYNs are refused as full within 1 s, '
    'and {other_count:d} agents fall silent meanwhile'
)
def step_storm(context, count, other_count):
    for number in range(count):
        context.now_s += 1 / count
        context.events.note('open-refused', reason='full')
        if number % (count // other_count) == 0:
            context.events.note('agent-silent', agent=f'10.1.1.{number}')
        if number % 100 == 0:
            context.events.flush()
    context.now_s += 2
    context.events.flush()


@then('{count:d} lines say that an agent fell silent')
def step_silent_lines(context, count):
    names = [line['event'] for line in context.lines]
    assert names.count('agent-silent') == count, names.count('agent-silent')


@then('the lines left out are counted as "{name}"')
def step_counted_by(context, name):
    reports = [
        line['events']
        for line in context.lines
        if line['event'] == 'lines-dropped'
    ]
    written = sum(line['event'] == 'open-refused' for line in context.lines)
    counted = sum(events.get(name, 0) for events in reports)
    assert written + counted == 20000, (written, counted)
