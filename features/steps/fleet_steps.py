"""Steps of the distribution and feeder features."""

from behave import given, then, when

from cumindrift.outcome import Done
from cumindrift.settings.snapshot import SnapshotStore, pack_snapshot
from cumindrift.settings.transfer import chunk_count
from cumindrift.settings.tree import Snapshot
from features.builders.fleet import changed_tree, chunk_like
from features.builders.store import FAULTS
from lab.platform_faults import fault_run
from lab.platform_fleet import Fleet, fleet_tree, record_body


@given(
    'a fleet of {count:d} that loses {loss:d}% and duplicates {duplicated:d}%'
    ' of messages',
)
def step_fleet(context, count, loss, duplicated):
    context.fleet = Fleet(count, 5, loss / 100, duplicated / 100)


@given('a snapshot store of the fleet with version 1')
def step_snapshot_store(context):
    context.store = SnapshotStore(lambda _snapshot: None)
    first = pack_snapshot(Snapshot(1, fleet_tree(1)))
    assert isinstance(context.store.apply_packed(first), Done)


@when('the store applies a packed version 2 that {change}')
def step_apply_packed(context, change):
    context.packed = Snapshot(2, changed_tree(change))
    outcome = context.store.apply_packed(pack_snapshot(context.packed))
    assert isinstance(outcome, Done), outcome


@then('the tree of the store is the packed one')
def step_same_tree(context):
    assert context.store.snapshot == context.packed
    repacked = pack_snapshot(context.store.snapshot)
    assert repacked == context.store.packed


@given('a fleet of {count:d} in {centres:d} data centres')
def step_fleet_of_centres(context, count, centres):
    context.fleet = Fleet(count, 5, data_centre_count=centres)


@given('the fleet has run for {seconds:d} s with version {version:d}')
@when('the fleet has run for {seconds:d} s with version {version:d}')
def step_run_with(context, seconds, version):
    for _ in range(version):
        context.fleet.write_settings()
        context.fleet.run(1)
    context.fleet.run(seconds)
    step_all_run(context, version)


@when("the fleet's settings are written {times:d} times, {apart:d} s apart")
def step_write(context, times, apart):
    for _ in range(times):
        context.fleet.write_settings()
        context.fleet.run(apart)


@when('settings of {services:d} services are written to the fleet')
def step_write_large(context, services):
    context.fleet.write_settings(services)


@when('the fleet runs for {seconds:d} s')
def step_run(context, seconds):
    context.fleet.run(seconds)


@when('the platform fault of the fleet is {fault}')
def step_fault(context, fault):
    context.fleet.model.faults = FAULTS[fault]


@when('a process of the fleet receives {chunk}')
def step_chunk(context, chunk):
    process = context.fleet.processes[0]
    now_s = context.fleet.network.now_s
    process.distribution.receive(chunk_like(chunk), now_s)


@when('a process joins the fleet')
def step_join(context):
    context.fleet.join()
    context.fleet.share_view()


@when('{count:d} processes join the fleet one after another')
def step_join_many(context, count):
    context.new_processes = []
    for _ in range(count):
        context.new_processes.append(context.fleet.join())
        # Membership takes a moment to introduce a new process.
        context.fleet.run(1)
        context.fleet.share_view()


@when('a process of the fleet stores and publishes version {version:d}')
def step_publish(context, version):
    context.confirmations = []
    context.fleet.write_settings()
    context.fleet.processes[0].distribution.publish(
        Snapshot(version, fleet_tree(version)),
        context.confirmations.append,
    )
    context.fleet.run(0.01)


@when('the writer of the fleet is paused after it stored version {version:d}')
def step_pause_writer(context, version):
    context.fleet.processes[0].is_paused = True
    context.fleet.write_settings()


@when(
    'the paused writer of the fleet resumes and publishes version {version:d}'
)
def step_resume_writer(context, version):
    writer = context.fleet.processes[0]
    writer.is_paused = False
    writer.distribution.publish(Snapshot(version, fleet_tree(version)))


@when('half of the fleet is partitioned from the rest')
def step_partition(context):
    context.fleet.cut({'dc-2', 'dc-3'})


@when('the partition of the fleet heals')
def step_heal(context):
    context.fleet.heal()


@when('{count:d} feeders of the fleet fail one by one, with a write after each')
def step_kill_feeders(context, count):
    for _ in range(count):
        context.fleet.feeders()[0].is_dead = True
        context.fleet.share_view()
        context.fleet.write_settings()
        context.fleet.run(5)


