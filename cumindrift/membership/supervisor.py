"""The membership supervisor and its list of children."""

from cumindrift.context import Context
from cumindrift.membership.message import Gossip, Leave, membership
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.25


def build_membership(context: Context) -> Supervisor:
    """Returns the supervisor; restart strategy one-for-one."""
    core = context.membership

    def receive(message: Gossip | Leave, now_s: float) -> None:
        if isinstance(message, Gossip):
            context.send_all(core.on_gossip(message, now_s))
        else:
            core.on_leave(message, now_s)

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
