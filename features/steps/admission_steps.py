"""Steps of the admission feature."""

from behave import given, then, when

from features.builders.admission import (
    NOW_S,
    allowed_count,
    cold_run,
    signals,
    warm_admission,
)


@given(
    'a target that warms up in 2 seconds, is cold after {cause} and limited '
    'by {limit}'
)
def step_cold(context, cause, limit):
    context.cause = cause
    context.limit = limit


@when('it is under full load for 4 warm-up times with seed {seed:d}')
def step_load(context, seed):
    context.run = cold_run(context.cause, context.limit, seed)


@then("admission exceeded the target's capacity {count:d} times")
def step_excess(context, count):
    assert context.run.model.excess_count == count, context.run


@then('the target collapsed {count:d} more times')
def step_collapsed(context, count):
    caused = context.run.model.collapse_count - (context.cause == 'fall')
    assert caused == count, context.run.model


@then('the target collapsed more than {count:d} times')
def step_collapsed_often(context, count):
    assert context.run.model.collapse_count > count, context.run.model


@then('admission used all slots within {ramps:d} warm-up times')
def step_full(context, ramps):
    run = context.run
    ramp_s = run.full_load_s - run.model.cold_since_s
    assert ramp_s <= ramps * run.model.warm_s, ramp_s


@given('admission to a warm target with all slots in use')
def step_warm(context):
    context.admission = warm_admission()
    context.now_s = NOW_S


@when('admission observes {signal}')
def step_observes(context, signal):
    signals.get(signal)(context.admission)


@when('admission waits {seconds:d} seconds')
def step_waits(context, seconds):
    context.now_s += seconds


@then('admission allows {count:d} requests at once')
def step_allows(context, count):
    assert allowed_count(context.admission, context.now_s) == count
