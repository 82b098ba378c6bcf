"""Steps of the feature about the page of metrics."""

from pathlib import Path

from behave import given, then

from lab.metric_table import metric_rows, metric_table

# Label values come from settings or from the list of codes, never from
# callers, so that nobody can make a process keep endless series.
BOUNDED_LABELS = {
    'team', 'service', 'code', 'direction', 'invariant', 'kind', 'state',
    'outcome', 'reason', 'stage', 'supervisor', 'decision', 'verb', 'result',
}  # fmt: skip


@given('the page docs/METRICS.md')
def step_page(context):
    context.page = Path('docs/METRICS.md').read_text('utf-8')


@then('it holds a row for each metric of the program and no other')
def step_rows(context):
    wanted = metric_table().splitlines()
    found = [line for line in context.page.splitlines() if line[:1] == '|']
    assert found == wanted, set(found) ^ set(wanted)


@then('every label is bounded')
def step_labels(context):
    for name, _, labels, _ in metric_rows():
        used = set(labels.split(', ')) - {''}
        assert used <= BOUNDED_LABELS, (name, used)
