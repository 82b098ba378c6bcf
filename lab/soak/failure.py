"""Notices failures of the soak's own code, which would falsify its result."""

from collections.abc import Callable
from typing import Any

from circuits import handler

from cumindrift.supervision import Child
from lab.soak.promise import Ledger


class FailureRecorder(Child):
    """Records each exception in a handler of the event loop.

    The loop prints an exception and goes on; so a driver that no longer does
    what it should would still report that no promise was broken.
    """

    def __init__(self, ledger: Ledger, clock: Callable[[], float]) -> None:
        """Takes the ledger of the run and its clock."""
        super().__init__(channel='failure-recorder')
        self._ledger = ledger
        self._clock = clock

    @handler('exception', channel='*')
    def _on_exception(
        self, _kind: type, error: Any, *_details: Any, **_named: Any
    ) -> None:
        self._ledger.breach('driver', self._clock(), repr(error))
