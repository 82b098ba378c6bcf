"""Steps of emulator.feature."""

from pathlib import Path
from tempfile import TemporaryDirectory

from attrs import evolve
from behave import given, then, when

from cumindrift.outcome import Refused
from features.builders.emulation import (
    experiment_text,
    load_experiment,
    text_with,
)
from lab.emulator.experiment import FaultPlan, read_experiment
from lab.emulator.fuzz import run_fuzz
from lab.emulator.play import known_choices, play

FAULTY = {
    'an unknown key': experiment_text(balancer_count=3),
    'an unknown key of a class': text_with('classes', rate=3),
    'an unknown key of a fault': text_with('faults', after=3),
    'an unknown kind of fault': text_with('faults', kind='earthquake'),
    'an unknown router': experiment_text(router='nearest'),
    'an unknown queue order': experiment_text(queue_order='loudest'),
    'a time in words': experiment_text(length_s='half a minute'),
    'a rate of zero': text_with('classes', rate_per_s=0),
    'a text that is not JSON': '{"name": ',
}


@when('the experiment {name} is played')
def step_play(context, name):
    context.result = play(load_experiment(name))


@when('the experiment {name} is played at 1 and at 3 times what it can do')
def step_play_loads(context, name):
    plan = load_experiment(name)
    context.rates = []
    for times in (1, 3):
        load = times / plan.utilisation
        result = play(evolve(plan, load=load))
        served = sum(window.served for window in result.windows)
        context.rates.append(served / plan.length_s)


@when('the experiment {name} is played twice')
def step_play_twice(context, name):
    context.results = [play(load_experiment(name)) for _ in range(2)]


@when('the experiment {name} is played with and without judged targets')
def step_play_judged(context, name):
    play_judged(context, load_experiment(name))


@when('{count:d} targets of {name} fail with and without judged targets')
def step_play_failing(context, count, name):
    fault = FaultPlan(kind='target-failing', at_s=4, for_s=6, count=count)
    plan = load_experiment(name)
    play_judged(context, evolve(plan, faults=(fault,), length_s=16))


def play_judged(context, plan):
    """Plays a plan with judged targets, and beside it without."""
    context.result, context.unjudged = (
        play(evolve(plan, judges_targets=judges)) for judges in (True, False)
    )


@then(
    'judged, {share:g} of the class {name} is in time,'
    ' and {gain:g} more than otherwise'
)
def step_urgent(context, share, name, gain):
    judged = share_in_time(context.result, name)
    otherwise = share_in_time(context.unjudged, name)
    assert judged >= max(share, otherwise + gain), (judged, otherwise)


@then('judged, the class {name} is served too')
def step_not_starved(context, name):
    judged = share_in_time(context.result, name)
    assert judged >= share_in_time(context.unjudged, name), judged


def share_in_time(result, name):
    """Returns the share of a class's requests that are served in time."""
    found = [each for each in result.ledger.records if each.class_name == name]
    in_time = [
        each
        for each in found
        if each.is_served and each.latency_s <= each.target_latency_s
    ]
    return len(in_time) / len(found)


@then('judged, {share:g} is served in each window, and otherwise less')
def step_few_lost(context, share):
    judged, otherwise = (
        min(each.served_share for each in result.windows)
        for result in (context.result, context.unjudged)
    )
    assert judged >= share > otherwise, (judged, otherwise)


@given('an experiment with {what}')
def step_faulty(context, what):
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'experiment.json'
        path.write_text(FAULTY[what], 'utf-8')
        context.outcome = read_experiment(path, known_choices())


@then(
    '{share:g} is served in each window from {seconds:g} s after the faults on'
)
def step_recovered(context, share, seconds):
    result = context.result
    from_s = result.faults_end_s + seconds
    late = [each for each in result.windows if each.from_s >= from_s]
    found = [each.served_share for each in late]
    assert found
    assert min(found) >= share, found


@then('{share:g} is served in each window')
def step_served(context, share):
    found = [each.served_share for each in context.result.windows]
    assert min(found) >= share, found


@then('no promise is broken')
def step_kept(context):
    assert not context.result.breaches(), context.result.breaches()[:5]


@then('the requests served a second differ by {share:g} at the most')
def step_goodput(context, share):
    usual, overloaded = context.rates
    assert overloaded >= usual * (1 - share), context.rates


@then('both runs have the same requests, frames and latencies')
def step_same(context):
    first, second = (
        (each.ledger.counts, each.ledger.latencies_s())
        for each in context.results
    )
    assert first == second


@then('no promise breaks in {count:d} random experiments from seed {seed:d}')
def step_fuzz(context, count, seed):
    run_fuzz(count, seed, shrinks=False)


@then('it is refused at {place}, and told {told}')
@then('it is refused at {place}, and told ')
def step_refused(context, place, told=''):
    outcome = context.outcome
    assert isinstance(outcome, Refused), outcome
    assert outcome.path.startswith(place), outcome
    assert told in outcome.detail, outcome