@when('one process of the fleet is paused')
def step_pause(context):
    context.fleet.processes[-1].is_paused = True


@when('a process of the fleet makes a survey')
def step_survey(context):
    context.fleet.processes[0].distribution.survey()


@then('the whole fleet runs version {version:d}')
def step_all_run(context, version):
    assert context.fleet.versions() == {version}, context.fleet.versions()


@then('the whole fleet runs version {version:d} with one digest')
def step_one_digest(context, version):
    step_all_run(context, version)
    digests = {
        process.snapshots.packed.digest for process in context.fleet.alive()
    }
    assert len(digests) == 1, digests


@then('the snapshot of the fleet has more than {count:d} chunks')
def step_chunks(context, count):
    found = chunk_count(context.fleet.processes[0].snapshots.packed)
    assert found > count, found


@then('the fleet runs the versions {first:d} and {second:d}')
def step_two_versions(context, first, second):
    assert context.fleet.versions() == {first, second}


@then('that process still runs version {version:d}')
def step_still(context, version):
    assert context.fleet.processes[0].version == version


@then('no process of the fleet applied a version out of order')
def step_in_order(context):
    for process in context.fleet.processes:
        taken = list(process.applied_s)
        assert taken == sorted(taken), taken


@then('the publication in the fleet was confirmed')
def step_confirmed(context):
    assert context.confirmations == [True], context.confirmations
    distribution = context.fleet.processes[0].distribution
    found = distribution.versions(context.fleet.network.now_s)
    assert sum(version == 4 for version in found.values()) >= 3, found


@then('the publication in the fleet was not confirmed')
def step_unconfirmed(context):
    assert context.confirmations == [False], context.confirmations


@then(
    'the survey of the fleet shows version {version:d}'
    ' at all but the paused process',
)
def step_surveyed(context, version):
    asker = context.fleet.processes[0].distribution
    found = asker.versions(context.fleet.network.now_s)
    others = context.fleet.processes[1:]
    current = {
        process.me.endpoint
        for process in others
        if found.get(process.me.endpoint) == version
    }
    assert current == {one.me.endpoint for one in others[:-1]}, found


@given('a fault run of the fleet with seed {seed:d}')
def step_fault_run(context, seed):
    context.run = fault_run(seed, 16, 0.1)


@when('the fault run takes {count:d} steps and all faults end')
def step_fault_steps(context, count):
    for _ in range(count):
        context.run.step()
    for process in context.run.fleet.processes:
        process.is_paused = False
    context.run.finish()


@then('the fault run accepted settings, and they are in force everywhere')
def step_fault_held(context):
    accepted = context.run.accepted_version
    assert accepted > 0, context.run.counts
    assert min(context.run.fleet.versions()) >= accepted


@when('the calls of the fleet are counted over {seconds:d} s')
def step_count_calls(context, seconds):
    before = context.fleet.model.call_count
    context.fleet.run(seconds)
    context.call_count = context.fleet.model.call_count - before


@then('the fleet has 2 feeders in each of {centres:d} data centres')
def step_feeders(context, centres):
    places = [one.me.data_centre for one in context.fleet.feeders()]
    wanted = [f'dc-{number}' for number in range(centres)] * 2
    assert sorted(places) == sorted(wanted), places


@then('no other process of the fleet ever called the platform')
def step_no_calls(context):
    feeders = context.fleet.feeders()
    others = [one for one in context.fleet.processes if one not in feeders]
    assert not any(one.store.core.started_count for one in others)


@then('the platform of the fleet received at most {most:d} calls')
def step_most_calls(context, most):
    assert context.call_count <= most, context.call_count


@then('at most {most:d} new processes of the fleet called the platform')
def step_new_processes(context, most):
    callers = [
        one for one in context.new_processes if one.store.core.started_count
    ]
    assert len(callers) <= most, len(callers)


@when('the platform of the fleet holds {body} as settings')
def step_bad_settings(context, body):
    context.fleet.replace_settings(body.encode())


@when('the platform of the fleet loses its open watches')
def step_lose_watches(context):
    context.fleet.model.lose_watches()


@when("the fleet's settings are overwritten with valid ones")
def step_over(context):
    context.fleet.replace_settings(record_body(3, fleet_tree(9)))
