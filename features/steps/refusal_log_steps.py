"""Steps of refusal_log.feature."""

from behave import given, then

from cumindrift.tool.refusals import find_refusals
from features.builders.node_log import event_of


@given('the events')
def step_events(context):
    context.events = [
        event_of(
            float(row['at_s']),
            row['node'],
            row['event'],
            reason=row['reason'],
            waited_s=float(row['waited_s'] or 0),
        )
        for row in context.table
    ]


@then('the windows are')
def step_windows(context):
    found = [
        [
            window.from_s,
            window.opened_count,
            window.passed['full'],
            window.passed['failing'],
            window.passed['draining'],
            window.reset_early_count,
            window.reset_late_count,
            window.left_count,
            len(window.overloaded),
            len(window.ejected),
        ]
        for window in find_refusals(context.events)
    ]
    assert found == [list(map(float, row)) for row in context.table], found
