"""Tells whether a SYN that waits at a balancer can still be served in time."""

from collections.abc import Callable
from math import inf, log

from attrs import define, field

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.steering.decay import DecayingCount

RATE_HALF_LIFE_S = 0.5
# A service is overloaded if SYNs arrive more than this many times as fast as
# flows open. In a smaller or shorter surge, waiting SYNs find room after it.
OVERLOAD_RATIO = 2.0
# If no SYN has found room for this long, the service is down rather than
# overloaded. Targets that restart are back soon, so its SYNs are held.
DOWN_AFTER_S = 0.1
# The same in mean intervals between SYNs that find room, for services with
# few flows.
DOWN_AFTER_INTERVALS = 4
# A SYN that waits for an overloaded service is held for this share of its
# route's target latency. Timers included, its client knows within a quarter.
HELD_SHARE = 0.2
# Two overloads with a pause of at most this long between them count as one.
PAUSE_MAX_S = 0.3
# The overload is logged as over after this long without an early refusal.
RELIEVED_AFTER_S = 1.0


def _rate_factory() -> DecayingCount:
    return DecayingCount(RATE_HALF_LIFE_S)


@define(slots=True, eq=False, repr=False)
class QueueOutlook:
    """Measures how many SYNs of one service come, and how many find room.

    Under overload, the SYNs of the lower priorities wait in vain: more urgent
    ones and newer ones are served before them. They are refused early, while a
    retry of their client could still be in time. That begins only when the
    overload has lasted longer than clients wait: a shorter one may be over
    before they leave, and a SYN that waits takes room from nobody.
    """

    _arrived: dict[int, DecayingCount] = field(factory=dict)
    _opened: DecayingCount = field(factory=_rate_factory)
    _opened_s: float = 0.0
    # By priority, when its current overload began and when it was last seen.
    _overloaded_since_s: dict[int, float] = field(factory=dict)
    _overloaded_s: dict[int, float] = field(factory=dict)
    _refused_s: float = -inf
    _is_refusing: bool = False

    def on_arrived(self, limits: RequestLimits, now_s: float) -> None:
        """Records a client's first SYN of a flow."""
        count = self._arrived.setdefault(limits.priority, _rate_factory())
        count.add(now_s)

    def on_opened(self, now_s: float) -> None:
        """Records that a target took a flow."""
        self._opened.add(now_s)
        self._opened_s = now_s

    def update(self, now_s: float) -> None:
        """Records since when each priority is overloaded, at each tick."""
        for priority in self._arrived:
            if self.is_overloaded(priority, now_s):
                self._overloaded_since_s.setdefault(priority, now_s)
                self._overloaded_s[priority] = now_s
            elif now_s - self._overloaded_s.get(priority, now_s) > PAUSE_MAX_S:
                self._overloaded_since_s.pop(priority, None)

    def is_overloaded(self, priority: int, now_s: float) -> bool:
        """Returns whether SYNs arrive too fast for flows to open.

        Only SYNs that are at least as urgent as `priority` count.
        """
        opened_count = self._opened.at(now_s)
        if self._is_down(opened_count, now_s):
            return False
        return self.arrived_count(priority, now_s) > (
            opened_count * OVERLOAD_RATIO
        )

    def held_s(self, limits: RequestLimits, now_s: float) -> float | None:
        """Returns how long a SYN may wait; None if it may use its budget."""
        since_s = self._overloaded_since_s.get(limits.priority, now_s)
        if now_s - since_s < limits.time_limit_s:
            return None
        return limits.target_latency_s * HELD_SHARE

    def arrived_count(self, priority: int, now_s: float) -> float:
        """Returns the decaying count of SYNs that are at least as urgent."""
        return sum(
            count.at(now_s)
            for known, count in self._arrived.items()
            if known <= priority
        )

    def note_change(
        self,
        note: Callable[..., None],
        service: str,
        now_s: float,
        *,
        is_refusing: bool,
    ) -> None:
        """Logs when early refusals begin, and when they are over."""
        if is_refusing:
            self._refused_s = now_s
        is_refusing = now_s - self._refused_s < RELIEVED_AFTER_S
        if is_refusing == self._is_refusing:
            return
        self._is_refusing = is_refusing
        lowest = max(self._arrived, default=0)
        note(
            'queue-overloaded' if is_refusing else 'queue-relieved',
            service=service,
            arrived=round(self.arrived_count(lowest, now_s), 1),
            opened=round(self._opened.at(now_s), 1),
        )

    def _is_down(self, opened_count: float, now_s: float) -> bool:
        if not opened_count:
            return True
        # The count as of the last one: it fades with the outage itself.
        interval_s = RATE_HALF_LIFE_S / log(2) / self._opened.at(self._opened_s)
        down_after_s = max(DOWN_AFTER_S, interval_s * DOWN_AFTER_INTERVALS)
        return now_s - self._opened_s > down_after_s
