"""Model of a target's work: slots, speed, cold starts and collapses.

The stand-in server and the simulations use it.
"""

from attrs import define, field

COLD_SHARE = 0.25
COLLAPSED_S = 1.0
STEP_S = 0.005
# The target collapses after this many starts above OVERLOAD_RATIO times its
# capacity, with no start within its capacity between them.
OVERLOADED_STARTS_MAX = 4
OVERLOAD_RATIO = 2
_ROUNDING = 1e-9


@define(slots=True)
class WorkModel:
    """A target that warms up in `warm_s` and collapses under overload.

    A cold target has COLD_SHARE of its full speed and of its slots; both
    grow linearly until it is warm. Requests beyond this capacity share the
    speed that a target at capacity has in total.
    """

    slots: int
    speed: float
    warm_s: float
    cold_since_s: float
    collapsed_until_s: float = float('-inf')
    # Starts beyond the capacity of that moment.
    excess_count: int = 0
    collapse_count: int = 0
    # Keys of requests that a collapse aborted; the owner removes them.
    aborted_keys: list[str] = field(factory=list)
    _remaining_s: dict[str, float] = field(factory=dict)
    _advanced_until_s: float = float('-inf')
    _overloaded_starts: int = 0

    @property
    def running(self) -> int:
        """The number of running requests."""
        return len(self._remaining_s)

    def share(self, now_s: float) -> float:
        """Returns the current speed as a share of the full speed."""
        age_s = max(0.0, now_s - self.cold_since_s)
        warmth = min(1.0, age_s / self.warm_s) if self.warm_s else 1.0
        return COLD_SHARE + (1 - COLD_SHARE) * warmth

    def capacity(self, now_s: float) -> int:
        """Returns how many requests the target can run at full pace now."""
        return max(1, int(self.slots * self.share(now_s) + _ROUNDING))

    def is_collapsed(self, now_s: float) -> bool:
        """Returns True while the target refuses all requests."""
        return now_s < self.collapsed_until_s

    def start(self, key: str, work_s: float, now_s: float) -> bool:
        """Starts a request; returns False if the target refuses it."""
        if self.is_collapsed(now_s):
            return False
        capacity = self.capacity(now_s)
        running = self.running + 1
        self.excess_count += running > capacity
        if running <= capacity:
            self._overloaded_starts = 0
        self._overloaded_starts += running > OVERLOAD_RATIO * capacity
        if self._overloaded_starts >= OVERLOADED_STARTS_MAX:
            self.collapse(now_s)
            return False
        self._remaining_s[key] = work_s
        return True

    def stop(self, key: str) -> None:
        """Removes a request whose caller closed its connection."""
        self._remaining_s.pop(key, None)

    def advance(self, now_s: float) -> list[str]:
        """Advances all work to `now_s`; returns the finished keys."""
        done: list[str] = []
        moment_s = max(self._advanced_until_s, now_s - COLLAPSED_S)
        while moment_s < now_s and self._remaining_s:
            step_s = min(STEP_S, now_s - moment_s)
            moment_s += step_s
            done.extend(self._work(step_s, moment_s))
        self._advanced_until_s = now_s
        return done

    def turn_cold(self, now_s: float) -> None:
        """Makes the target cold again without notice."""
        self.cold_since_s = now_s

    def collapse(self, now_s: float) -> None:
        """Aborts all requests, refuses new ones for COLLAPSED_S, then cold."""
        self.collapse_count += 1
        self.collapsed_until_s = now_s + COLLAPSED_S
        self.cold_since_s = self.collapsed_until_s
        self._overloaded_starts = 0
        self.aborted_keys.extend(self._remaining_s)
        self._remaining_s.clear()

    def _work(self, step_s: float, now_s: float) -> list[str]:
        slowdown = min(1.0, self.capacity(now_s) / self.running)
        progress_s = step_s * self.speed * self.share(now_s) * slowdown
        for key in self._remaining_s:
            self._remaining_s[key] -= progress_s
        done = [
            key
            for key, remaining_s in self._remaining_s.items()
            if remaining_s <= 0
        ]
        for key in done:
            self._remaining_s.pop(key)
        return done
