"""Supervisors: components that restart their failed children."""

from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import Any

from attrs import define, field
from circuits import Component, handler

from cumindrift.code import ResultCode
from cumindrift.lazy_logger import logger
from cumindrift.registry import Registry

RESTARTS_MAX = 5
RESTART_PERIOD_S = 10.0

strategies: Registry[Callable[[list[str], str], list[str]]] = Registry(
    'restart strategy',
)


@strategies.register('one-for-one')
def restart_one(names: list[str], failed: str) -> list[str]:
    """Restarts the failed child alone."""
    return [failed]


@strategies.register('rest-for-one')
def restart_rest(names: list[str], failed: str) -> list[str]:
    """Restarts the failed child and those listed after it."""
    return names[names.index(failed) :]


@strategies.register('one-for-all')
def restart_all(names: list[str], failed: str) -> list[str]:
    """Restarts every child."""
    return list(names)


class Child(Component):
    """Base of the components below a supervisor.

    A child owns sockets and timers only. What must outlive a restart, such
    as the flow table, is a core object that the supervisor holds and that
    each new child is built with.
    """

    def release(self) -> None:
        """Closes what the child holds outside the process."""


@define(frozen=True, slots=True)
class ChildSpec:
    """One line of a supervisor's list of children."""

    name: str
    build: Callable[[], Child]


@define(slots=True)
class RestartLimit:
    """Counts restarts in a sliding period; used by each supervisor."""

    restarts_max: int = RESTARTS_MAX
    period_s: float = RESTART_PERIOD_S
    _times_s: deque[float] = field(factory=deque)

    def allow(self, now_s: float) -> bool:
        """Notes a restart at `now_s`; False when it is one too many."""
        while self._times_s and self._times_s[0] <= now_s - self.period_s:
            self._times_s.popleft()
        self._times_s.append(now_s)
        return len(self._times_s) <= self.restarts_max


class Supervisor(Child):
    """Builds its children in order and restarts those that fail.

    A child fails when one of its handlers raises. Past the restart limit
    the supervisor itself counts as failed, and its parent decides; the
    root then stops the process in order.
    """

    def __init__(
        self,
        name: str,
        specs: list[ChildSpec],
        strategy: str = 'one-for-one',
        limit: RestartLimit | None = None,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Takes the children in the order in which they start."""
        super().__init__(channel=f'supervisor-{name}')
        self.supervisor_name = name
        self.gave_up = False
        self._specs = {spec.name: spec for spec in specs}
        self._strategy = strategies.get(strategy)
        self._limit = limit or RestartLimit()
        self._clock = clock
        self._children: dict[str, Child] = {}
        for spec in specs:
            self._start(spec.name)

    def child(self, name: str) -> Child:
        """Returns the running child of that name; raises KeyError."""
        return self._children[name]

    def release(self) -> None:
        """Stops the children, last started first."""
        for name in reversed(list(self._children)):
            self._stop(name)

    @handler('exception', channel='*')
    def _on_exception(
        self,
        kind: type,
        error: Any,
        trace: Any,
        handler: Any = None,
        fevent: Any = None,
    ) -> None:
        failed = self._child_above(getattr(handler, '__self__', None))
        if failed is not None and not self.gave_up:
            logger.error(
                'child {}/{} failed: {!r}',
                self.supervisor_name,
                failed,
                error,
            )
            logger.debug('trace: {}', ''.join(trace or ()))
            self.restart(failed)

    def restart(self, failed: str) -> None:
        """Restarts what the strategy names for the child that failed."""
        if not self._limit.allow(self._clock()):
            self._give_up(failed)
            return
        names = self._strategy(list(self._specs), failed)
        for stopping in reversed(names):
            self._stop(stopping)
        for starting in names:
            self._start(starting)

    def _give_up(self, failed: str) -> None:
        self.gave_up = True
        logger.error(
            '{:d} child {}/{} failed too often',
            ResultCode.RESTARTS_EXHAUSTED,
            self.supervisor_name,
            failed,
        )
        parent = self.parent
        # The root of a circuits tree is its own parent.
        if parent is not self and isinstance(parent, Supervisor):
            parent.restart(self.supervisor_name)
            return
        self.release()
        self.root.stop(int(ResultCode.RESTARTS_EXHAUSTED) % 100 or 1)

    def _child_above(self, component: Any) -> str | None:
        """Returns the child above `component`, unless a supervisor is."""
        while component is not None and component.parent is not component:
            for name, child in self._children.items():
                if child is component:
                    return name
            component = component.parent
            if isinstance(component, Supervisor):
                return None
        return None

    def _start(self, name: str) -> None:
        child = self._specs[name].build()
        self._children[name] = child
        child.register(self)

    def _stop(self, name: str) -> None:
        child = self._children.pop(name, None)
        if child is not None:
            child.release()
            child.unregister()
