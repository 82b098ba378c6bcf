"""Steps of log.feature."""

from behave import given, then, when

from cumindrift.log import RateFilter


def log_at(context, now_s: float, line: int, times: int) -> None:
    """Passes records of one source line to the filter."""
    context.now_s = now_s
    for _ in range(times):
        record = {'name': 'cumindrift.test', 'line': line}
        context.allowed.append(context.rate_filter.allow(record))


@given('a rate filter of {lines:d} lines per period')
def step_filter(context, lines):
    context.allowed = []
    context.rate_filter = RateFilter(lambda: context.now_s, lines)


@when(
    'one source line logs {first:d} times at 0 s and {second:d} times at 11 s'
)
def step_one_line(context, first, second):
    log_at(context, 0.0, 1, first)
    log_at(context, 11.0, 1, second)


@when('two source lines log {times:d} times each at 0 s')
def step_two_lines(context, times):
    log_at(context, 0.0, 1, times)
    log_at(context, 0.0, 2, times)


@then('{number:d} lines were allowed')
def step_allowed(context, number):
    assert sum(context.allowed) == number, context.allowed
