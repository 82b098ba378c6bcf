"""Removes store objects whose writers have ended."""

from attrs import define, field

from cumindrift.fleet.call import CallVerb, StoreAnswer, StoreCall


@define(slots=True, eq=False, repr=False)
class Remover:
    """Makes one call for each removal, conditional on the object's revision.

    An object that was written again in the meantime stays. Other balancers
    may remove the same object. A failed removal is not repeated: the next
    balancer that finds the object obsolete requests it again.
    """

    failure_count: int = 0
    _wanted: dict[tuple[str, str], int] = field(factory=dict)
    _is_running: bool = False

    def remove(self, kind: str, name: str, revision: int) -> None:
        """Requests removal of an object at that revision (0: at any)."""
        self._wanted[kind, name] = revision

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        if self._is_running or not self._wanted:
            return None
        (kind, name), revision = self._wanted.popitem()
        self._is_running = True
        return StoreCall(CallVerb.REMOVE, kind, name, revision)

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Ends the running call; a failed one is not retried."""
        self._is_running = False
