"""How often a target has failed lately, and how long it is trusted less."""

from collections import deque

from attrs import define, field

# Failures that are longer ago no longer count.
REMEMBERED_S = 60.0
# The penalty is at its bound with far fewer failures.
FAILURES_KEPT = 32
# How long a target is trusted less after its first failure; twice as long
# after each further one.
BACKOFF_S = 2.0
BACKOFF_MAX_S = 16.0
# A target that falls silent, is found gone and starts again has failed once.
SAME_FAILURE_S = 1.0
# What is added to the cost of a target right after its failure, for each
# failure that counts, and at the most.
PENALTY_PERCENT = 100
PENALTY_PERCENT_MAX = 400


@define(slots=True, eq=False, repr=False)
class FailureHistory:
    """Detects a target that fails again and again.

    A target that has just failed may fail again soon, so balancers prefer
    others for a while: longer with each failure, and less and less while that
    time passes. It is never excluded, since the others may be worse.
    """

    _failed_s: deque[float] = field(factory=lambda: deque(maxlen=FAILURES_KEPT))

    def add(self, now_s: float) -> None:
        """Records a failure of the target."""
        failed_s = self._failed_s
        if failed_s and now_s - failed_s[-1] < SAME_FAILURE_S:
            return
        failed_s.append(now_s)

    def penalty_percent(self, now_s: float) -> int:
        """Returns by how much the target's cost is raised now."""
        failed_s = self._failed_s
        while failed_s and now_s - failed_s[0] > REMEMBERED_S:
            failed_s.popleft()
        if not failed_s:
            return 0
        count = len(failed_s)
        backoff_s = min(BACKOFF_S * 2 ** (count - 1), BACKOFF_MAX_S)
        left = 1 - (now_s - failed_s[-1]) / backoff_s
        penalty = min(PENALTY_PERCENT * count, PENALTY_PERCENT_MAX)
        return int(penalty * max(left, 0))
