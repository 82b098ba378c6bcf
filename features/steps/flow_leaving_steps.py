"""Steps of flow_leaving.feature."""

from itertools import count

from behave import given, then, when

from cumindrift.membership.member import MemberState
from cumindrift.traffic.flow import CLOSED_LINGER_S, Flow
from features.builders.flow import TICK_S, flow_bench, key_of
from features.steps.flow_finding_steps import leave, names_of
from lab.flowrun import make_run

LEDGER = bytes(range(256)) * 12


@given('a flow fleet of 7 agents with {number:d} flows')
def step_flows(context, number):
    context.bench = flow_bench()
    context.keys = [key_of(index) for index in range(number)]
    context.held = {key: context.bench.open(key) for key in context.keys}
    context.bench.wait(1.0)


@given('a flow fleet of 7 agents where one holds 4000 flows')
def step_one_holds(context):
    bench = flow_bench()
    context.keys = [key_of(index) for index in range(4000)]
    finder = bench.finders['a']
    for key in context.keys:
        finder.table.held[key] = Flow(bench.now_s, bench.now_s)
    finder.replicator.on_keepers_moved()
    bench.wait(5.0)
    context.bench = bench


@when('3 agents join the flow fleet')
def step_join(context):
    context.bench.add('h', 'i', 'j')


@then('no tick sends more than {most:d} flow records')
def step_slices(context, most):
    bench = context.bench
    bench.now_s += TICK_S
    actions = bench.finders['a'].tick(bench.now_s)
    assert 0 < len(actions) <= most, len(actions)
    bench.run_actions('a', actions)


@then('{ticks:d} ticks later both record keepers of every flow have its record')
def step_keepers(context, ticks):
    bench = context.bench
    bench.wait(ticks * TICK_S)
    missing = [
        key
        for key in context.keys
        for name in names_of(bench, key)[:2]
        if name != 'a' and key not in bench.finders[name].table.records
    ]
    assert not missing, len(missing)


@when('the flow is closed and its linger time is over')
def step_close(context):
    bench = context.bench
    bench.finders[context.holder].close(context.key, bench.now_s)
    bench.wait(CLOSED_LINGER_S + 2)


@then('no agent stores the flow record')
def step_no_record(context):
    keepers = [
        name
        for name, finder in context.bench.finders.items()
        if context.key in finder.table.records
        or context.key in finder.table.held
    ]
    assert not keepers, keepers


@when('the home of the first flow drains')
def step_home_drains(context):
    context.leaver = names_of(context.bench, context.keys[0])[0]
    context.bench.change(context.leaver, MemberState.DRAINING)


@then('it may leave the flow fleet only after its flows are closed')
def step_may_leave(context):
    bench = context.bench
    finder = bench.finders[context.leaver]
    bench.wait(2.0)
    assert finder.table.held
    assert not finder.may_leave(bench.now_s)
    for key in list(finder.table.held):
        finder.close(key, bench.now_s)
    bench.wait(CLOSED_LINGER_S + 2)
    assert finder.may_leave(bench.now_s), finder.table


@then('the flow records that it stored are at two other agents')
def step_handed_on(context):
    bench = context.bench
    kept = bench.finders[context.leaver].table.records
    assert kept
    for key, record in kept.items():
        knowing = [
            name
            for name, finder in bench.finders.items()
            if name != context.leaver and key in finder.table.records
        ]
        others = [
            name
            for name in names_of(bench, key)
            if name != context.leaver
            and bench.members[name].member_id != record.holder.member_id
        ]
        assert set(others[:2]) <= set(knowing), (others, knowing)


def lose(bench, loss):
    """Starts losing messages as the step text says."""
    number = count(1)
    lossy = loss == 'every third message'
    bench.is_lost = lambda _message: lossy and not next(number) % 3


def hand_over(context, loss):
    """Stops the busiest agent after its handover."""
    bench = context.bench
    context.stopped = max(
        bench.finders,
        key=lambda name: len(bench.finders[name].table.held),
    )
    bench.change(context.stopped, MemberState.DRAINING)
    lose(bench, loss)
    finder = bench.finders[context.stopped]
    finder.handover.start(LEDGER)
    bench.wait(3.0)
    assert finder.handover.is_acknowledged()
    bench.is_lost = lambda _message: False
    context.former = bench.members[context.stopped]
    leave(bench, context.stopped)
    bench.wait(0.5)


@when('an agent hands its flows over, losing {loss}')
def step_hand_over(context, loss):
    hand_over(context, loss)


@when('an agent hands its flows over and its data centre goes out')
def step_hand_over_out(context):
    hand_over(context, 'no messages')


