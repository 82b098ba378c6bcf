"""Earlier states of the store stand-in, for lists that may be stale."""

from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, field

# The objects of each kind, by name.
Objects = dict[str, dict[str, dict[str, Any]]]
# No list is older than this.
AGE_MAX_S = 30.0


@define(frozen=True, slots=True, eq=False)
class StoreState:
    """All objects as they were at one revision, from `since_s` on."""

    since_s: float
    revision: int
    objects: Objects


@define(slots=True, eq=False, repr=False)
class StorePast:
    """The states of the last AGE_MAX_S; told of each change."""

    clock: Callable[[], float]
    _states: deque[StoreState] = field(factory=deque)

    def record(self, revision: int, objects: Objects) -> None:
        """Records the state after a change."""
        now_s = self.clock()
        copy = {kind: dict(named) for kind, named in objects.items()}
        self._states.append(StoreState(now_s, revision, copy))
        # The state in force AGE_MAX_S ago may have begun long before.
        while (
            len(self._states) > 1
            and self._states[1].since_s <= now_s - AGE_MAX_S
        ):
            self._states.popleft()

    def state_before(self, age_s: float) -> StoreState:
        """Returns the state that was in force `age_s` ago."""
        at_s = self.clock() - age_s
        found = StoreState(0.0, 0, {})
        for state in self._states:
            if state.since_s > at_s:
                break
            found = state
        return found
