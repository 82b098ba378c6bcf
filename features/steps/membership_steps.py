"""Steps of the membership feature."""

from attrs import evolve
from behave import given, then, when

from cumindrift.address import Endpoint
from cumindrift.membership.member import MemberState
from features.builders.member import (
    fresh_cluster,
    joined_cluster,
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


@when('member {number:d} stops responding')
def step_stop(context, number):
    context.cluster.stop(number)


@when('the members {first:d} to {last:d} stop responding')
def step_stop_many(context, first, last):
    for number in range(first, last + 1):
        context.cluster.stop(number)


@when('member {number:d} resumes')
def step_resume(context, number):
    context.cluster.resume(number)


@when('member {number:d} restarts as incarnation {incarnation:d}')
def step_restart(context, number, incarnation):
    context.cluster.start(number, incarnation)


@when('member {number:d} leaves gracefully')
def step_leave(context, number):
    core = context.cluster.cores[number]
    context.cluster.send_all(core, core.change_state(MemberState.LEFT))


@when(
    'a second process of member {number:d} starts elsewhere '
    'as incarnation {incarnation:d}',
)
def step_second_process(context, number, incarnation):
    me = evolve(
        make_member(number, incarnation),
        endpoint=Endpoint('10.9.9.9', 7000),
    )
    context.earlier = context.cluster.cores[number]
    context.cluster.start_as(1000 + number, me)


@when('data centre {name} stops responding')
def step_stop_data_centre(context, name):
    context.stopped_ids = {
        core.me.member_id
        for core in context.cluster.running()
        if core.me.data_centre == name
    }
    for number, core in context.cluster.cores.items():
        if core.me.data_centre == name:
            context.cluster.stop(number)


@when('the regions are partitioned')
def step_partition(context):
    regions = {
        core.me.endpoint: core.me.region for core in context.cluster.running()
    }
    context.cluster.network.is_cut = lambda sender, peer: (
        regions[sender] != regions[peer]
    )


@when('the partition of the regions heals')
def step_heal(context):
    context.cluster.network.is_cut = lambda _sender, _peer: False


@then('every member sees {count:d} members')
def step_sees(context, count):
    seen = [len(core.view.members) for core in context.cluster.running()]
    assert set(seen) == {count}, seen


@then('no member sees member {number:d}')
def step_not_seen(context, number):
    cluster = context.cluster
    assert cluster.count_seeing(number) == 0, cluster.count_seeing(number)


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


@then(
    'every member still sees at least {count:d} of dc-1, all marked as suspects'
)
def step_suspects(context, count):
    for core in context.cluster.running():
        held = context.stopped_ids & set(core.view.members)
        assert len(held) >= count, (core.me.name, len(held))
        assert held <= core.view.suspects, (held, core.view.suspects)


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


@then('no member is marked as a suspect')
def step_no_suspects(context):
    for core in context.cluster.running():
        assert not core.view.suspects, core.view.suspects


@given(
    'the members 0 to {last:d} start with seeds only, encoded, seed {seed:d}'
)
def step_fresh_encoded(context, last, seed):
    context.cluster = fresh_cluster(last + 1, seed, is_encoded=True)


@then('no datagram was larger than {size:d} bytes')
def step_size(context, size):
    assert 0 < context.cluster.meter.largest_bytes <= size


@then('no updates are queued any more')
def step_no_updates(context):
    for core in context.cluster.running():
        assert not core.local_state.dissemination, len(
            core.local_state.dissemination
        )


@when('member {number:d} is isolated')
def step_isolate(context, number):
    endpoint = make_member(number).endpoint
    context.cluster.network.is_cut = lambda *pair: endpoint in pair


@then('member {number:d} still sees {count:d} members')
def step_still_sees(context, number, count):
    view = context.cluster.cores[number].view
    assert len(view.members) == count, len(view.members)


@then('the earlier process of member 7 is superseded')
def step_superseded(context):
    assert context.earlier.is_superseded
