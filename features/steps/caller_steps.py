"""Steps of the caller feature."""

from collections import Counter

from behave import given, then, when

from cumindrift.caller.message import Request
from cumindrift.outcome import Done
from features.builders.caller import ServiceBench, SessionBench, outcome_of


@given("a caller's session")
def step_session(context):
    context.bench = SessionBench()


@when('the session processes {script}')
def step_processes(context, script):
    context.bench.play(script)


@then('its outcome is {outcome}')
def step_outcome(context, outcome):
    found = [
        found.content.body.decode()
        if isinstance(found, Done)
        else found.code.name
        for found in context.bench.outcomes
    ]
    assert found == ([] if outcome == 'none' else [outcome]), found


@then('it has sent {names}')
def step_sent(context, names):
    assert context.bench.names() == names.split(', '), context.bench.sent


@then('all copies have the same incarnation and creation time, and count up')
def step_copies(context):
    copies = [
        message
        for message in context.bench.sent
        if isinstance(message, Request)
    ]
    assert len(copies) == 3, copies
    assert len({(copy.incarnation, copy.born_ms) for copy in copies}) == 1
    assert [copy.transmission for copy in copies] == [1, 2, 3], copies
    assert {copy.attempt for copy in copies} == {1}, copies


@given('a service whose agents reply {name}')
def step_service(context, name):
    context.service = ServiceBench(outcome_of(name))


@when('a caller makes {count:d} calls')
def step_calls(context, count):
    context.calls = count
    context.service.call(count)


@then('the agents received {count:d} attempts')
def step_attempts(context, count):
    assert len(context.service.ids) == count, len(context.service.ids)


@then('all calls ended')
def step_ended(context):
    assert len(context.service.outcomes) == context.calls


@then('all attempts of a call had one id')
def step_one_id(context):
    attempts = Counter(request_id for request_id, _ in context.service.ids)
    assert len(attempts) == context.calls, attempts
    assert len(set(context.service.ids)) == len(context.service.ids)


@then('only the flow in use is open')
def step_open(context):
    service = context.service
    opened = [flow for flow in service.flows if not flow.is_finished]
    assert len(opened) <= 1, opened
