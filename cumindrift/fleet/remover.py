"""Removes entries whose writers are gone for good."""

from attrs import define, field

from cumindrift.fleet.call import CallVerb, StoreAnswer, StoreCall


@define(slots=True, eq=False, repr=False)
class Remover:
    """Asks once for each removal, on the condition of a revision.

    An entry that was written again meanwhile stays, and whoever else
    removes the same entry does no harm. A removal that fails is not
    repeated: the next balancer that finds the entry useless asks again.
    """

    failure_count: int = 0
    _wanted: dict[tuple[str, str], int] = field(factory=dict)
    _is_running: bool = False

    def remove(self, kind: str, name: str, revision: int) -> None:
        """Wants the object gone, if it still has that revision (0: any)."""
        self._wanted[kind, name] = revision

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        if self._is_running or not self._wanted:
            return None
        (kind, name), revision = self._wanted.popitem()
        self._is_running = True
        return StoreCall(CallVerb.REMOVE, kind, name, revision)

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Takes the answer to the last call, whatever it is."""
        self._is_running = False
