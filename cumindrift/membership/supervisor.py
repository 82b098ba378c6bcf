"""The membership supervisor and its list of children."""

from cumindrift.context import Context
from cumindrift.membership.message import Message, membership
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.1


def build_membership(context: Context) -> Supervisor:
    """Returns the supervisor; restart strategy one-for-one."""
    core = context.membership

    def receive(message: Message, now_s: float) -> None:
        context.send_all(core.receive(message, now_s))

    def tick() -> None:
        context.send_all(core.tick(context.clock()))

    context.receivers[membership.number] = receive
    return Supervisor(
        'membership',
        [
            ChildSpec(
                'beacon',
                lambda: Ticker('beacon', TICK_PERIOD_S, tick),
            ),
        ],
    )
