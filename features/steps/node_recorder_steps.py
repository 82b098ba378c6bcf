"""Steps of node_recorder.feature."""

from behave import given, then, when

from cumindrift.fleet.call import AnswerTag, CallVerb
from features.builders.node_store import RecorderBench


@given('an agent that has not read the record of its flows')
def step_recorder(context):
    context.bench = RecorderBench()


@when('the record is being read')
def step_reads(context):
    assert context.bench.start_call().verb is CallVerb.READ


@when('no record is found')
def step_none_found(context):
    step_reads(context)
    context.bench.end_call(AnswerTag.ABSENT)


@when('no record is found, and one is written')
def step_creates(context):
    step_none_found(context)
    assert context.bench.start_call().verb is CallVerb.CREATE


@when('a record is found, and one is written')
def step_replaces(context):
    step_reads(context)
    context.bench.end_call(AnswerTag.DONE)
    assert context.bench.start_call().verb is CallVerb.REPLACE


@when('the removal of the record is requested')
def step_request(context):
    context.bench.recorder.request_removal()


@when('the running call ends with {tag}')
def step_ends(context, tag):
    context.bench.end_call(AnswerTag(tag))


@then('the record does not count as removed')
def step_is_stored(context):
    assert not context.bench.recorder.is_removed


@then('the record counts as removed')
def step_is_removed(context):
    assert context.bench.recorder.is_removed


@then('the next call removes the record')
def step_removes(context):
    assert context.bench.start_call().verb is CallVerb.REMOVE


@then('no call is made')
def step_no_call(context):
    assert context.bench.start_call() is None
