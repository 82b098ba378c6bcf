"""A ticker in a loop with test clocks."""

from contextlib import ExitStack
from threading import RLock
from unittest.mock import patch

from attrs import define, field
from circuits import Component
from circuits.core.events import generate_events

from cumindrift.ticker import Ticker

STEP_S = 0.005
# Where timers and tickers read the steady clock, and where the timers of
# circuits read the time of day.
STEADY_CLOCKS = ('cumindrift.timer.monotonic', 'cumindrift.ticker.monotonic')
TIME_OF_DAY = 'circuits.core.timers.time'


@define(eq=False)
class TickerBench:
    """Counts the calls of a ticker; `jump_s` is added to the time of day."""

    period_s: float
    idle_period_s: float | None = None
    now_s: float = 1000.0
    jump_s: float = 0.0
    count: int = 0
    root: Component = field(factory=Component)
    lock: RLock = field(factory=RLock)

    def __attrs_post_init__(self) -> None:
        """Registers the ticker."""
        with self._clocks():
            ticker = Ticker(
                'bench', self.period_s, self._call, self.idle_period_s
            )
            ticker.register(self.root)

    def run(self, seconds: float) -> None:
        """Runs the loop for a time of the steady clock."""
        until_s = self.now_s + seconds
        with self._clocks():
            while self.now_s < until_s:
                self.now_s += STEP_S
                self.root.fire(generate_events(self.lock, STEP_S), '*')
                self.root.tick()
                self.root.flush()

    def _clocks(self) -> ExitStack:
        stack = ExitStack()
        for place in STEADY_CLOCKS:
            stack.enter_context(patch(place, lambda: self.now_s))
        stack.enter_context(patch(TIME_OF_DAY, self._time_of_day))
        return stack

    def _time_of_day(self) -> float:
        return 1e9 + self.now_s + self.jump_s

    def _call(self) -> bool:
        self.count += 1
        return False
