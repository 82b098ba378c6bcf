"""Admission: how much of its target an agent may use now."""

from bisect import bisect_left
from random import Random

from attrs import define, field

COLD_CONCURRENCY = 1
SMOOTHING = 1 / 16
# A step up needs this share of the speed that the wider limit implies.
STEP_SHARE = 0.9
# And it must be held for this share of the time since the cold start.
HOLD_SHARE = 0.25
# Times have settled when they fell by less than this since the last
# quarter of the time since the cold start.
SETTLED_RATIO = 1.08
SETTLED_SINCE_SHARE = 0.75
FALL_RATIO = 2.0
TRUST_AFTER_S = 30.0
BASELINE_DRIFT_S = 300.0
SPREADS_TOLERATED = 4
FIRST_SAMPLES = 4
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 2.0
HISTORY_STEP_SHARE = 1 / 32


@define(slots=True)
class Course:
    """How response times went since the target was last found cold."""

    since_s: float
    first_s: float = 0.0
    recent_s: float = 0.0
    spread_s: float = 0.0
    sample_count: int = 0
    _moments: list[float] = field(factory=list)
    _times: list[float] = field(factory=list)

    def add(self, elapsed_s: float, now_s: float) -> None:
        """Takes one response time."""
        self.sample_count += 1
        weight = max(SMOOTHING, 1 / self.sample_count)
        deviation_s = abs(elapsed_s - self.recent_s)
        if self.sample_count > 1:
            self.spread_s += weight * (deviation_s - self.spread_s)
        self.recent_s += weight * (elapsed_s - self.recent_s)
        if self.sample_count <= FIRST_SAMPLES:
            self.first_s = self.recent_s
        step_s = (now_s - self.since_s) * HISTORY_STEP_SHARE
        if not self._moments or now_s - self._moments[-1] >= step_s:
            self._moments.append(now_s)
            self._times.append(self.recent_s)

    def has_settled(self, now_s: float) -> bool:
        """Tells whether response times no longer fall, as in a warm-up."""
        age_s = now_s - self.since_s
        then_s = self.since_s + age_s * SETTLED_SINCE_SHARE
        index = bisect_left(self._moments, then_s) - 1
        if index < 0 or self._times[index] > SETTLED_RATIO * self.recent_s:
            return False
        return (
            age_s >= TRUST_AFTER_S or self.first_s >= FALL_RATIO * self.recent_s
        )


@define(slots=True)
class Admission:
    """Limits the requests in flight; used by the request core.

    The limit is what a cold target bears until response times show more.
    A target's concurrency is taken to go with its speed: at half of the
    speed of its calm baseline it is given half of its slots. One response
    slower than the baseline allows, one refusal or one failed connection
    puts the limit back to the floor at once.
    """

    slots: int
    random: Random
    limit: int = COLD_CONCURRENCY
    in_flight: int = 0
    # The baseline: response time and spread of the target when warm.
    calm_s: float | None = None
    spread_s: float = 0.0
    blocked_until_s: float = 0.0
    cold_count: int = 0
    _course: Course | None = None
    _backoff_s: float = BACKOFF_FIRST_S
    _last_head_s: float = float('-inf')
    _waiting: dict[bytes, float] = field(factory=dict)
    _held_since: dict[int, float] = field(factory=dict)

    def may_start(self, now_s: float) -> bool:
        """Tells whether one more request may go to the target."""
        self.check(now_s)
        if self.in_flight >= self.limit or now_s < self.blocked_until_s:
            return False
        if not self._waiting:
            return True
        # After a pause one request probes before others follow.
        return now_s - self._last_head_s <= self._tolerated_s()

    def check(self, now_s: float) -> None:
        """Notes a target that has answered nothing for too long."""
        if self.limit == COLD_CONCURRENCY or not self._waiting:
            return
        age_s = now_s - next(iter(self._waiting.values()))
        if age_s > self._tolerated_s():
            self._turn_cold(now_s)

    def expected_s(self) -> float:
        """Returns the response time to expect now."""
        return self._course.recent_s if self._course else 0.0

    def on_start(self, request_id: bytes, now_s: float) -> None:
        """Counts a request that goes to the target."""
        if self._course is None:
            self._course = Course(now_s)
        self.in_flight += 1
        self._waiting[request_id] = now_s

    def on_head(self, request_id: bytes, now_s: float) -> None:
        """Takes the response time of a request: its answer begins."""
        started_s = self._waiting.pop(request_id, None)
        if started_s is None:
            return
        elapsed_s = now_s - started_s
        is_slow = elapsed_s > self._tolerated_s()
        if is_slow and self.limit > COLD_CONCURRENCY:
            self._turn_cold(now_s)
        self._course.add(elapsed_s, now_s)
        self._learn(now_s)
        self._widen(now_s)
        self._last_head_s = now_s
        self._backoff_s = BACKOFF_FIRST_S

    def on_overdue(self, request_id: bytes, now_s: float) -> None:
        """Takes the time of a request that had no answer until its end."""
        started_s = self._waiting.pop(request_id, None)
        if started_s is not None:
            self._course.add(now_s - started_s, now_s)

    def on_over(self, request_id: bytes) -> None:
        """Frees the place of a request, however it ended."""
        self._waiting.pop(request_id, None)
        self.in_flight -= 1

    def on_bad(self, now_s: float) -> None:
        """Notes a refusal or failure: the target may be cold again."""
        self._turn_cold(now_s)
        wait_s = self._backoff_s * (0.5 + self.random.random())
        self.blocked_until_s = now_s + wait_s
        self._backoff_s = min(BACKOFF_MAX_S, 2 * self._backoff_s)

    def _tolerated_s(self) -> float:
        if self.calm_s is None:
            return float('inf')
        return self.calm_s + max(
            self.calm_s,
            SPREADS_TOLERATED * self.spread_s,
        )

    def _turn_cold(self, now_s: float) -> None:
        self.cold_count += 1
        self.limit = COLD_CONCURRENCY
        self._held_since.clear()
        self._course = Course(now_s)

    def _learn(self, now_s: float) -> None:
        course = self._course
        has_settled = course.has_settled(now_s)
        if self.calm_s is None:
            if has_settled:
                self.calm_s = course.recent_s
                self.spread_s = course.spread_s
            return
        is_trusted = has_settled and now_s - course.since_s > TRUST_AFTER_S
        if self.limit == self.slots or is_trusted:
            gap_s = min(now_s - self._last_head_s, BASELINE_DRIFT_S)
            weight = gap_s / BASELINE_DRIFT_S
            self.calm_s += weight * (course.recent_s - self.calm_s)
            self.spread_s += weight * (course.spread_s - self.spread_s)

    def _widen(self, now_s: float) -> None:
        if self.calm_s is None:
            return
        course = self._course
        bearable = self.slots * self.calm_s / course.recent_s
        hold_s = (now_s - course.since_s) * HOLD_SHARE
        for step in range(self.limit + 1, self.slots + 1):
            if bearable < STEP_SHARE * step:
                self._held_since.pop(step, None)
                continue
            since_s = self._held_since.setdefault(step, now_s)
            if now_s - since_s >= hold_s and step == self.limit + 1:
                self.limit = step
