"""The settings supervisor and its children."""

from typing import Any

from cumindrift.context import Context
from cumindrift.settings.message import distribution
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.5


def build_settings(context: Context) -> Supervisor:
    """Builds the supervisor, with the restart strategy one-for-one."""
    core = context.distribution

    def receive(message: Any, now_s: float) -> None:
        context.send_all(core.receive(message, now_s))

    def tick() -> bool:
        context.send_all(core.tick(context.clock()))
        return core.is_busy

    context.receivers[distribution.number] = receive
    if core.on_view not in context.view_listeners:
        context.view_listeners.append(core.on_view)
    return Supervisor(
        'settings',
        [
            ChildSpec(
                'distribution',
                lambda: Ticker(
                    'distribution',
                    TICK_PERIOD_S,
                    tick,
                    IDLE_PERIOD_S,
                ),
            ),
        ],
    )
