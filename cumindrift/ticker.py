"""Tickers: components that call a function periodically."""

from collections.abc import Callable
from random import SystemRandom
from time import monotonic

from circuits import Event, handler

from cumindrift.supervision import Child
from cumindrift.timer import SteadyTimer

# All tickers of a process fire on a common time grid, so that the event loop
# wakes up once for all that are due. The phase of the grid is random, so that
# processes are not synchronised.
_GRID_PHASE_S = SystemRandom().random()


class tick(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired on the ticker's own channel at the end of a period."""


def seconds_to_grid(now_s: float, period_s: float) -> float:
    """Returns the time until the next grid point for `period_s`."""
    return period_s - (now_s - _GRID_PHASE_S) % period_s


class Ticker(Child):
    """Calls `call` every `period_s` seconds; used by all supervisors.

    `call` returns True while work is in progress. Otherwise the next call
    follows after `idle_period_s`, if that is given.
    """

    def __init__(
        self,
        name: str,
        period_s: float,
        call: Callable[[], bool | None],
        idle_period_s: float | None = None,
    ) -> None:
        """Creates the timer, which fires while the event loop runs."""
        super().__init__(channel=f'ticker-{name}')
        self._call = call
        self._period_s = period_s
        self._idle_period_s = idle_period_s or period_s
        self._timer = SteadyTimer(
            seconds_to_grid(monotonic(), period_s),
            tick(),
            self.channel,
            is_periodic=True,
        ).register(self)

    @handler('tick')
    def _on_tick(self) -> None:
        is_busy = self._call()
        period_s = self._period_s if is_busy else self._idle_period_s
        self._timer.restart(seconds_to_grid(monotonic(), period_s))
