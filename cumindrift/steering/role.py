"""The roles of a node; the code of a role is imported only if it is used."""

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
# A role builds its core once and returns a builder of its supervisor, so
# that a restarted supervisor continues with the same core.
Role = Callable[[NodeContext], Builder]
node_roles: Registry[Role] = Registry('node role')


class Ticking(Protocol):
    """A core with timers."""

    def tick(self, now_s: float) -> bool:
        """Runs the timers that are due; True while an answer is pending."""


def load_role(name: str) -> Role:
    """Imports the package of a role, which registers it, and returns it.

    Raises UnknownNameError if there is no such role.
    """
    if name in ROLES:
        import_module(f'cumindrift.steering.{name}.supervisor')
    return node_roles.get(name)


def drain_and_tick(context: NodeContext, core: Ticking) -> bool:
    """Ticks a core after reading all datagrams that have arrived.

    After the process was busy, stopped or suspended, answers may wait in the
    socket buffers. They are read before the timers run, so that their senders
    do not count as silent. Returns True while an answer is pending.
    """
    now_s = context.clock()
    taken_counts = [port.drain() for port in context.input_ports]
    if max(taken_counts, default=0) >= DRAIN_MAX:
        return True
    return core.tick(now_s)


def ticker_spec(context: NodeContext, core: Ticking) -> ChildSpec:
    """Returns the child that ticks a core."""
    return ChildSpec(
        'ticker',
        lambda: Ticker(
            'steering',
            BUSY_TICK_S,
            lambda: drain_and_tick(context, core),
            IDLE_TICK_S,
        ),
    )
