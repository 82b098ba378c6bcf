"""Measures admission control of cold targets under full load.

Compares it with a limiter that always uses all slots, and with one that knows
the target's state.
"""

import sys
from collections.abc import Callable
from itertools import product
from random import Random
from typing import Protocol

from absl import app, flags
from attrs import define, field
from tabulate import tabulate

from cumindrift.registry import Registry
from cumindrift.traffic.admission import AdmissionController
from standin.model import WorkModel

STEP_S = 0.001
SLOTS = 4
COLD_AFTER_RAMPS = 6.0
COLD_MIN_S = 60.0
RUN_AFTER_RAMPS = 4.0


class Limiter(Protocol):
    """Decides whether one more request may start."""

    def may_start(self, now_s: float) -> bool:
        """Returns whether one more request may start."""

    def on_start(self, request_id: bytes, now_s: float) -> None:
        """Records that a request was started."""

    def on_head(self, request_id: bytes, now_s: float) -> None:
        """Records the start of a response."""

    def on_finished(self, request_id: bytes) -> None:
        """Records the end of a request."""

    def on_failure(self, now_s: float) -> None:
        """Records a failed request."""


LimiterMaker = Callable[[WorkModel, Random], Limiter]
limiters: Registry[LimiterMaker] = Registry('limiter')


@limiters.register('admission')
def _make_admission(model: WorkModel, random: Random) -> Limiter:
    return AdmissionController(model.slots, random)


@limiters.register('all slots')
@define(slots=True)
class AllSlots:
    """Uses all slots of the target, cold or not: the lower baseline."""

    model: WorkModel
    random: Random

    def may_start(self, now_s: float) -> bool:
        """Returns whether a slot is free."""
        return self.model.running < self._limit(now_s)

    def on_start(self, request_id: bytes, now_s: float) -> None:
        """Does nothing: the limit depends on the target's model only."""

    def on_head(self, request_id: bytes, now_s: float) -> None:
        """Does nothing: the limit depends on the target's model only."""

    def on_finished(self, request_id: bytes) -> None:
        """Does nothing: the limit depends on the target's model only."""

    def on_failure(self, now_s: float) -> None:
        """Does nothing: the limit depends on the target's model only."""

    def _limit(self, _now_s: float) -> int:
        return self.model.slots


@limiters.register('perfect ramp')
@define(slots=True)
class PerfectRamp(AllSlots):
    """Limits to what the target can run at that moment: the ideal."""

    def _limit(self, now_s: float) -> int:
        return self.model.capacity(now_s)


@define(slots=True, eq=False)
class WarmUpRun:
    """One target under constant full load."""

    limiter_name: str
    model: WorkModel
    work_s: Callable[[], float]
    random: Random
    now_s: float = 0.0
    last_excess_s: float | None = None
    limiter: Limiter = field(init=False)
    # When the target first used all its slots while it was warm.
    full_load_s: float | None = None
    done_count: int = 0
    _number: int = 0

    def __attrs_post_init__(self) -> None:
        """Builds the limiter."""
        make = limiters.get(self.limiter_name)
        self.limiter = make(self.model, self.random)

    def run(self, until_s: float) -> None:
        """Runs up to `until_s`."""
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._step()

    def reset_counts(self) -> None:
        """Resets all counts, so that they cover what follows."""
        self.full_load_s = None
        self.last_excess_s = None
        self.done_count = 0
        self.model.excess_count = 0
        self.model.collapse_count = 0

    def _step(self) -> None:
        now_s = self.now_s
        for key in self.model.advance(now_s):
            self.done_count += 1
            self.limiter.on_head(key.encode(), now_s)
            self.limiter.on_finished(key.encode())
        for _ in range(self.model.slots):
            if not self.limiter.may_start(now_s):
                break
            self._start(now_s)
        while self.model.aborted_keys:
            self.limiter.on_finished(self.model.aborted_keys.pop().encode())
        is_full = self.model.running == self.model.slots
        if is_full and self.full_load_s is None and self._is_warm():
            self.full_load_s = now_s

    def _is_warm(self) -> bool:
        return self.model.capacity(self.now_s) == self.model.slots

    def _start(self, now_s: float) -> None:
        self._number += 1
        key = str(self._number)
        excess_before = self.model.excess_count
        self.limiter.on_start(key.encode(), now_s)
        if not self.model.start(key, self.work_s(), now_s):
            self.limiter.on_failure(now_s)
            self.limiter.on_finished(key.encode())
        if self.model.excess_count > excess_before:
            self.last_excess_s = now_s


