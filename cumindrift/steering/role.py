"""The roles of a node, each in a folder that is loaded when it is played."""

from collections.abc import Callable
from importlib import import_module
from typing import Protocol

from cumindrift.fleet.context import NodeContext
from cumindrift.port import DRAIN_MAX
from cumindrift.registry import Registry
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.1
ROLES = ('agent', 'balancer')

Builder = Callable[[], Supervisor]
# A role builds its core once and returns what builds its supervisor.
Role = Callable[[NodeContext], Builder]
node_roles: Registry[Role] = Registry('node role')


class Ticking(Protocol):
    """A core that time passes for."""

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while something waits for an answer."""


def load_role(name: str) -> Role:
    """Imports a role's folder, which fills the registry, and returns it.

    Raises UnknownNameError for a name that is no role.
    """
    if name in ROLES:
        import_module(f'cumindrift.steering.{name}.supervisor')
    return node_roles.get(name)


def pass_time(context: NodeContext, core: Ticking) -> bool:
    """Lets time pass for a core, once it has taken all that had come.

    A process that was busy, stopped or suspended finds answers that have
    waited: who sent them was not silent. True while something is open.
    """
    now_s = context.clock()
    taken_counts = [port.drain() for port in context.input_ports]
    if max(taken_counts, default=0) >= DRAIN_MAX:
        return True
    return core.tick(now_s)


def ticker_spec(context: NodeContext, core: Ticking) -> ChildSpec:
    """Returns the child that lets time pass for a core."""
    return ChildSpec(
        'ticker',
        lambda: Ticker(
            'steering',
            BUSY_TICK_S,
            lambda: pass_time(context, core),
            IDLE_TICK_S,
        ),
    )
