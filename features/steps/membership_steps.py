"""Steps of the membership feature."""

from attrs import evolve
from behave import given, then, when

from cumindrift.address import Endpoint
from cumindrift.membership.member import MemberState
from cumindrift.membership.message import Ack, Digest, Sender
from cumindrift.membership.view import View
from cumindrift.metric import DROPS
from features.builders.member import (
    answers_of,
    fresh_cluster,
    gossip_of,
    joined_cluster,
    lone_core,
    ping_to,
    record_like,
    view_changes,
)
from lab.member_cluster import make_member


@given('the members 0 to {last:d} start with seeds only, seed {seed:d}')
def step_fresh(context, last, seed):
    context.cluster = fresh_cluster(last + 1, seed)


@given(
    '{count:d} joined members on a network that loses {loss:f}, seed {seed:d}',
)
def step_joined(context, count, loss, seed):
    context.cluster = joined_cluster(count, seed, loss)
    context.revision = context.cluster.cores[7].me.revision


@when('{seconds:d} second of gossip passes')
@when('{seconds:d} seconds of gossip pass')
def step_pass(context, seconds):
    context.cluster.run(float(seconds))


@when('member {number:d} stops without a word')
def step_stop(context, number):
    context.cluster.stop(number)


@when('the members {first:d} to {last:d} stop without a word')
def step_stop_many(context, first, last):
    for number in range(first, last + 1):
        context.cluster.stop(number)


@when('member {number:d} resumes')
def step_resume(context, number):
    context.cluster.resume(number)


@when('member {number:d} restarts as incarnation {incarnation:d}')
def step_restart(context, number, incarnation):
    context.cluster.start(number, incarnation)


@when('member {number:d} leaves in order')
def step_leave(context, number):
    core = context.cluster.cores[number]
    context.cluster.put(core, core.change_state(MemberState.LEFT))


@when(
    'a second process of member {number:d} starts elsewhere '
    'as incarnation {incarnation:d}',
)
def step_twin(context, number, incarnation):
    me = evolve(
        make_member(number, incarnation),
        endpoint=Endpoint('10.9.9.9', 7000),
    )
    context.former = context.cluster.cores[number]
    context.cluster.start_as(1000 + number, me)


@when('data centre {name} falls silent')
def step_silent(context, name):
    context.silent = {
        core.me.member_id
        for core in context.cluster.running()
        if core.me.data_centre == name
    }
    for number, core in context.cluster.cores.items():
        if core.me.data_centre == name:
            context.cluster.stop(number)


@when('the regions are cut from each other')
def step_cut(context):
    regions = {
        core.me.endpoint: core.me.region for core in context.cluster.running()
    }
    context.cluster.network.is_cut = lambda sender, peer: (
        regions[sender] != regions[peer]
    )


@when('the regions are joined again')
def step_rejoin(context):
    context.cluster.network.is_cut = lambda _sender, _peer: False


@then('every member sees {count:d} members')
def step_sees(context, count):
    seen = [len(core.view.members) for core in context.cluster.running()]
    assert set(seen) == {count}, seen


@then('no member sees member {number:d}')
def step_unseen(context, number):
    cluster = context.cluster
    assert cluster.seeing(number) == 0, cluster.seeing(number)


@then('every member sees all other running members')
def step_sees_running(context):
    running = context.cluster.running()
    wanted = {core.me.member_id for core in running}
    for core in running:
        assert set(core.view.members) == wanted, core.me.name


@then('member {number:d} has a higher revision than before')
def step_revision(context, number):
    assert context.cluster.cores[number].me.revision > context.revision


@then('every member has incarnation {incarnation:d} of member {number:d}')
def step_incarnation(context, incarnation, number):
    member_id = make_member(number).member_id
    found = [
        core.view.members[member_id].incarnation
        for core in context.cluster.running()
        if not core.is_superseded
    ]
    assert set(found) == {incarnation}, found


@then('the former process of member 7 is superseded')
def step_superseded(context):
    assert context.former.is_superseded


