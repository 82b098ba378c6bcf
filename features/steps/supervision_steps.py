"""Steps of supervision.feature."""

from behave import given, then, when

from features.builders.supervision import (
    CountingCore,
    counting_tree,
    fire_and_settle,
)


@given('a supervisor whose child counts in a core')
def step_counting(context):
    context.core = CountingCore()
    context.root = counting_tree(context.core)


@when('the child counts {first:d} times, fails, and counts {second:d} times')
def step_counts(context, first, second):
    for must_fail in [False] * first + [True] + [False] * second:
        fire_and_settle(context.root, 'only', must_fail=must_fail)


@when('the child fails {times:d} times within the restart period')
def step_fails(context, times):
    for _ in range(times):
        fire_and_settle(context.root, 'only', must_fail=True)


@then('the count in the core is {number:d}')
def step_counted(context, number):
    assert context.core.counted == number, context.core


@then('the child was built {times:d} times')
def step_built(context, times):
    assert context.core.built == {'only': times}, context.core


@then('the supervisor has given up')
def step_gave_up(context):
    assert context.root.gave_up


@then('every child was released')
def step_released(context):
    built = sum(context.core.built.values())
    assert context.core.released == built, context.core


@given('a supervisor with children a, b and c under {strategy}')
def step_three(context, strategy):
    context.core = CountingCore()
    context.root = counting_tree(context.core, ('a', 'b', 'c'), strategy)


@when('child b fails')
def step_b_fails(context):
    fire_and_settle(context.root, 'b', must_fail=True)


@then('{names} were built twice')
def step_twice(context, names):
    twice = [name for name, times in context.core.built.items() if times == 2]
    assert sorted(twice) == names.split(','), context.core
