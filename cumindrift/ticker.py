"""Tickers: components that call a core once a period."""

from collections.abc import Callable
from random import SystemRandom
from time import time

from circuits import Event, Timer, handler

from cumindrift.supervision import Child

# Every tick of a process falls on one grid, so that the loop wakes once for
# all that are due; the grid's phase differs between processes, so that they
# do not act in step.
_GRID_PHASE_S = SystemRandom().random()


class tick(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired on the ticker's own channel when a period is over."""


def seconds_to_grid(now_s: float, period_s: float) -> float:
    """Returns the time until the next multiple of `period_s`."""
    return period_s - (now_s - _GRID_PHASE_S) % period_s


class Ticker(Child):
    """Calls `call` every `period_s` seconds; used by all supervisors.

    With `idle_period_s` the ticker slows down to that period whenever
    `call` returns anything but True, which tells that work is under way.
    """

    def __init__(
        self,
        name: str,
        period_s: float,
        call: Callable[[], bool | None],
        idle_period_s: float | None = None,
    ) -> None:
        """Starts with the loop."""
        super().__init__(channel=f'ticker-{name}')
        self._call = call
        self._period_s = period_s
        self._idle_period_s = idle_period_s or period_s
        self._timer = Timer(
            seconds_to_grid(time(), period_s),
            tick(),
            self.channel,
            persist=True,
        ).register(self)

    @handler('tick')
    def _on_tick(self) -> None:
        is_busy = self._call()
        period_s = self._period_s if is_busy else self._idle_period_s
        self._timer.reset(seconds_to_grid(time(), period_s))