@then('every member still sees at least {count:d} of dc-1, all marked')
def step_marked(context, count):
    for core in context.cluster.running():
        kept = context.silent & set(core.view.members)
        assert len(kept) >= count, (core.me.name, len(kept))
        assert kept <= core.view.suspects, (kept, core.view.suspects)


@then('every member sees all of its own region')
def step_own_region(context):
    for core in context.cluster.running():
        seen = {
            member.member_id
            for member in core.view.members.values()
            if member.region == core.me.region
        }
        wanted = {
            other.me.member_id
            for other in context.cluster.running()
            if other.me.region == core.me.region
        }
        assert seen == wanted, core.me.name


@then('no member is marked anywhere')
def step_unmarked(context):
    for core in context.cluster.running():
        assert not core.view.suspects, core.view.suspects


@given(
    '{count:d} random changes of members and data centres out, seed {seed:d}'
)
def step_changes(context, count, seed):
    context.changes = view_changes(count, seed)


@when('each change makes the next view')
def step_views(context):
    context.pairs = []
    view = View()
    members = {}
    for changes, out in context.changes:
        view = view.successor(changes, out, frozenset())
        members.update(changes)
        whole = View([one for one in members.values() if one], out)
        context.pairs.append((view, answers_of(view), whole))


@then('every view answers like one built at once')
def step_views_equal(context):
    for view, answers, whole in context.pairs:
        assert dict(view.members) == dict(whole.members)
        assert len(view.members) == len(whole.members)
        assert answers == answers_of(whole)


@then('former views still answer as they did')
def step_views_unchanged(context):
    for view, answers, _ in context.pairs:
        assert answers_of(view) == answers


@given(
    'the members 0 to {last:d} start with seeds only, encoded, seed {seed:d}'
)
def step_fresh_encoded(context, last, seed):
    context.cluster = fresh_cluster(last + 1, seed, is_encoded=True)


@then('no datagram was larger than {size:d} bytes')
def step_size(context, size):
    assert 0 < context.cluster.meter.largest_bytes <= size


@then('no news is passed on any more')
def step_bounded(context):
    for core in context.cluster.running():
        assert not core.beliefs.rumours, len(core.beliefs.rumours)


@given('a lone core that knows member 1')
def step_lone(context):
    context.core = lone_core()


@when('the roster brings {record}, twice')
def step_roster(context, record):
    context.core.merge([record_like(record)] * 2, 0.0)
    context.core.tick(0.1)


@when('gossip claims {record} after {seconds:d} seconds')
def step_claims_later(context, record, seconds):
    context.core.receive(gossip_of(record_like(record)), float(seconds))
    context.core.tick(float(seconds))


@when('gossip claims {record}')
def step_claims(context, record):
    gossip = gossip_of(record_like(record), make_member(2))
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


@then('the core keeps {count:d} tombstones')
def step_tombstones(context, count):
    assert len(context.core.beliefs.table.gone) == count


@when('it receives {message}')
def step_receives(context, message):
    member = make_member(1)
    sender = Sender(member.claim(), member.endpoint)
    context.before = context.core.view.members
    context.counts = {
        code: DROPS.labels(code)._value.get()
        for code in (
            'MESSAGE_MISDIRECTED',
            'MESSAGE_STALE',
            'MESSAGE_MALFORMED',
        )
    }
    messages = {
        'a ping meant for another process': ping_to(make_member(5)),
        'an answer that nobody asked for': Ack(
            sender,
            make_member(0).endpoint,
            1,
            member.claim(),
        ),
        'gossip from an old incarnation': gossip_of(
            make_member(1, 0),
            make_member(1, 0),
        ),
        'a digest of another form': Digest(sender, b'short', False),
    }
    context.core.receive(messages[message], 0.1)
    context.core.tick(0.2)


@then('its view is unchanged and {code} was counted')
def step_unchanged(context, code):
    assert dict(context.core.view.members) == dict(context.before)
    counted = DROPS.labels(code)._value.get() - context.counts[code]
    assert counted == 1, counted
