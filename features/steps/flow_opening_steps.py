"""Steps of flow_opening.feature."""

from behave import then, when

from cumindrift.membership.member import MemberState
from cumindrift.traffic.flow import Flow
from cumindrift.traffic.message import (
    HolderRecord,
    OpenSearch,
    PacketKind,
    SteeredPacket,
)
from features.builders.flow import key_of
from features.steps.flow_finding_steps import names_of


@when('the lightest flow candidate fills up after its report')
def step_fills(context):
    bench = context.bench
    names = names_of(bench, context.key)
    bench.loads = dict.fromkeys(bench.finders, 500)
    lightest, context.expected = names[1], names[2]
    bench.loads.update({lightest: 1, context.expected: 2})

    def fill(message):
        if isinstance(message, OpenSearch) and message.assigned:
            bench.full.add(lightest)
        return False

    bench.is_lost = fill
    bench.open(context.key)


@then('the flow is held by the next lightest')
def step_next(context):
    holder = context.bench.holder(context.key)
    assert holder == context.expected, holder


@when('every agent is full and a flow is opened')
def step_all_full(context):
    context.bench.full.update(context.bench.finders)
    context.bench.open(context.key)


@then('the flow open is refused with code {code:d}')
def step_refused(context, code):
    assert context.bench.refused == [code], context.bench.refused


@when('agent c drains and 50 flows are opened')
def step_drains(context):
    context.bench.change('c', MemberState.DRAINING)
    for number in range(50):
        context.bench.open(key_of(number))


@then('agent c holds 0 flows and the others 50')
def step_drained(context):
    held = {
        name: len(finder.table.held)
        for name, finder in context.bench.finders.items()
    }
    assert held.pop('c') == 0, held
    assert sum(held.values()) == 50, held


@when('a flow is opened while its records are lost')
def step_open_lossy(context):
    context.bench.is_lost = lambda message: isinstance(message, HolderRecord)
    context.bench.open(context.key)


@when('flow records are no longer lost')
def step_loss_ends(context):
    context.bench.is_lost = lambda _message: False
    context.bench.wait(0.3)


@then('the flow open is delivered once')
def step_open_once(context):
    assert len(context.bench.delivered) == 1, context.bench.delivered


@when('3 agents join and the flow is opened again with the older view')
def step_again(context):
    older = context.bench.view()
    context.bench.add('h', 'i', 'j')
    context.bench.open(context.key, older)
    context.bench.open(context.key)


@when('another agent accepts the same flow 1 second later')
def step_second_holder(context):
    bench = context.bench
    bench.wait(1.0)
    names = names_of(bench, context.key)
    other = next(name for name in names[2:] if name != context.holder)
    finder = bench.finders[other]
    finder.table.held[context.key] = Flow(bench.now_s, bench.now_s)
    for keeper in finder.views.record_keepers(context.key):
        action = finder.replicator.replicate(keeper, context.key, bench.now_s)
        bench.run_actions(other, [action])
    bench.wait(2.0)


@then('the flow has one holder, the first')
def step_one_holder(context):
    holder = context.bench.holder(context.key)
    assert holder == context.holder, holder


@then('the flow has one holder')
def step_any_holder(context):
    holder = context.bench.holder(context.key)
    assert holder, holder
    assert ',' not in holder, holder


@when('30000 flow opens pass through and their messages are lost')
def step_many_opens(context):
    context.bench.is_lost = lambda message: message.position > 0
    for number in range(30000):
        context.bench.open(key_of(number))


@then('no agent remembers more than {most:d} flow opens')
def step_bounded(context, most):
    counts = [
        finder.opener.pending_count for finder in context.bench.finders.values()
    ]
    assert 0 < max(counts) <= most, counts


@when('a flow candidate has died undetected and the flow is opened twice')
def step_dead_candidate(context):
    bench = context.bench
    bench.finders.pop(names_of(bench, context.key)[2])
    for _ in range(2):
        bench.open(context.key)
        bench.wait(0.6)
    bench.send(context.key, kind=PacketKind.OPEN)


@when('a flow is opened and every message of the open is duplicated')
def step_duplicated(context):
    context.bench.is_duplicated = lambda message: isinstance(
        message, OpenSearch
    )
    context.bench.open(context.key)


@when("its home still sees the holder's data centre out")
def step_still_out(context):
    bench = context.bench
    home = names_of(bench, context.key)[0]
    record = bench.finders[home].table.records[context.key]
    centre = bench.members[context.holder].data_centre
    bench.finders[home].on_view(bench.view(out=(centre,)), bench.now_s)
    bench.finders[home].table.records[context.key] = record


@when('the flow is searched for from its home')
def step_search(context):
    bench = context.bench
    bench.is_lost = lambda message: (
        isinstance(message, SteeredPacket) and message.hop_count == 1
    )
    bench.send(context.key)
    steered = bench.lost[-1]
    assert steered.is_unsure, steered


@then('no flow packet is refused')
def step_none_refused(context):
    assert not context.bench.refused, context.bench.refused
