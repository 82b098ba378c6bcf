"""The work model of a target: slots, speed, cold starts and falling over.

The stand-in server and the runs in virtual time share it.
"""

from attrs import define, field

COLD_SHARE = 0.25
FALLEN_S = 1.0
STEP_S = 0.005
# Starts above twice what it bears, without relief between, and it falls.
PRESSES_MAX = 4
PRESS_RATIO = 2
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
    fallen_until_s: float = float('-inf')
    # Starts above what the target bore at that moment.
    excess_count: int = 0
    fall_count: int = 0
    # Keys whose work a fall has broken off, until they are taken.
    broken: list[str] = field(factory=list)
    _left_s: dict[str, float] = field(factory=dict)
    _moment_s: float = float('-inf')
    _presses: int = 0

    @property
    def running(self) -> int:
        """The number of requests that run."""
        return len(self._left_s)

    def share(self, now_s: float) -> float:
        """Returns how much of its full speed the target has."""
        age_s = max(0.0, now_s - self.cold_since_s)
        warmth = min(1.0, age_s / self.warm_s) if self.warm_s else 1.0
        return COLD_SHARE + (1 - COLD_SHARE) * warmth

    def bearable(self, now_s: float) -> int:
        """Returns how many requests at once the target bears now."""
        return max(1, int(self.slots * self.share(now_s) + _ROUNDING))

    def is_fallen(self, now_s: float) -> bool:
        """Tells whether the target refuses all work."""
        return now_s < self.fallen_until_s

    def start(self, key: str, work_s: float, now_s: float) -> bool:
        """Starts a request; False when the target sheds it."""
        if self.is_fallen(now_s):
            return False
        bearable = self.bearable(now_s)
        running = self.running + 1
        self.excess_count += running > bearable
        if running <= bearable:
            self._presses = 0
        self._presses += running > PRESS_RATIO * bearable
        if self._presses >= PRESSES_MAX:
            self.collapse(now_s)
            return False
        self._left_s[key] = work_s
        return True

    def stop(self, key: str) -> None:
        """Ends a request whose caller has closed its connection."""
        self._left_s.pop(key, None)

    def advance(self, now_s: float) -> list[str]:
        """Works until `now_s`; returns the keys that are done."""
        done: list[str] = []
        moment_s = max(self._moment_s, now_s - FALLEN_S)
        while moment_s < now_s and self._left_s:
            step_s = min(STEP_S, now_s - moment_s)
            moment_s += step_s
            done.extend(self._work(step_s, moment_s))
        self._moment_s = now_s
        return done

    def turn_cold(self, now_s: float) -> None:
        """Makes the target cold again, without a warning to anybody."""
        self.cold_since_s = now_s

    def collapse(self, now_s: float) -> None:
        """Breaks off all work and refuses more for FALLEN_S; then cold."""
        self.fall_count += 1
        self.fallen_until_s = now_s + FALLEN_S
        self.cold_since_s = self.fallen_until_s
        self._presses = 0
        self.broken.extend(self._left_s)
        self._left_s.clear()

    def _work(self, step_s: float, now_s: float) -> list[str]:
        crowding = min(1.0, self.bearable(now_s) / self.running)
        progress_s = step_s * self.speed * self.share(now_s) * crowding
        for key in self._left_s:
            self._left_s[key] -= progress_s
        done = [key for key, left_s in self._left_s.items() if left_s <= 0]
        for key in done:
            self._left_s.pop(key)
        return done
