"""Steps of target_standin.feature."""

from behave import given, then, when

from features.builders.target_standin import TargetProcess


@given('a target stand-in as a process')
def step_process(context):
    context.target = TargetProcess()
    context.add_cleanup(context.target.stop)


@when(
    '{count:d} callers ask it and reset their connections within {most_ms:g} ms'
)
def step_reset(context, count, most_ms):
    for _ in range(count):
        context.target.ask_and_reset(most_ms / 1000)


@then('it answers the next caller')
def step_answers(context):
    assert context.target.ask().startswith(b'HTTP/1.1 200')
