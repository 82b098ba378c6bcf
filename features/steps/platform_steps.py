"""Steps of platform.feature."""

from random import Random

from attrs import evolve
from behave import given, then, when

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Refused
from features.builders.store import (
    FAULTS,
    MemoryStore,
    stand_in_store,
)
from lab.network import VirtualNetwork
from lab.platform_fleet import client_of_model


@given('the store "{kind}" of the platform')
def step_store(context, kind):
    context.network = VirtualNetwork(Random(7))
    context.outcomes = []
    if kind == 'memory':
        context.model = context.store = MemoryStore()
    else:
        stand_in = stand_in_store(context.network)
        context.model = stand_in.model
        context.store = stand_in.store


@given('the platform store holds version {version:d} of "{key}"')
def step_holds(context, version, key):
    for number in range(version):
        context.store.write(key, b'%d' % number, number, f'w{number}', _ignore)
        context.network.run(context.network.now_s + 1)


@when('the platform fault is {fault}')
def step_fault(context, fault):
    faults = FAULTS[fault]
    if isinstance(context.model, MemoryStore):
        context.model.is_down = faults.is_down
        context.model.loses_answers = faults.loses_answers
    else:
        context.model.faults = faults


@when('the platform store writes "{key}" against {version:d} as "{write_id}"')
def step_write(context, key, version, write_id):
    context.store.write(
        key,
        b'new',
        version,
        write_id,
        context.outcomes.append,
    )


@when('the platform store reads "{key}"')
def step_read(context, key):
    context.store.read(key, context.outcomes.append)


@when('the platform store watches "{key}" above {version:d}')
def step_watch(context, key, version):
    context.store.watch(key, version, context.outcomes.append)


@when('another writer replaces "{key}"')
def step_replace(context, key):
    stored = context.model.objects[key]
    replaced = evolve(stored, version=stored.version + 1, write_id='other')
    context.model.store(key, replaced, context.network.now_s)


@when('{seconds:g} seconds pass at the platform')
def step_pass(context, seconds):
    context.network.run(context.network.now_s + seconds)


@then('the platform outcomes are "{codes}"')
def step_outcomes(context, codes):
    names = [outcome.code.name for outcome in context.outcomes]
    assert names == codes.split(), context.outcomes


@then('there is no platform outcome yet')
def step_no_outcome(context):
    assert not context.outcomes, context.outcomes


@then('"{key}" is stored in version {version:d}')
def step_stored(context, key, version):
    stored = context.model.objects.get(key)
    found = 0 if stored is None else stored.version
    assert found == version, stored


@then('the platform outcomes are correct for "{key}" written as "{write_id}"')
def step_true(context, key, write_id):
    stored = context.model.objects.get(key)
    ids = getattr(context.model, 'write_ids', {})
    last = ids.get(key, getattr(stored, 'write_id', ''))
    for outcome in context.outcomes:
        if isinstance(outcome, Done):
            assert last == write_id, (outcome, last)
        elif isinstance(outcome, NotRun | Refused):
            assert last != write_id, (outcome, last)


@then('the last platform outcome holds version {version:d}')
def step_last(context, version):
    assert context.outcomes[-1].content.version == version, context.outcomes


@given('{count:d} platform clients and one stand-in that is down')
def step_clients(context, count):
    step_store(context, 'stand-in')
    step_fault(context, 'down')
    context.clients = [
        client_of_model(context.network, context.model) for _ in range(count)
    ]


@when('each client repeats its watch of "{key}" for {seconds:d} s')
def step_storm(context, key, seconds):
    def again(client, outcome):
        if isinstance(outcome, Done):
            context.outcomes.append(outcome)
        else:
            assert outcome.code is ResultCode.PLATFORM_DOWN, outcome
            client.watch(key, 0, lambda other: again(client, other))

    for client in context.clients:
        client.watch(key, 0, lambda outcome, it=client: again(it, outcome))
    context.most = 0
    context.total = 0
    _count_calls(context, seconds)


@when('the platform is back with version 1 of "{key}" for {seconds:d} s')
def step_back(context, key, seconds):
    step_fault(context, 'none')
    context.store.write(key, b'x', 0, 'w0', _ignore)
    context.most = 0
    _count_calls(context, seconds)


@then('the platform received at most {most:d} calls in any second')
def step_most(context, most):
    assert context.most <= most, context.most


@then('all {count:d} platform clients have a result')
def step_all(context, count):
    assert len(context.outcomes) == count, len(context.outcomes)


def _count_calls(context, seconds):
    for _ in range(seconds):
        before = context.model.call_count
        context.network.run(context.network.now_s + 1)
        context.most = max(context.most, context.model.call_count - before)


def _ignore(_outcome):
    """Ignores the outcome of a write that prepares the scenario."""
