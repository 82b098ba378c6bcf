"""The membership supervisor and its children."""

from loguru import logger

from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.membership.member import Member
from cumindrift.membership.message import Message, membership
from cumindrift.metric import MEMBERS, MEMBERS_HELD
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.1
IDLE_TICK_PERIOD_S = 0.25


def report_superseded(member: Member) -> None:
    """Logs that a newer process has taken the name of this one."""
    code = ResultCode.SUPERSEDED
    logger.error('{:d} {}: {}', code, code.name, member.name)


def build_membership(context: Context) -> Supervisor:
    """Builds the supervisor, with the restart strategy one-for-one."""
    core = context.membership

    def receive(message: Message, now_s: float) -> None:
        was_superseded = core.is_superseded
        context.send_all(core.receive(message, now_s))
        if core.is_superseded and not was_superseded:
            report_superseded(core.me)
            context.request_stop()

    def tick() -> bool:
        context.send_all(core.tick(context.clock()))
        MEMBERS.set(len(core.view.members))
        MEMBERS_HELD.set(len(core.view.suspects))
        return core.is_busy

    context.receivers[membership.number] = receive
    return Supervisor(
        'membership',
        [
            ChildSpec(
                'beacon',
                lambda: Ticker(
                    'beacon',
                    TICK_PERIOD_S,
                    tick,
                    IDLE_TICK_PERIOD_S,
                ),
            ),
        ],
    )
