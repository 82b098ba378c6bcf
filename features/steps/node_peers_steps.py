"""Steps of node_peers.feature."""

from behave import given, then, when

from cumindrift.fleet.balancer_store import watch_store
from cumindrift.fleet.call import AnswerTag, CallVerb, StoreCall, StoreItem
from cumindrift.fleet.kind import AGENT_KIND
from cumindrift.fleet.peer_reader import (
    adopt_known_objects,
    encode_known_objects,
)
from cumindrift.platform.documents import EVACUATION_KIND, MANIFEST_KIND
from features.builders.node_store import ENTRY, MANIFEST, make_context


@given('a balancer with manifest 4, and a second one without data')
def step_two(context):
    context.first, context.node = make_context(), make_context()
    for node in (context.first, context.node):
        watch_store(node)
    first = context.first.watchers
    first[MANIFEST_KIND].adopt(
        {'main': StoreItem('main', 20, MANIFEST)}, 31, 10.0
    )
    first[AGENT_KIND].adopt({'side-1': StoreItem('side-1', 3, ENTRY)}, 32, 10.0)
    first[EVACUATION_KIND].adopt({}, 33, 10.0)


@given("the second has the first's objects")
def step_has_objects(context):
    step_receives(context)


@given('the first has read that {name} is evacuated, as of {as_of:d}')
def step_first_evacuates(context, name, as_of):
    objects = {name: StoreItem(name, as_of, {})}
    context.first.watchers[EVACUATION_KIND].adopt(objects, as_of, 10.0)


@when('the second hears that the evacuations changed as of {as_of:d}')
def step_hears(context, as_of):
    context.node.directory.expected_evacuations_as_of = as_of


@then('{name} is evacuated at the second')
def step_evacuated(context, name):
    assert context.node.directory.evacuated == {name}


@given('the store does not respond to the second')
def step_not_answered(context):
    call = StoreCall(CallVerb.LIST, 'config')
    context.node.health.record_result(AnswerTag.LOST, call, 10.0)


@when('the second has read a later revision')
def step_later(context):
    for watcher in context.node.watchers.values():
        watcher.adopt({}, 40, 10.0)


@when("the second receives the first's objects")
def step_receives(context):
    octets = encode_known_objects(context.first)
    context.adopted = adopt_known_objects(context.node, octets)


@then('the second reads from peers')
def step_reads_from_peers(context):
    assert context.node.needs_peers


@then('it does not read from peers')
def step_reads_not_from_peers(context):
    assert not context.node.needs_peers


@then('the second continues watching at the revision of the first')
def step_continues_watching(context):
    call = context.node.watchers[AGENT_KIND].next_call(10.0)
    assert (call.verb, call.revision) == (CallVerb.WATCH, 32), call


@then('nothing is adopted')
def step_nothing_adopted(context):
    assert not context.adopted
