"""Logging set-up: one line per event, as text or JSON, rate-limited."""

import sys
from collections.abc import Callable
from time import monotonic
from typing import Any

from attrs import define, field
from loguru import logger

from cumindrift.metric import LOG_LINES_DROPPED

LINES_PER_PERIOD = 50
PERIOD_S = 10.0
_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process]} {message}'
)


@define(slots=True)
class LineBudget:
    """Lines that one source line has logged in the current period."""

    ends_s: float
    used_count: int = 0


@define(slots=True)
class RateFilter:
    """Limits what each source line may log per period; a loguru filter.

    An error that repeats a thousand times per second is then logged
    LINES_PER_PERIOD times in PERIOD_S seconds; the rest is only counted.
    """

    clock: Callable[[], float] = monotonic
    lines_per_period: int = LINES_PER_PERIOD
    _budgets: dict[tuple[str, int], LineBudget] = field(factory=dict)

    def allow(self, record: dict[str, Any]) -> bool:
        """Tells whether loguru may write this record."""
        source = (record['name'], record['line'])
        now_s = self.clock()
        budget = self._budgets.get(source)
        if budget is None or budget.ends_s <= now_s:
            budget = LineBudget(now_s + PERIOD_S)
            self._budgets[source] = budget
        budget.used_count += 1
        if budget.used_count <= self.lines_per_period:
            return True
        LOG_LINES_DROPPED.inc()
        return False


def set_up_logs(process: str, log_format: str, level: str) -> None:
    """Configures logging to standard error; `log_format` is text or json."""
    logger.remove()
    logger.configure(extra={'process': process})
    logger.add(
        sys.stderr,
        format=_TEXT_FORMAT,
        level=level,
        filter=RateFilter().allow,
        serialize=log_format == 'json',
        backtrace=False,
        diagnose=False,
    )
