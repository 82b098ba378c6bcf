"""Retry budgets: how many retries a service's first attempts pay for."""

from attrs import define

RETRY_SHARE = 0.1
TOKENS_MAX = 10.0


@define(slots=True)
class RetryBudget:
    """A bucket that first attempts fill and retries empty.

    One budget is shared by all calls to a service, so that retries are a
    fixed share of the load however much fails.
    """

    retry_share: float = RETRY_SHARE
    tokens_max: float = TOKENS_MAX
    tokens: float = TOKENS_MAX

    def on_first_attempt(self) -> None:
        """Pays in for a first attempt."""
        self.tokens = min(self.tokens_max, self.tokens + self.retry_share)

    def try_spend(self) -> bool:
        """Pays for a retry; False when the budget is spent."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
