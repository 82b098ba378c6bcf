"""Steps of node_copy_check.feature."""

from behave import given, then, when

from cumindrift.administration.routing import HttpRequest
from cumindrift.fleet.balancer_store import watch_store
from cumindrift.fleet.call import AnswerTag, CallVerb, StoreItem
from cumindrift.platform.documents import EVACUATION_KIND
from cumindrift.platform.node_file import read_node_file
from cumindrift.steering.page import show_metrics
from features.builders.core import logged_lines
from features.builders.node import node_file
from features.builders.node_store import (
    KINDS,
    LinkBench,
    agent_entries,
    make_context,
)


@given('a balancer that lists the {kind}')
def step_lists(context, kind):
    context.bench = LinkBench()
    context.watcher = context.bench.node.watchers[KINDS[kind]]
    context.check = context.bench.node.copy_checks.get(KINDS[kind])
    context.bench.start_due(context.watcher)


@given('a balancer that watches the {kind}, as of {as_of:d}')
def step_watches(context, kind, as_of):
    step_lists(context, kind)
    context.bench.end_call(context.watcher, AnswerTag.DONE, as_of=as_of)
    context.bench.start_due(context.watcher)


@when('{seconds:g} s goes by without a response to the watch')
def step_time(context, seconds):
    context.bench.now_s += seconds


@when('its watch of the {_kind} reports a change, as of {as_of:d}')
def step_reports(context, _kind, as_of):
    item = StoreItem('main', as_of, {})
    context.bench.end_call(context.watcher, AnswerTag.DONE, item, as_of=as_of)


@when('its watch of the {_kind} begins again')
def step_begins(context, _kind):
    call = context.bench.start_due(context.watcher)
    assert call.verb is CallVerb.WATCH, call


@then('a check of the {kind} is due')
def step_checks_kind(context, kind):
    call = context.bench.start_due(context.check)
    assert call is not None
    assert call.kind == KINDS[kind], call


@when('it checks the evacuations')
def step_checks(context):
    assert context.bench.start_due(context.check) is not None


@then('it checks nothing')
def step_checks_nothing(context):
    assert context.bench.start_due(context.check) is None


@then('it checks the evacuations by a list that {what} stale')
def step_checks_by(context, what):
    call = context.bench.start_due(context.check)
    assert (call.verb, call.kind) == (CallVerb.LIST, EVACUATION_KIND), call
    assert call.may_be_stale == (what == 'may be'), call


@when('the check is lost')
def step_lost(context):
    context.bench.end_call(context.check, AnswerTag.LOST, as_of=0)


@when('the check finds no evacuation, as of {as_of:d}')
def step_finds_none(context, as_of):
    context.bench.end_call(context.check, AnswerTag.DONE, as_of=as_of)


@when('the check finds that {name} is evacuated, as of {as_of:d}')
def step_finds(context, name, as_of):
    item = StoreItem(name, as_of, {})
    context.bench.end_call(context.check, AnswerTag.DONE, item, as_of=as_of)


@then('the balancer takes {name} for evacuated')
def step_evacuated(context, name):
    expected = set() if name == 'no data centre' else {name}
    assert context.bench.node.directory.evacuated == expected


@then('its copy of the evacuations is as of {as_of:d}')
def step_as_of(context, as_of):
    assert context.watcher.version.as_of == as_of


@then('its watch of the evacuations goes on')
def step_goes_on(context):
    assert context.bench.call_of(context.watcher).verb is CallVerb.WATCH


@then('its watch of the evacuations starts again from {revision:d}')
def step_starts_again(context, revision):
    assert context.bench.call_of(context.watcher) is None
    context.bench.now_s += 0.3
    call = context.bench.start_due(context.watcher)
    assert (call.verb, call.revision) == (CallVerb.WATCH, revision), call


@given('{count:d} balancers that watch the evacuations')
def step_balancers(context, count):
    context.waits_s = []
    for _ in range(count):
        step_lists(context, 'evacuations')
        context.bench.end_call(context.watcher, AnswerTag.DONE, as_of=40)
        context.waits_s.append(context.bench.start_due(context.watcher).wait_s)


@then(
    'their watches wait {low_s:g} s to {high_s:g} s, and no two the same time'
)
def step_waits(context, low_s, high_s):
    assert all(low_s <= wait_s <= high_s for wait_s in context.waits_s)
    assert len(set(context.waits_s)) == len(context.waits_s), context.waits_s


@then('it logs that watches were restarted, {reason}')
def step_logs(context, reason):
    events = context.bench.node.events
    line = logged_lines(events, 'watches-restarted')[-1]
    assert line['reason'] == reason, line
    assert line['kinds'] == [EVACUATION_KIND], line


@then('its metrics say that its copy of the {kind} is {age_s:d} s old')
def step_metrics(context, kind, age_s):
    request = HttpRequest('GET', '/metrics', {})
    page = show_metrics(context.bench.node, request).body.decode()
    expected = f'cumindrift_copy_age_seconds{{kind="{KINDS[kind]}"}} {age_s}.0'
    assert expected in page, page


@given('a node file in which the bound {name} is {milliseconds:d}')
def step_bound(context, name, milliseconds):
    text = node_file()
    text = text.replace('[bounds]', f'[bounds]\n{name} = {milliseconds}')
    context.node = make_context()
    context.node.apply_settings(read_node_file(text).content.settings)


@then('a balancer checks the {kind} every {seconds:g} s at the latest')
def step_period(context, kind, seconds):
    watch_store(context.node)
    found_s = context.node.copy_checks[KINDS[kind]].period_s()
    assert abs(found_s - seconds) < 0.001, found_s


@when(
    'its watch finds {first} evacuated, of revision {one:d}, '
    'and {second}, of {two:d}'
)
def step_watch_finds(context, first, one, second, two):
    items = (StoreItem(first, one, {}), StoreItem(second, two, {}))
    context.bench.end_call(context.watcher, AnswerTag.DONE, *items, as_of=two)


@then('it logs the evacuations of {names}, of revisions {revisions}')
def step_logs_evacuations(context, names, revisions):
    events = context.bench.node.events
    line = logged_lines(events, 'evacuations-taken')[-1]
    assert line['data_centres'] == names.split(', '), line
    assert line['revisions'] == [int(n) for n in revisions.split(', ')], line


@given('a balancer that knows {count:d} agents and watches the manifest')
def step_knows_agents(context, count):
    step_watches(context, 'manifest', 40)
    context.bench.node.directory.apply_agents(agent_entries(count))


@when('it has checked the manifest {count:d} times')
def step_checks_often(context, count):
    context.calls = []
    for _ in range(count):
        context.bench.now_s += 2
        context.calls.append(context.bench.start_due(context.check))
        context.bench.end_call(context.check, AnswerTag.DONE, as_of=40)


@then('{low:d} to {high:d} of the checks were not stale')
def step_fresh(context, low, high):
    fresh = sum(not call.may_be_stale for call in context.calls)
    assert low <= fresh <= high, fresh
