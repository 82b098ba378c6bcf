"""Admission: how much of its target an agent may use now."""

from math import sqrt
from random import Random

from attrs import define, field

from cumindrift.traffic.response_history import SAMPLES_MIN, ResponseHistory

COLD_CONCURRENCY = 1
# A step up needs this share of the speed that the wider limit implies.
STEP_SHARE = 0.94
BASELINE_DRIFT_S = 300.0
SPREADS_TOLERATED = 6
SLOW_RATIO = 2.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 2.0
RESPONSE_MIN_S = 1e-6


@define(slots=True)
class Admission:
    """Limits the requests in flight; used by the request core.

    The limit is what a cold target bears until response times show more.
    A target's concurrency is taken to go with its speed: at half of the
    speed of its calm baseline it is given half of its slots.

    One response slower than the baseline allows holds it at the floor until
    the next one, which clears it or confirms that the target is cold. One
    refusal or one failed connection is enough.
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
    _history: ResponseHistory | None = None
    _full_s: float | None = None
    # Samples in the baseline: it is their mean until it starts to drift.
    _learned_count: int = 0
    _backoff_s: float = BACKOFF_FIRST_S
    _last_head_s: float = float('-inf')
    _waiting: dict[bytes, float] = field(factory=dict)
    # The last response was too slow; the next one decides.
    _is_suspect: bool = False

    def may_start(self, now_s: float) -> bool:
        """Tells whether one more request may go to the target."""
        overdue_count = self.check(now_s)
        is_suspect = self._is_suspect or overdue_count > 0
        limit = COLD_CONCURRENCY if is_suspect else self.limit
        if self.in_flight >= limit or now_s < self.blocked_until_s:
            return False
        if not self._waiting:
            return True
        # After a pause one request probes before others follow.
        return now_s - self._last_head_s <= self._tolerated_s()

    def check(self, now_s: float) -> int:
        """Returns how many responses are overdue; two of them are enough."""
        since_s = now_s - self._tolerated_s()
        count = sum(begun_s < since_s for begun_s in self._waiting.values())
        if count > 1 and self.limit > COLD_CONCURRENCY:
            self._doubt(now_s)
        return count

    def expected_s(self) -> float:
        """Returns the response time to expect now."""
        return self._history.smoothed_s if self._history else 0.0

    def on_start(self, request_id: bytes, now_s: float) -> None:
        """Counts a request that goes to the target."""
        if self._history is None:
            self._history = ResponseHistory(now_s)
        self.in_flight += 1
        self._waiting[request_id] = now_s

    def on_head(self, request_id: bytes, now_s: float) -> None:
        """Takes the response time of a request: its answer begins."""
        started_s = self._waiting.pop(request_id, None)
        if started_s is None:
            return
        elapsed_s = max(RESPONSE_MIN_S, now_s - started_s)
        if self.limit > COLD_CONCURRENCY and self.calm_s is not None:
            self._judge(elapsed_s, now_s)
        self._history.add(elapsed_s, now_s)
        self._learn(now_s)
        self._widen(now_s)
        self._last_head_s = now_s
        self._backoff_s = BACKOFF_FIRST_S

    def on_overdue(self, request_id: bytes, now_s: float) -> None:
        """Takes the time of a request that had no answer until its end."""
        started_s = self._waiting.pop(request_id, None)
        if started_s is not None:
            self._history.add(now_s - started_s, now_s)

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

    def _judge(self, elapsed_s: float, now_s: float) -> None:
        is_slow = elapsed_s > self._tolerated_s()
        is_slower = self._history.smoothed_s > SLOW_RATIO * self.calm_s
        if is_slower or (is_slow and self._is_suspect):
            self._doubt(now_s)
        self._is_suspect = is_slow

    def _doubt(self, now_s: float) -> None:
        # Slow again before it was sure to be warm: the same cold start.
        history = self._history
        full_s = self._full_s
        is_new = full_s is not None and now_s >= full_s + history.window_s(
            full_s
        )
        self._turn_cold(now_s)
        if not is_new:
            history.counted_from_s = now_s
            self._history = history

    def _turn_cold(self, now_s: float) -> None:
        self.cold_count += 1
        self.limit = COLD_CONCURRENCY
        self._full_s = None
        self._is_suspect = False
        self._history = ResponseHistory(now_s)

    def _learn(self, now_s: float) -> None:
        history = self._history
        has_settled = history.has_settled(now_s)
        if self.calm_s is None:
            if has_settled:
                settled = history.mean_since(now_s - history.window_s(now_s))
                self.calm_s = settled.mean_s
                self.spread_s = history.spread_s
                self._learned_count = settled.count
            return
        is_calm = self.limit == self.slots and not self._is_suspect
        if not is_calm and not has_settled:
            return
        self._learned_count += 1
        gap_s = min(now_s - self._last_head_s, BASELINE_DRIFT_S)
        weight = max(gap_s / BASELINE_DRIFT_S, 1 / self._learned_count)
        self.calm_s += weight * (history.smoothed_s - self.calm_s)
        self.spread_s += weight * (history.spread_s - self.spread_s)

    def _widen(self, now_s: float) -> None:
        history = self._history
        if self.calm_s is None or self.limit == self.slots:
            return
        from_s = now_s - history.window_s(now_s)
        seen = history.mean_since(from_s)
        if from_s < history.counted_from_s or seen.count < SAMPLES_MIN:
            return
        # The few response times seen may have been lucky ones.
        doubt_s = self.spread_s / sqrt(seen.count)
        bearable = self.slots * self.calm_s / (seen.mean_s + doubt_s)
        if bearable >= STEP_SHARE * (self.limit + 1):
            self.limit += 1
        if self.limit == self.slots:
            self._full_s = now_s
