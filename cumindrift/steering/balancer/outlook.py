"""Tells whether a SYN that waits at a balancer can still be served in time."""

from collections.abc import Callable
from math import inf

from attrs import define, field

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.steering.decay import DecayingCount

RATE_HALF_LIFE_S = 0.5
# A service is overloaded if this many times more SYNs come than find room. In
# a smaller or shorter surge, the SYNs that wait find room after it.
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
# The overload is logged as over after this long without an early refusal.
RELIEVED_AFTER_S = 1.0


def _rate_factory() -> DecayingCount:
    return DecayingCount(RATE_HALF_LIFE_S)


@define(slots=True, eq=False, repr=False)
class QueueOutlook:
    """Measures how many SYNs of one service come, and how many find room.

    Under overload, the SYNs of the lower priorities wait in vain: more urgent
    ones and newer ones are served before them. They are refused early, while a
    retry of their client could still be in time. A surge may be over before
    the SYNs that wait have to leave, so early refusals begin only when one of
    them has waited for nothing.
    """

    _arrived: dict[int, DecayingCount] = field(factory=dict)
    _opened: DecayingCount = field(factory=_rate_factory)
    _opened_s: float = 0.0
    # The priorities whose SYNs wait in vain.
    _futile: set[int] = field(factory=set)
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

    def on_expired(self, limits: RequestLimits, now_s: float) -> None:
        """Records a SYN that has waited as long as its route allows."""
        if self.is_overloaded(limits.priority, now_s):
            self._futile.add(limits.priority)

    def is_overloaded(self, priority: int, now_s: float) -> bool:
        """Returns whether SYNs up to this priority come faster than they go."""
        opened_count = self._opened.at(now_s)
        if self._is_down(opened_count, now_s):
            return False
        return self.arrived_count(priority, now_s) > (
            opened_count * OVERLOAD_RATIO
        )

    def held_s(self, limits: RequestLimits, now_s: float) -> float | None:
        """Returns how long a SYN may wait; None if it may use its budget."""
        if limits.priority not in self._futile:
            return None
        if not self.is_overloaded(limits.priority, now_s):
            self._futile.discard(limits.priority)
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
        interval_s = RATE_HALF_LIFE_S / opened_count
        down_after_s = max(DOWN_AFTER_S, interval_s * DOWN_AFTER_INTERVALS)
        return now_s - self._opened_s > down_after_s
