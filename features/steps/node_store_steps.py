"""Steps of node_store.feature."""

import json

from behave import given, then, when

from cumindrift.address import Endpoint
from cumindrift.fleet.balancer_store import apply_agents, apply_manifest
from cumindrift.fleet.call import (
    AnswerTag,
    CallVerb,
    StoreAnswer,
    StoreCall,
    StoreItem,
)
from cumindrift.fleet.link import RunningCall, StoreLink
from cumindrift.fleet.watcher import KindWatcher
from cumindrift.platform.packet import read_from_client
from cumindrift.steering.balancer.search import Search
from cumindrift.steering.balancer.supervisor import prepare_balancer
from features.builders.core import RecordingOutput
from features.builders.node import ACK, client_packet
from features.builders.node_store import (
    BATCH_DELAY_S,
    ENTRY,
    MANIFEST,
    WatcherBench,
    items_of,
    make_announcer,
    make_context,
)
from features.builders.store_history import WatcherRun


@given('a watcher of agents')
def step_watcher(context):
    context.bench = WatcherBench()


@given('a watcher that listed {names}, as of {as_of:d}')
def step_listed(context, names, as_of):
    context.bench = WatcherBench()
    context.bench.list_all(names, as_of)


@when('a page with {names} arrives, as of {as_of:d}, with more to come')
def step_more(context, names, as_of):
    items = items_of(names)
    context.bench.end_call(AnswerTag.DONE, *items, as_of=as_of, has_more=True)


@when('the last page arrives with {names}, as of {as_of:d}')
def step_last_page(context, names, as_of):
    context.bench.end_call(AnswerTag.DONE, *items_of(names), as_of=as_of)


@when(
    'the watch reports that {new} was added and {old} removed, as of {as_of:d}'
)
def step_events(context, new, old, as_of):
    context.bench.next_call()
    items = (*items_of(new), *items_of(old, is_removed=True))
    context.bench.end_call(AnswerTag.DONE, *items, as_of=as_of)


@when('the watch ends with the result {result}')
def step_watch_result(context, result):
    context.bench.next_call()
    context.bench.end_call(AnswerTag(result))


@when('a peer offers a copy with {names}, as of {as_of:d}')
def step_peer_copy(context, names, as_of):
    bench = context.bench
    objects = {item.name: item for item in items_of(names)}
    bench.watcher.adopt(objects, as_of, bench.now_s)


@given(
    '{count:d} random runs of a watcher, with pages of {page_items:d} objects'
)
def step_runs(context, count, page_items):
    context.runs = [WatcherRun(seed, page_items) for seed in range(count)]


@then('no copy goes back, and each ends as the store is')
def step_never_back(context):
    for run in context.runs:
        run.run()
        expected = run.store.objects_at(run.store.revision)
        assert run.settle() == expected, run.seed


@when('every call fails for {seconds:g} s')
def step_outage(context, seconds):
    bench = context.bench
    context.count = 0
    end_s = bench.now_s + seconds
    while bench.now_s < end_s:
        if bench.next_call() is not None:
            context.count += 1
            bench.end_call(AnswerTag.LOST)
        bench.now_s += 0.05


@then('it made {low:d} to {high:d} calls')
def step_call_count(context, low, high):
    assert low <= context.count <= high, context.count


@then('it requests a list')
def step_requests_list(context):
    call = context.bench.next_call()
    assert (call.verb, call.after) == (CallVerb.LIST, ''), call


@then('it requests a list after {name}')
def step_requests_next_page(context, name):
    call = context.bench.next_call()
    assert (call.verb, call.after) == (CallVerb.LIST, name), call


@then('it requests a watch from {revision:d}')
def step_requests_watch(context, revision):
    call = context.bench.next_call()
    assert (call.verb, call.revision) == (CallVerb.WATCH, revision), call


@then('it requests a watch from {revision:d} after the batch delay')
def step_batch_delay(context, revision):
    call, took_s = context.bench.next_call_within(2)
    assert (call.verb, call.revision) == (CallVerb.WATCH, revision), call
    assert took_s >= BATCH_DELAY_S - 0.02, took_s


@then(
    'it requests a watch from {revision:d} after {low_s:g} s to {high_s:g} s',
)
def step_requests_watch_later(context, revision, low_s, high_s):
    call, took_s = context.bench.next_call_within(2)
    assert (call.verb, call.revision) == (CallVerb.WATCH, revision), call
    assert low_s <= took_s <= high_s, took_s


@then('the objects are {names}')
def step_objects(context, names):
    assert sorted(context.bench.seen) == names.split(', ')