def bring_back(context):
    """Starts the next incarnation of the stopped agent."""
    former = context.former
    context.bench.members[context.stopped] = former
    context.bench.change(context.stopped, MemberState.SERVING)
    context.bench.restart(context.stopped)


@when('its next incarnation starts, losing {loss}')
def step_restart_lossy(context, loss):
    bring_back(context)
    lose(context.bench, loss)
    context.bench.wait(2.5)
    context.bench.is_lost = lambda _message: False
    context.bench.wait(2.0)


@when('its next incarnation starts')
def step_restart(context):
    bring_back(context)
    context.bench.publish_view(out=(context.former.data_centre,))
    context.bench.wait(1.0)
    context.bench.publish_view()
    context.bench.wait(4.0)


@then('the flows and the ledger are back')
def step_back(context):
    finder = context.bench.finders[context.stopped]
    expected = {
        key for key, name in context.held.items() if name == context.stopped
    }
    assert expected
    assert set(finder.table.held) == expected, len(finder.table.held)
    assert finder.handover.take_ledger() == LEDGER


@then('every flow packet is delivered at its former holder')
def step_all_delivered(context):
    bench = context.bench
    bench.delivered.clear()
    for key in context.keys:
        bench.send(key)
    expected = [(context.held[key], key) for key in context.keys]
    assert bench.delivered == expected, len(bench.delivered)


@then('the restarted agent holds no flow')
def step_no_flows(context):
    held = context.bench.finders[context.stopped].table.held
    assert not held, len(held)


@when('a flow run of {events:d} messages is made with seed {seed:d}')
def step_run(context, events, seed):
    context.run = make_run(seed)
    context.run.run(events)


@when('a flow run of {events:d} messages is made without records')
def step_run_bare(context, events):
    context.run = make_run(1, has_records=False)
    context.run.run(events)


@then('it checked over {checks:d} flow packets and broke no flow')
def step_unbroken(context, checks):
    counts = context.run.counts
    assert counts['checks'] > checks, counts
    assert not counts['broken'], counts


@then('the run broke at least one flow')
def step_broke(context):
    assert context.run.counts['broken'], context.run.counts


@when('the data centre of one keeper is taken out as it starts again')
def step_other_out(context):
    bench = context.bench
    keepers = [
        name
        for name, finder in bench.finders.items()
        if context.former.member_id in finder.handover.stored_owner_ids()
    ]
    centres = {bench.members[name].data_centre for name in keepers}
    assert len(centres) == 2, centres
    bring_back(context)
    bench.publish_view(out=(min(centres),))
    bench.wait(4.0)


@when('records reach an agent whose data centre is not yet back in')
def step_told_while_out(context):
    bench = context.bench
    context.keeper = 'a'
    centre = bench.members['a'].data_centre
    bench.publish_view(out=(centre,))
    bench.wait(1.0)
    for name, finder in bench.finders.items():
        if name != 'a':
            finder.on_view(bench.view(), bench.now_s)
    bench.wait(2.0)
    context.records = set(bench.finders['a'].table.records)
    bench.finders['a'].on_view(bench.view(out=(centre, 'x')), bench.now_s)
    bench.finders['a'].on_view(bench.view(), bench.now_s)


@then('those flow records are kept')
def step_records_stand(context):
    assert context.records
    records = set(context.bench.finders['a'].table.records)
    assert context.records <= records, len(records)


@when('its next incarnation starts while one keeper is unreachable')
def step_keeper_cut(context):
    bench = context.bench
    cut = next(
        name
        for name, finder in bench.finders.items()
        if context.former.member_id in finder.handover.stored_owner_ids()
    )
    context.cut = bench.finders.pop(cut)
    bring_back(context)
    bench.wait(4.0)
    bench.finders[cut] = context.cut


@then('the flows are back and the ledger is not')
def step_flows_only(context):
    finder = context.bench.finders[context.stopped]
    expected = {
        key for key, name in context.held.items() if name == context.stopped
    }
    assert expected
    assert set(finder.table.held) == expected, len(finder.table.held)
    assert not finder.handover.take_ledger()


@when('that keeper is reachable and a third incarnation starts')
def step_third(context):
    context.bench.restart(context.stopped)
    context.bench.wait(4.0)


@then('the ledger is not adopted')
def step_no_ledger(context):
    finder = context.bench.finders[context.stopped]
    assert not finder.handover.take_ledger()


@then('it may not leave before its flows are back')
def step_not_yet(context):
    finder = context.bench.finders[context.stopped]
    assert not finder.table.held
    assert not finder.may_leave(context.bench.now_s)


@when('its next incarnation has just started')
def step_just_started(context):
    bring_back(context)
