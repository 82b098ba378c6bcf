"""The work model of a target: slots, speed, cold starts and falling over.

The stand-in server and the runs in virtual time share it.
"""

from attrs import define, field

COLD_SHARE = 0.25
COLLAPSED_S = 1.0
STEP_S = 0.005
# Starts above twice what it bears, without relief between, and it falls.
OVERLOADED_STARTS_MAX = 4
OVERLOAD_RATIO = 2
_ROUNDING = 1e-9


@define(slots=True)
class WorkModel:
    """A target that warms up in `warm_s` and falls over when pressed.

    A cold target works at COLD_SHARE of its speed and bears COLD_SHARE of
    its slots; both grow evenly until it is warm. What runs above what it
    bears shares the speed of what it bears.
    """

    slots: int
    speed: float
    warm_s: float
    cold_since_s: float
    collapsed_until_s: float = float('-inf')
    # Starts above what the target bore at that moment.
    excess_count: int = 0
    collapse_count: int = 0
    # Keys whose work a fall has aborted, until they are taken.
    aborted_keys: list[str] = field(factory=list)
    _remaining_s: dict[str, float] = field(factory=dict)
    _advanced_until_s: float = float('-inf')
    _overloaded_starts: int = 0

    @property
    def running(self) -> int:
        """The number of requests that run."""
        return len(self._remaining_s)

    def share(self, now_s: float) -> float:
        """Returns how much of its full speed the target has."""
        age_s = max(0.0, now_s - self.cold_since_s)
        warmth = min(1.0, age_s / self.warm_s) if self.warm_s else 1.0
        return COLD_SHARE + (1 - COLD_SHARE) * warmth

    def capacity(self, now_s: float) -> int:
        """Returns how many requests at once the target bears now."""
        return max(1, int(self.slots * self.share(now_s) + _ROUNDING))

    def is_collapsed(self, now_s: float) -> bool:
        """Tells whether the target refuses all work."""
        return now_s < self.collapsed_until_s

    def start(self, key: str, work_s: float, now_s: float) -> bool:
        """Starts a request; False when the target sheds it."""
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
        """Ends a request whose caller has closed its connection."""
        self._remaining_s.pop(key, None)

    def advance(self, now_s: float) -> list[str]:
        """Works until `now_s`; returns the keys that are done."""
        done: list[str] = []
        moment_s = max(self._advanced_until_s, now_s - COLLAPSED_S)
        while moment_s < now_s and self._remaining_s:
            step_s = min(STEP_S, now_s - moment_s)
            moment_s += step_s
            done.extend(self._work(step_s, moment_s))
        self._advanced_until_s = now_s
        return done

    def turn_cold(self, now_s: float) -> None:
        """Makes the target cold again, without a warning to anybody."""
        self.cold_since_s = now_s

    def collapse(self, now_s: float) -> None:
        """Breaks off all work and refuses more for COLLAPSED_S; then cold."""
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
