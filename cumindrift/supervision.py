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
    """Base class of the components below a supervisor.

    A child owns only sockets and timers. State that must survive a restart,
    such as the flow table, is in a core object, which is passed to each new
    child.
    """

    def release(self) -> None:
        """Closes the child's sockets and other external resources."""


@define(frozen=True, slots=True)
class ChildSpec:
    """Name and factory of a supervisor's child."""

    name: str
    build: Callable[[], Child]


@define(slots=True)
class RestartLimit:
    """Limits the restarts in a sliding period; one per supervisor."""

    restarts_max: int = RESTARTS_MAX
    period_s: float = RESTART_PERIOD_S
    _times_s: deque[float] = field(factory=deque)

    def allow(self, now_s: float) -> bool:
        """Counts a restart at `now_s`; False if it exceeds the limit."""
        while self._times_s and self._times_s[0] <= now_s - self.period_s:
            self._times_s.popleft()
        self._times_s.append(now_s)
        return len(self._times_s) <= self.restarts_max


class Supervisor(Child):
    """Builds its children in order and restarts those that fail.

    A child fails when one of its handlers raises. If the restart limit is
    exceeded, the supervisor itself fails and its parent restarts it; the
    root instead releases its children and stops the process.
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
        """Returns the running child `name`; raises KeyError if missing."""
        return self._children[name]

    def release(self) -> None:
        """Stops the children in reverse order."""
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
        """Restarts the children that the strategy selects for `failed`."""
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
        # The root component of circuits is its own parent.
        if parent is not self and isinstance(parent, Supervisor):
            parent.restart(self.supervisor_name)
            return
        self.release()
        self.root.stop(int(ResultCode.RESTARTS_EXHAUSTED) % 100 or 1)

    def _child_above(self, component: Any) -> str | None:
        """Returns the own child that contains `component`.

        None if the component belongs to another supervisor.
        """
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