@define(frozen=True, slots=True)
class ColdStartCase:
    """How a target gets cold, and its timings."""

    cause: str
    warm_s: float
    work_s: float
    distribution: str


COLD_CAUSES = ('start', 'silent turn', 'fall')
# Warm-up time and mean work of a request, in seconds.
TIMINGS = ((2.0, 0.02), (10.0, 0.1), (30.0, 0.1))
CASES = tuple(
    ColdStartCase(cause, *timings, distribution)
    for cause, timings, distribution in product(
        COLD_CAUSES,
        TIMINGS,
        ('even', 'exponential'),
    )
)

distributions: Registry[Callable[[Random, float], float]] = Registry(
    'distribution'
)


@distributions.register('even')
def _draw_even(random: Random, mean_s: float) -> float:
    return mean_s * (0.5 + random.random())


@distributions.register('exponential')
def _draw_exponential(random: Random, mean_s: float) -> float:
    return random.expovariate(1 / mean_s)


def run_case(case: ColdStartCase, limiter_name: str, seed: int) -> WarmUpRun:
    """Runs one case; the counts start when the target gets cold."""
    random = Random(seed)
    model = WorkModel(SLOTS, 1.0, case.warm_s, 0.0)
    draw = distributions.get(case.distribution)
    run = WarmUpRun(
        limiter_name,
        model,
        lambda: draw(random, case.work_s),
        random,
    )
    if case.cause != 'start':
        run.run(max(COLD_MIN_S, COLD_AFTER_RAMPS * case.warm_s))
        run.reset_counts()
        model.turn_cold(run.now_s)
    if case.cause == 'fall':
        model.collapse(run.now_s)
    run.run(model.cold_since_s + RUN_AFTER_RAMPS * case.warm_s)
    return run


def row(
    case: ColdStartCase, limiter_name: str, runs: list[WarmUpRun]
) -> list[object]:
    """Returns the report row of one case over all its runs."""
    ramps = [
        (run.full_load_s - run.model.cold_since_s) / case.warm_s
        for run in runs
        if run.full_load_s is not None
    ]
    last_excess_s = [
        run.last_excess_s - run.model.cold_since_s
        for run in runs
        if run.last_excess_s is not None
    ]
    return [
        case.cause,
        case.warm_s,
        case.work_s,
        case.distribution,
        limiter_name,
        sum(run.model.excess_count for run in runs),
        max(last_excess_s, default=None),
        sum(run.model.collapse_count for run in runs),
        max(ramps, default=None) if len(ramps) == len(runs) else 'never',
        sum(run.done_count for run in runs),
    ]


HEADERS = (
    'cold by',
    'warm_s',
    'work_s',
    'times',
    'limit by',
    'excess starts',
    'last after s',
    'falls',
    'full after ramps',
    'done',
)


def _seeds() -> range:
    first = flags.FLAGS.seed
    return range(first, first + flags.FLAGS.seeds)


def _run(_arguments: list[str]) -> int:
    rows = []
    for case in CASES:
        for name in limiters.names():
            runs = [run_case(case, name, seed) for seed in _seeds()]
            rows.append(row(case, name, runs))
    table = tabulate(rows, HEADERS, tablefmt='github', floatfmt='.2f')
    sys.stdout.write(f'{table}\n')
    return 0


if __name__ == '__main__':
    flags.DEFINE_integer('seed', 1, 'The first seed.')
    flags.DEFINE_integer('seeds', 5, 'How many seeds to run.')
    app.run(_run)
