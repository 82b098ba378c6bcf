"""Steps of roster.feature."""

from random import Random

from attrs import evolve
from behave import given, then, when

from cumindrift.membership.member import MemberState
from cumindrift.objects.roster import (
    Roster,
    decode_roster,
    merge_members,
    roster_key,
)
from features.builders.fleet import RosterBench, member
from features.builders.store import FAULTS
from lab.network import VirtualNetwork


@given('a roster writer "{name}" of "{centre}" that sees {count:d} members')
def step_writer(context, name, centre, count):
    if 'desk' not in context:
        context.desk = RosterBench(VirtualNetwork(Random(3)))
    seen = [member(number) for number in range(count)]
    context.desk.add(name, centre, seen)


@given('a stored roster of invalid octets')
def step_bad_roster(context):
    context.desk = RosterBench(VirtualNetwork(Random(3)))
    context.desk.put(roster_key('dc-0'), b'not a roster')


@when('the roster writer "{name}" sees {count:d} members')
def step_writer_sees(context, name, count):
    context.desk.seen[name] = [member(number) for number in range(count)]


@when('the roster writers run for {seconds:d} s')
def step_writers_run(context, seconds):
    network = context.desk.network
    network.run(network.now_s + seconds)


@when("the roster's platform fault is {fault} for {seconds:d} s")
def step_roster_fault(context, fault, seconds):
    context.desk.model.faults = FAULTS[fault]
    step_writers_run(context, seconds)


@when('a member of the roster changes every second for {seconds:d} s')
def step_roster_changes(context, seconds):
    for revision in range(seconds):
        context.desk.seen['one'][0] = member(0, revision=revision)
        step_writers_run(context, 1)


@then('the stored roster names {count:d} members')
def step_roster_names(context, count):
    stored = context.desk.model.objects[roster_key('dc-0')]
    members = decode_roster(stored.body).content.members
    assert len(members) == count, members


@then('the roster writer "{name}" reported {count:d} members')
def step_told(context, name, count):
    assert len(context.desk.reported[name]) == count, context.desk.reported


@then('the roster was written at most {most:d} times')
def step_written_most(context, most):
    found = context.desk.model.objects[roster_key('dc-0')].version
    assert found <= most, found


@then('the roster was written at least {least:d} times')
def step_written_least(context, least):
    found = context.desk.model.objects[roster_key('dc-0')].version
    assert found >= least, found


@given(
    'a stored roster whose member is at incarnation {inc:d}, revision {rev:d}',
)
def step_stored_member(context, inc, rev):
    context.roster = Roster((member(0, incarnation=inc, revision=rev),))


@when('it is merged with that member at {inc:d}, {rev:d}, {state}')
def step_merge(context, inc, rev, state):
    known = context.roster.members[0]
    other = evolve(
        known,
        incarnation=inc,
        revision=rev,
        state=MemberState[state],
    )
    context.merged = merge_members(context.roster.members, (other,))
    assert merge_members((other,), context.roster.members) == context.merged
    again = merge_members(context.merged.members, (other,))
    assert again == context.merged or state == 'LEFT', again


@then('the merged roster holds {held}')
def step_merged(context, held):
    found = [
        f'{one.incarnation}.{one.revision}' for one in context.merged.members
    ]
    assert found == ([] if held == 'none' else [held]), found