@given('a store link with a running watch and two idle sources')
def step_link(context):
    node = make_context()
    context.sources = [
        KindWatcher(kind, lambda _objects: None, node.random)
        for kind in ('waiting', 'first', 'second')
    ]
    context.link = StoreLink(
        Endpoint('127.0.0.1', 9),
        context.sources,
        node.health,
        node.clock,
    )
    watch = StoreCall(CallVerb.WATCH, 'waiting', wait_s=25)
    running = RunningCall(context.sources[0], watch, None, 100.0)
    context.link.calls[1] = running
    context.health = node.health


@when('the store becomes unreachable')
def step_unreachable(context):
    call = StoreCall(CallVerb.LIST, 'first')
    context.sources[1].failure_count = 1
    context.sources[2].failure_count = 1
    context.health.record_result(AnswerTag.LOST, call, 10.0)


@then('the sources that may start a call are {names}')
def step_may_start(context, names):
    found = [source.kind for source in context.link.allowed_sources()]
    assert found == names.split(', '), found


@then('only one of them may run a call at a time')
def step_one_source(context):
    call = StoreCall(CallVerb.LIST, 'first')
    running = RunningCall(context.sources[1], call, None, 100.0)
    context.link.calls[2] = running
    assert not context.link.allowed_sources()


@given('a desired agent entry')
def step_desired(context):
    context.now_s = 5.0
    context.announcer = make_announcer()
    context.call = context.announcer.next_call(context.now_s)


def answer_announcer(context, tag, *items):
    """Answers the announcer's call; stores its next one in the context."""
    context.announcer.on_answer(StoreAnswer(tag, items), context.now_s)
    context.call = context.announcer.next_call(context.now_s)


@when('the store confirms')
def step_done(context):
    answer_announcer(context, AnswerTag.DONE, StoreItem('side-1', 5, ENTRY))


@when('the create conflicts with the same content')
def step_same(context):
    answer_announcer(context, AnswerTag.CONFLICT, StoreItem('side-1', 5, ENTRY))


@when('the create conflicts with other content at revision {revision:d}')
def step_other(context, revision):
    other = StoreItem('side-1', revision, {'ip': '10.9.9.9'})
    answer_announcer(context, AnswerTag.CONFLICT, other)


@when('the response is lost')
def step_answer_lost(context):
    answer_announcer(context, AnswerTag.LOST)


@when('the service changes before the store confirms')
def step_changes(context):
    context.announcer.set_desired({**ENTRY, 'service': 'asiakirja'})
    step_done(context)


@then('it requests to create the entry')
def step_create(context):
    assert context.call.verb is CallVerb.CREATE
    assert context.call.content == ENTRY


@then('it requests to create the entry after a pause')
def step_create_later(context):
    assert context.call is None
    context.now_s += 1
    context.call = context.announcer.next_call(context.now_s)
    step_create(context)


@then('it requests to replace revision {revision:d}')
def step_replace(context, revision):
    found = (context.call.verb, context.call.revision)
    assert found == (CallVerb.REPLACE, revision), found


@then('it makes no call')
def step_makes_no_call(context):
    assert context.call is None


@given('a store with an entry {entry}')
def step_entry(context, entry):
    context.node = make_context()
    context.objects = {
        'strange': StoreItem('strange', 2, json.loads(entry)),
        'side-1': StoreItem('side-1', 3, ENTRY),
    }


@when('a balancer applies the entries')
def step_apply(context):
    apply_agents(context.node, context.objects)


@then('it knows {count:d} agent')
def step_agent_count(context, count):
    assert len(context.node.directory.agents) == count


@given('a balancer with manifest 4')
def step_manifest(context):
    context.node = make_context()
    deliver_manifest(context, MANIFEST, 20)


def deliver_manifest(context, spec, revision):
    """Applies a manifest as if the store had delivered it."""
    item = StoreItem('main', revision, spec)
    apply_manifest(context.node, {'main': item})


@when('the store delivers a manifest without routes')
def step_no_routes(context):
    deliver_manifest(context, {'version': 5}, 21)


@when('the store delivers manifest 3 of an older revision')
def step_older(context):
    deliver_manifest(context, {**MANIFEST, 'version': 3}, 19)


@then('manifest 4 is in force')
def step_in_force(context):
    assert context.node.directory.manifest.version == 4


@given('a balancer that waits for the list of agents to prove a flow lost')
def step_unverified(context):
    node = context.node = make_context()
    prepare_balancer(node)
    node.core.state.output = RecordingOutput()
    packet = read_from_client(client_packet(ACK))
    search = Search(packet, 0.0, frozenset(), iter(()))
    node.core.locator.unverified[packet.flow_key] = search


@when('a list of {kind} arrives')
def step_list_of(context, kind):
    watcher = context.node.watchers[kind]
    watcher.next_call(10.0)
    watcher.on_answer(StoreAnswer(AnswerTag.DONE, as_of=9), 10.0)


@then('the flow is {outcome}')
def step_outcome(context, outcome):
    is_decided = not context.node.core.locator.unverified
    assert is_decided == (outcome == 'decided')
