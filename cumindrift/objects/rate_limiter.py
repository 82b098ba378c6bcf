"""Rate limit of object store calls, with backoff and gradual recovery."""

from random import Random

from attrs import define

RATE_MAX_PER_S = 10.0
RATE_MIN_PER_S = 0.5
RATE_GROWTH = 1.3
BURST_CALLS = 10.0
BACKOFF_BASE_S = 0.25
BACKOFF_MAX_S = 10.0


@define(slots=True)
class CallRateLimiter:
    """Decides when the next call may start; used by the store's core.

    A token bucket limits the calls per second; each running watch reduces
    the rate by one per second. After a failure no call starts until a
    backoff with full jitter ends. Then one call probes the store, and the
    rate grows with each success.
    """

    random: Random
    rate_per_s: float = RATE_MAX_PER_S
    _tokens: float = BURST_CALLS
    _refilled_s: float = 0.0
    _closed_until_s: float = 0.0
    _failure_count: int = 0

    def allow(self, now_s: float, watch_count: int) -> bool:
        """Takes a token; returns False if there is none or a backoff runs.

        `watch_count`, the number of running watches, slows the refill.
        """
        if now_s < self._closed_until_s:
            return False
        self._refill(now_s, watch_count)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def on_success(self) -> None:
        """Records a valid response."""
        self._failure_count = 0
        self.rate_per_s = min(RATE_MAX_PER_S, self.rate_per_s * RATE_GROWTH)

    def on_failure(self, now_s: float) -> None:
        """Records a call without a usable response.

        Further failures before the backoff ends are not counted.
        """
        if now_s < self._closed_until_s:
            return
        self._failure_count += 1
        ceiling_s = min(
            BACKOFF_MAX_S,
            BACKOFF_BASE_S * 2 ** min(self._failure_count, 10),
        )
        self._closed_until_s = now_s + self.random.random() * ceiling_s
        self.rate_per_s = RATE_MIN_PER_S
        self._tokens = 1.0
        self._refilled_s = self._closed_until_s

    def _refill(self, now_s: float, watch_count: int) -> None:
        rate_per_s = max(RATE_MIN_PER_S, self.rate_per_s - watch_count)
        gained = max(0.0, now_s - self._refilled_s) * rate_per_s
        ceiling = 1.0 if self._failure_count else BURST_CALLS
        self._tokens = min(ceiling, self._tokens + gained)
        self._refilled_s = max(now_s, self._refilled_s)
