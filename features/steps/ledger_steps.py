"""Steps of the request ledger feature."""

from behave import given, then, when

from cumindrift.traffic.request_action import Pause, Reply, Resume, Stop
from features.builders.request import OTHER_CALLER, Bench, make_core
from lab.requestrun import RequestRun


@given('the ledger of a new agent')
def step_fresh(context):
    context.bench = Bench()


@given('a ledger that keeps {entries:d} entries and {octets:d} octets')
def step_bounded(context, entries, octets):
    core = make_core(entries_max=entries, response_bytes_max=octets)
    context.bench = Bench(core)


@when('the ledger processes {script}')
def step_processes(context, script):
    context.bench.play(script)


@then("the ledger's last replies are {names}")
def step_replies(context, names):
    found = context.bench.reply_names()
    assert found == _expand(names), found


def _expand(names):
    if names == 'none':
        return []
    if names.startswith('parts '):
        first, last = names.removeprefix('parts ').split(' to ')
        return [f'part {number}' for number in range(int(first), int(last) + 1)]
    return names.split(', ')


@then('the ledger ran {count:d} requests')
def step_ran(context, count):
    run_ids = context.bench.run_ids
    assert len(run_ids) == count, run_ids
    assert len(set(run_ids)) == count, run_ids


@then('the connection to the target is {expected}')
def step_connection_state(context, expected):
    state = 'open'
    for action in context.bench.actions:
        if isinstance(action, Pause):
            state = 'paused'
        elif isinstance(action, Resume):
            state = 'open'
        elif isinstance(action, Stop):
            state = 'closed'
    assert state == expected, context.bench.actions


@then('the ledger is within its bounds')
def step_within(context):
    ledger = context.bench.core.ledger
    assert len(ledger.entries) <= ledger.entries_max, len(ledger.entries)
    assert ledger.response_bytes <= ledger.response_bytes_max, (
        ledger.response_bytes
    )
    kept = sum(
        entry.response.size_bytes
        for entry in ledger.entries.values()
        if entry.response is not None
    )
    assert kept == ledger.response_bytes, (kept, ledger.response_bytes)


@then("the ledger's last replies go to the caller's new address")
def step_new_address(context):
    peers = {
        action.caller
        for action in context.bench.last
        if isinstance(action, Reply)
    }
    assert peers == {OTHER_CALLER}, peers


@then('the agent has stopped')
def step_stopped(context):
    bench = context.bench
    assert bench.core.has_stopped(bench.now_s)


@then('the agent has not stopped')
def step_not_stopped(context):
    bench = context.bench
    assert not bench.core.has_stopped(bench.now_s)


@when('{events:d} messages are run under faults with seed {seed:d}')
def step_run(context, events, seed):
    context.run = RequestRun(seed, events)
    context.run.run()


@then('no request ran twice, was falsely refused or got a wrong response')
def step_right(context):
    truth = context.run.ground_truth
    assert truth.outcomes['DONE'] > 0, truth
    assert truth.duplicate_run_count == 0, truth
    assert truth.false_not_run_count == 0, truth
    assert truth.corrupt_response_count == 0, truth
    assert context.run.unsettled_count == 0, truth
