"""Plays an experiment and says how it went."""

from attrs import define

from cumindrift.steering.balancer.open_queue import queue_orders
from lab.emulator.experiment import Choices, Experiment
from lab.emulator.fault import faults, schedule_faults
from lab.emulator.ledger import Breach, Ledger, Window
from lab.emulator.router import routers
from lab.emulator.world import SETTLE_S, World

# From this long after the last fault on, requests have to be served again.
RECOVERY_BOUND_S = 3.0
GOOD_SHARE = 0.95
# Above this share of the targets' capacity, no service is promised.
UTILISATION_MAX = 0.8
# Fewer requests in a window say nothing about a share of 0.95.
SAMPLE_MIN = 40


@define(frozen=True, slots=True, eq=False)
class Result:
    """One run: its experiment, what became of the requests, and when."""

    plan: Experiment
    ledger: Ledger
    windows: tuple[Window, ...]

    @property
    def faults_end_s(self) -> float:
        """Returns when the last fault ends; 0 without a fault."""
        ends_s = [fault.at_s + fault.for_s for fault in self.plan.faults]
        return max(ends_s, default=0.0)

    @property
    def recovery_s(self) -> float | None:
        """Returns after how long every window is served well again.

        None if the last window is not.
        """
        good_from_s = None
        for window in reversed(self.windows):
            if window.served_share < GOOD_SHARE:
                break
            good_from_s = window.from_s
        if good_from_s is None:
            return None
        return max(good_from_s - self.faults_end_s, 0.0)

    @property
    def served_share(self) -> float:
        """Returns the served part of all requests."""
        served = sum(window.served for window in self.windows)
        offered = sum(window.offered for window in self.windows)
        return served / max(offered, 1)

    def breaches(self) -> list[Breach]:
        """Returns all broken promises, that of recovery included."""
        return [*self.ledger.breaches, *self._unserved(), *self._run_twice()]

    def _unserved(self) -> list[Breach]:
        """Returns the windows in which an overload has outlived its cause."""
        if self.plan.utilisation > UTILISATION_MAX:
            return []
        from_s = self.faults_end_s + RECOVERY_BOUND_S
        return [
            Breach('recovery', window.from_s, f'{window.served_share:.3f}')
            for window in self.windows
            if window.from_s >= from_s
            and window.offered >= SAMPLE_MIN
            and window.served_share < GOOD_SHARE
        ]

    def _run_twice(self) -> list[Breach]:
        once = {
            each.name for each in self.plan.classes if not each.is_idempotent
        }
        return [
            Breach('run once', record.started_s, str(record.number))
            for record in self.ledger.records
            if record.class_name in once and record.run_count > 1
        ]


def known_choices() -> Choices:
    """Returns the names that experiments may select."""
    return Choices(
        tuple(faults.names()),
        tuple(routers.names()),
        tuple(queue_orders.names()),
    )


def play(plan: Experiment) -> Result:
    """Plays an experiment to its end; the same one gives the same result."""
    world = World(plan)
    schedule_faults(world)
    ledger = world.run()
    windows = ledger.windows(SETTLE_S, plan.length_s)
    return Result(plan, ledger, tuple(windows))
