"""Steps of metrics.feature."""

from pathlib import Path

from behave import given, then

from lab.metric_table import metric_rows, metric_table

# The values of these labels come from settings or from the list of result
# codes, never from callers, which could otherwise create unlimited series.
BOUNDED_LABELS = {
    'team', 'service', 'code', 'direction', 'invariant', 'kind', 'state',
    'outcome', 'reason', 'stage', 'supervisor', 'decision', 'verb', 'result',
    'priority',
}  # fmt: skip


@given('the page docs/METRICS.md')
def step_page(context):
    context.page = Path('docs/METRICS.md').read_text('utf-8')


@then('it has exactly one row for each metric of the program')
def step_rows(context):
    wanted = metric_table().splitlines()
    found = [line for line in context.page.splitlines() if line[:1] == '|']
    assert found == wanted, set(found) ^ set(wanted)


@then('every label has a bounded set of values')
def step_labels(context):
    for name, _, labels, _ in metric_rows():
        used = set(labels.split(', ')) - {''}
        assert used <= BOUNDED_LABELS, (name, used)
