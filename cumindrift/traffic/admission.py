"""Admission control: adapts a concurrency limit to the target's speed."""

from math import sqrt
from random import Random

from attrs import define, field

from cumindrift.traffic.response_history import SAMPLES_MIN, ResponseHistory

# Concurrency limit of a cold target; the limit never falls below it.
COLD_CONCURRENCY = 1
# The limit is raised by one once the target shows at least this share of the
# speed that the higher limit calls for.
STEP_UP_THRESHOLD = 0.94
# The baseline adapts to slow changes of response times over about this time.
BASELINE_ADAPTATION_S = 300.0
# A response is slow if it exceeds the baseline by more than this many mean
# deviations, and by more than the baseline itself.
DEVIATIONS_TOLERATED = 6
# Smoothed response times above this multiple of the baseline mean cold.
SLOW_RATIO = 2.0
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 2.0
RESPONSE_TIME_MIN_S = 1e-6


@define(slots=True)
class AdmissionController:
    """Limits the requests in flight at a target; used by the request core.

    A target that has just started is cold: it is slow and can run only
    few requests at once. The limit starts at `COLD_CONCURRENCY` and rises
    one by one up to `slots` as response times fall. The concurrency that a
    target sustains is assumed to be proportional to its speed: at half the
    speed of its baseline it gets half of its slots.

    One slow response holds the limit at `COLD_CONCURRENCY` until the next
    response, which either restores it or confirms that the target is cold.
    One refusal or failed connection resets the limit at once.
    """

    slots: int
    random: Random
    limit: int = COLD_CONCURRENCY
    in_flight: int = 0
    # Response time of the warm target and its mean deviation; None until
    # response times have settled once.
    baseline_s: float | None = None
    baseline_deviation_s: float = 0.0
    blocked_until_s: float = 0.0
    cold_start_count: int = 0
    _history: ResponseHistory | None = None
    _full_limit_since_s: float | None = None
    # Samples in the baseline. At first it is their mean; later samples get
    # the weight that follows from BASELINE_ADAPTATION_S.
    _baseline_count: int = 0
    _backoff_s: float = BACKOFF_FIRST_S
    _last_head_s: float = float('-inf')
    # Start times of the requests whose response has not begun.
    _awaiting_response: dict[bytes, float] = field(factory=dict)
    # The last response was slow; if the next one is too, the target is cold.
    _is_suspect: bool = False

    def may_start(self, now_s: float) -> bool:
        """Returns whether one more request may be sent to the target."""
        overdue_count = self.check_overdue(now_s)
        is_suspect = self._is_suspect or overdue_count > 0
        limit = COLD_CONCURRENCY if is_suspect else self.limit
        if self.in_flight >= limit or now_s < self.blocked_until_s:
            return False
        if not self._awaiting_response:
            return True
        # After an idle period one request probes the target first; others
        # wait for its response.
        return now_s - self._last_head_s <= self._slow_threshold_s()

    def check_overdue(self, now_s: float) -> int:
        """Returns the number of overdue responses.

        Two or more mark the target as cold.
        """
        since_s = now_s - self._slow_threshold_s()
        count = sum(
            begun_s < since_s for begun_s in self._awaiting_response.values()
        )
        if count > 1 and self.limit > COLD_CONCURRENCY:
            self._on_slowdown(now_s)
        return count

    def expected_response_s(self) -> float:
        """Returns the smoothed response time, 0 if there is none yet."""
        return self._history.smoothed_s if self._history else 0.0

    def on_start(self, request_id: bytes, now_s: float) -> None:
        """Records that a request was sent to the target."""
        if self._history is None:
            self._history = ResponseHistory(now_s)
        self.in_flight += 1
        self._awaiting_response[request_id] = now_s

    def on_head(self, request_id: bytes, now_s: float) -> None:
        """Records the response time of a request whose response begins."""
        started_s = self._awaiting_response.pop(request_id, None)
        if started_s is None:
            return
        elapsed_s = max(RESPONSE_TIME_MIN_S, now_s - started_s)
        if self.limit > COLD_CONCURRENCY and self.baseline_s is not None:
            self._detect_slowdown(elapsed_s, now_s)
        self._history.add(elapsed_s, now_s)
        self._update_baseline(now_s)
        self._raise_limit(now_s)
        self._last_head_s = now_s
        self._backoff_s = BACKOFF_FIRST_S

    def on_timeout(self, request_id: bytes, now_s: float) -> None:
        """Records the time of a request that ended without a response."""
        started_s = self._awaiting_response.pop(request_id, None)
        if started_s is not None:
            self._history.add(now_s - started_s, now_s)

    def on_finished(self, request_id: bytes) -> None:
        """Frees the slot of a request, however it ended."""
        self._awaiting_response.pop(request_id, None)
        self.in_flight -= 1

    def on_failure(self, now_s: float) -> None:
        """Resets the limit after a refusal or failure of the target.

        New requests are held back for a randomised, exponentially growing
        time.
        """
        self._reset_to_cold(now_s)
        wait_s = self._backoff_s * (0.5 + self.random.random())
        self.blocked_until_s = now_s + wait_s
        self._backoff_s = min(BACKOFF_MAX_S, 2 * self._backoff_s)

    def _slow_threshold_s(self) -> float:
        if self.baseline_s is None:
            return float('inf')
        return self.baseline_s + max(
            self.baseline_s,
            DEVIATIONS_TOLERATED * self.baseline_deviation_s,
        )

    def _detect_slowdown(self, elapsed_s: float, now_s: float) -> None:
        is_slow = elapsed_s > self._slow_threshold_s()
        is_slower = self._history.smoothed_s > SLOW_RATIO * self.baseline_s
        if is_slower or (is_slow and self._is_suspect):
            self._on_slowdown(now_s)
        self._is_suspect = is_slow

    def _on_slowdown(self, now_s: float) -> None:
        # A target that slows down before it has held the full limit for the
        # averaging window is still in the same cold start: its response
        # times are kept, only the samples for the next step start afresh.
        history = self._history
        full_s = self._full_limit_since_s
        is_new = full_s is not None and now_s >= full_s + history.window_s(
            full_s
        )
        self._reset_to_cold(now_s)
        if not is_new:
            history.counted_from_s = now_s
            self._history = history

    def _reset_to_cold(self, now_s: float) -> None:
        self.cold_start_count += 1
        self.limit = COLD_CONCURRENCY
        self._full_limit_since_s = None
        self._is_suspect = False
        self._history = ResponseHistory(now_s)

    def _update_baseline(self, now_s: float) -> None:
        history = self._history
        has_settled = history.has_settled(now_s)
        if self.baseline_s is None:
            if has_settled:
                settled = history.mean_since(now_s - history.window_s(now_s))
                self.baseline_s = settled.mean_s
                self.baseline_deviation_s = history.spread_s
                self._baseline_count = settled.count
            return
        is_warm = self.limit == self.slots and not self._is_suspect
        if not is_warm and not has_settled:
            return
        self._baseline_count += 1
        gap_s = min(now_s - self._last_head_s, BASELINE_ADAPTATION_S)
        weight = max(gap_s / BASELINE_ADAPTATION_S, 1 / self._baseline_count)
        self.baseline_s += weight * (history.smoothed_s - self.baseline_s)
        self.baseline_deviation_s += weight * (
            history.spread_s - self.baseline_deviation_s
        )

    def _raise_limit(self, now_s: float) -> None:
        history = self._history
        if self.baseline_s is None or self.limit == self.slots:
            return
        from_s = now_s - history.window_s(now_s)
        seen = history.mean_since(from_s)
        if from_s < history.counted_from_s or seen.count < SAMPLES_MIN:
            return
        # A mean of few samples may be too low by chance, so its standard
        # error is added.
        error_s = self.baseline_deviation_s / sqrt(seen.count)
        sustainable = self.slots * self.baseline_s / (seen.mean_s + error_s)
        if sustainable >= STEP_UP_THRESHOLD * (self.limit + 1):
            self.limit += 1
        if self.limit == self.slots:
            self._full_limit_since_s = now_s
