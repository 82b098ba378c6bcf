"""Outlier detection: ejects a target that fails the requests it accepts."""

from collections import deque

from attrs import define, field

from cumindrift.fleet.manifest import RequestLimits

# A target is ejected if this many of its last outcomes are failures.
FAILURES_MAX = 2
OUTCOMES_KEPT = 5
# How long the first ejection lasts, twice as long each further one.
EJECTED_S = 0.5
EJECTED_MAX_S = 8.0
# More doublings than this exceed the longest ejection.
DOUBLINGS_MAX = 8
# After this long without a failure, the next ejection is a first one again.
EJECTION_COUNT_RESET_S = 30.0
# Trials in a row that must succeed before the target serves again.
TRIALS_NEEDED = 3
# A trial without an outcome no longer blocks the next one after this time.
TRIAL_TIMEOUT_S = 3.0
# If no idempotent request has come for this long, any request may be a trial:
# a service may have no others.
TRIAL_WAIT_S = 2.0


@define(slots=True, eq=False, repr=False)
class OutlierDetector:
    """Ejects a target by the outcomes of its requests; used by its agent.

    A target whose process runs may fail all the same: it accepts flows and
    resets them, or never answers. It then looks idle and would attract new
    flows. While it is ejected it gets none. After that, single flows are let
    through as trials until enough of them in a row have succeeded.
    """

    ejection_count: int = 0
    _outcomes: deque[bool] = field(factory=lambda: deque(maxlen=OUTCOMES_KEPT))
    _failed_s: float = 0.0
    _ejected_until_s: float = 0.0
    # Trials that are still needed; 0 while the target serves.
    _trials_left: int = 0
    _trial_until_s: float = 0.0

    @property
    def is_ejected(self) -> bool:
        """Returns whether the target gets no flows, or only trials."""
        return self._trials_left > 0

    def refuses(self, limits: RequestLimits, now_s: float) -> bool:
        """Returns whether a new flow with these limits must not be let in."""
        if not self.is_ejected:
            return False
        if now_s < max(self._ejected_until_s, self._trial_until_s):
            return True
        waited_s = now_s - self._ejected_until_s
        return not limits.is_idempotent and waited_s < TRIAL_WAIT_S

    def on_admitted(self, now_s: float) -> None:
        """Records a new flow, which is a trial if the target is ejected."""
        if self.is_ejected:
            self._trial_until_s = now_s + TRIAL_TIMEOUT_S

    def on_success(self, now_s: float) -> bool:
        """Records a request that was answered.

        Returns True if this returns the target to service.
        """
        if not self.is_ejected:
            self._outcomes.append(True)
            return False
        if not self._has_trial(now_s):
            # The request began before the ejection.
            return False
        self._trial_until_s = 0.0
        self._trials_left -= 1
        return not self.is_ejected

    def on_failure(self, now_s: float) -> bool:
        """Records a request that failed; True if this ejects the target."""
        if self.is_ejected and not self._has_trial(now_s):
            return False
        if now_s - self._failed_s > EJECTION_COUNT_RESET_S:
            self.ejection_count = 0
        self._failed_s = now_s
        self._outcomes.append(False)
        if not self.is_ejected and self._failure_count < FAILURES_MAX:
            return False
        self._eject(now_s)
        return True

    @property
    def _failure_count(self) -> int:
        return self._outcomes.count(False)

    def ejection_s(self) -> float:
        """Returns how long the last ejection lasts, in seconds."""
        doublings = min(max(self.ejection_count - 1, 0), DOUBLINGS_MAX)
        return min(EJECTED_S * 2**doublings, EJECTED_MAX_S)

    def _has_trial(self, now_s: float) -> bool:
        return now_s < self._trial_until_s

    def _eject(self, now_s: float) -> None:
        self.ejection_count += 1
        self._ejected_until_s = now_s + self.ejection_s()
        self._trials_left = TRIALS_NEEDED
        self._trial_until_s = 0.0
        self._outcomes.clear()
