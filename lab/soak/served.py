"""Checks that clients are served around a failing target, and its return."""

from math import inf
from typing import Any

from attrs import define

from lab.soak.promise import Ledger
from lab.soak.topology import RECOVER_S

# A target gets its first two requests, and is ejected, within this time.
EJECTED_WITHIN_S = 4.0
# From the end of a failure to the next new flow: an ejection of up to 8 s, the
# wait for an idempotent request, the trials, and the penalty that fades.
RETURN_S = 20.0


@define(slots=True, eq=False)
class ServedWatch:
    """Says from when on `served` applies, and checks that targets return.

    Any fault that can take room from other targets, or hide reports, excuses.
    """

    ledger: Ledger
    # When the last such fault began or ended.
    disturbed_s: float = -inf

    def served_from_s(self, targets: list[Any]) -> float:
        """Returns from when on no new flow may fail; 0 if no target does."""
        failing_s = [each.failing_since_s for each in targets]
        begun_s = [at_s for at_s in failing_s if at_s]
        if not begun_s:
            return 0.0
        # The last one to fail: the others have been ejected by then.
        last_s = max(begun_s) + EJECTED_WITHIN_S
        return max(last_s, self.disturbed_s + RECOVER_S)

    def check_returns(self, targets: list[Any], now_s: float) -> None:
        """Records the targets that have recovered and got no flow in time."""
        for target in targets:
            from_s = max(target.recovered_s, self.disturbed_s)
            if target.recovered_s and now_s - from_s > RETURN_S:
                detail = f'{target.ip} recovered, but gets no new flow'
                self.ledger.breach('served', now_s, detail)
                target.recovered_s = 0.0
