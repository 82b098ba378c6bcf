"""Steps of timer.feature."""

from behave import given, then, when

from features.builders.timer import TickerBench


@given('a ticker with a period of {period_s:g} s')
def step_ticker(context, period_s):
    context.bench = TickerBench(period_s)


@given(
    'a ticker with a period of {period_s:g} s, and of {idle_s:g} s when idle'
)
def step_idle_ticker(context, period_s, idle_s):
    context.bench = TickerBench(period_s, idle_s)


@when('it runs for {seconds:g} s')
def step_run(context, seconds):
    context.bench.run(seconds)


@when('the time of day jumps by {jump_s:g} s')
def step_jump(context, jump_s):
    context.bench.jump_s = jump_s


@then('it has been called {low:d} to {high:d} times')
def step_called(context, low, high):
    assert low <= context.bench.count <= high, context.bench.count
