"""Steps of the membership feature that drive a single core."""

from behave import given, then, when

from cumindrift.membership.dissemination import BURST_BYTES
from cumindrift.membership.member import MemberState
from cumindrift.membership.message import Ack, Digest, Sender, Updates
from cumindrift.membership.view import View
from cumindrift.metric import DROPS
from features.builders.member import (
    ack_to,
    changed_record,
    core_knowing_member_1,
    gossip_about_core,
    gossip_of,
    largest_message,
    ping_to,
    unticked_core,
    view_changes,
    view_contents,
)
from lab.member_cluster import make_member


@given(
    '{count:d} random changes of members and data centres out, seed {seed:d}'
)
def step_changes(context, count, seed):
    context.changes = view_changes(count, seed)


@when('each change is applied to the previous view')
def step_views(context):
    context.views = []
    view = View()
    members = {}
    for changes, out in context.changes:
        view = view.successor(changes, out, frozenset())
        members.update(changes)
        scratch = View([one for one in members.values() if one], out)
        context.views.append((view, view_contents(view), scratch))


@then('every view equals one built from scratch')
def step_views_equal(context):
    for view, contents, scratch in context.views:
        assert dict(view.members) == dict(scratch.members)
        assert len(view.members) == len(scratch.members)
        assert contents == view_contents(scratch)


@then('earlier views are unchanged')
def step_views_unchanged(context):
    for view, contents, _ in context.views:
        assert view_contents(view) == contents


@given('a single core that knows member 1')
def step_single_core(context):
    context.core = core_knowing_member_1()


@when('{record} is merged from the roster twice')
def step_roster(context, record):
    context.core.merge([changed_record(record)] * 2, 0.0)
    context.core.tick(0.1)


@when('gossip carries {record} after {seconds:d} seconds')
def step_gossip_later(context, record, seconds):
    context.core.receive(gossip_of(changed_record(record)), float(seconds))
    context.core.tick(float(seconds))


@when('gossip carries {record}')
def step_gossip(context, record):
    gossip = gossip_of(changed_record(record), make_member(2))
    context.core.receive(gossip, 0.0)
    context.core.tick(0.1)


@then('the core has {state} at incarnation {incarnation:d} for member 1')
def step_has(context, state, incarnation):
    member = context.core.view.members[make_member(1).member_id]
    assert member.state.name == state, member
    assert member.incarnation == incarnation, member


@then('the core does not see member 1')
def step_not_seen(context):
    assert make_member(1).member_id not in context.core.view.members


@then('the core has {count:d} tombstones')
def step_tombstones(context, count):
    assert len(context.core.local_state.table.tombstones) == count


@when('the core receives {message}')
def step_receives(context, message):
    member = make_member(1)
    sender = Sender(member.claim(), member.endpoint)
    context.before = context.core.view.members
    context.counts = {
        code: DROPS.labels(code).total
        for code in (
            'MESSAGE_MISDIRECTED',
            'MESSAGE_STALE',
            'MESSAGE_MALFORMED',
        )
    }
    messages = {
        'a ping meant for another process': ping_to(make_member(5)),
        'an ack that was not awaited': Ack(
            sender,
            make_member(0).endpoint,
            1,
            member.claim(),
        ),
        'gossip from an old incarnation': gossip_of(
            make_member(1, 0),
            make_member(1, 0),
        ),
        'a malformed digest': Digest(sender, b'short', False),
    }
    context.core.receive(messages[message], 0.1)
    context.core.tick(0.2)


@then('the view of the core is unchanged and {code} was counted')
def step_unchanged(context, code):
    assert dict(context.core.view.members) == dict(context.before)
    counted = DROPS.labels(code).total - context.counts[code]
    assert counted == 1, counted


@given('member 1 has not answered for {seconds:f} seconds')
def step_unanswered(context, seconds):
    context.revision = context.core.me.revision
    start_s = now_s = 0.1
    while now_s < start_s + 2 and not context.core.detector.is_waiting:
        now_s += 0.1
        context.core.tick(now_s)
    for tick in range(1, round(seconds * 10) + 1):
        context.core.tick(now_s + tick / 10)


@when('the core pauses until second {second:d} and resumes')
def step_core_pauses(context, second):
    context.core.tick(float(second))
    context.core.tick(second + 0.1)


@then('the core still sees member 1, and has announced itself again')
def step_starts_over(context):
    assert make_member(1).member_id in context.core.view.members
    assert context.core.me.revision == context.revision + 1


@when('member 1 acks {pings} for {seconds:d} seconds')
def step_acks(context, pings, seconds):
    first = None
    for tick in range(1, seconds * 10):
        now_s = tick / 10
        ack = ack_to(context.core.tick(now_s))
        first = first or ack
        chosen = {
            'every ping': ack,
            'only the first ping, repeatedly': first,
            'no ping': None,
        }[pings]
        if chosen is not None:
            context.core.receive(chosen, now_s)


@then('the core still sees member 1')
def step_core_sees(context):
    assert make_member(1).member_id in context.core.view.members


@when('gossip tells the core that it is {claimed} at revision {revision:d}')
def step_gossip_about_core(context, claimed, revision):
    gossip = gossip_about_core(context.core, claimed, revision)
    context.core.receive(gossip, 0.1)


@then('the core announces itself as SERVING at revision {revision:d}')
def step_announces(context, revision):
    me = context.core.me
    assert (me.state, me.revision) == (MemberState.SERVING, revision), me
    assert context.core.local_state.table.live[me.member_id] is me


@given('a full {kind} of members with long names')
def step_full(context, kind):
    context.datagram = largest_message(kind)


@then('its signed datagram has more than {least:d} and at most {most:d} bytes')
def step_datagram_size(context, least, most):
    assert least < len(context.datagram) <= most, len(context.datagram)


@given('a core without a tick yet that knows member 1')
def step_not_ticked(context):
    context.core = unticked_core()


@when('its state changes to {state} and it ticks at second {second:d}')
def step_changes_early(context, state, second):
    context.core.change_state(MemberState[state])
    context.actions = context.core.tick(float(second))


@then('it sends its state {state} to member 1')
def step_sends_state(context, state):
    sent = [
        claim
        for action in context.actions
        for claim in getattr(action.message, 'news', Updates()).claims
    ]
    me = context.core.me.claim()
    assert me.state.name == state, me
    assert me in sent, sent


@then('its dissemination rate is bounded')
def step_rate_bounded(context):
    allowance_bytes = context.core.local_state.dissemination._allowance_bytes
    assert 0 <= allowance_bytes <= BURST_BYTES, allowance_bytes
