"""Retry budgets: limit retries to a share of the first attempts."""

from attrs import define

RETRY_SHARE = 0.1
TOKENS_MAX = 10.0


@define(slots=True)
class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    All calls to a service share one budget, so that retries stay a fixed
    share of the load however many requests fail.
    """

    retry_share: float = RETRY_SHARE
    tokens_max: float = TOKENS_MAX
    tokens: float = TOKENS_MAX

    def on_first_attempt(self) -> None:
        """Adds the tokens of a first attempt, up to the bucket's size."""
        self.tokens = min(self.tokens_max, self.tokens + self.retry_share)

    def try_spend(self) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
