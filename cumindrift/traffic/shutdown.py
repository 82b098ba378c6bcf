"""Graceful shutdown of an agent, from SIGTERM to the end of the process."""

from collections.abc import Callable
from enum import Enum, unique

from attrs import define
from loguru import logger

from cumindrift.membership.member import MemberState
from cumindrift.traffic.finder import FlowFinder

DRAIN_SHARE = 0.5
LINGER_S = 1.0


@unique
class ShutdownPhase(Enum):
    """Phases of the shutdown, in order."""

    SERVING = 'serving'
    DRAINING = 'draining'
    HANDING_OVER = 'handing over'
    LINGERING = 'lingering'


@define(slots=True)
class AgentShutdown:
    """Drains an agent, hands over the remaining state and announces LEFT.

    Used by the daemon as a stop step. An agent without flows leaves as soon
    as its records are transferred. One that still holds flows after
    DRAIN_SHARE of `stop_within_s` hands them over to its next incarnation.
    After announcing LEFT it forwards packets for LINGER_S more, since other
    members may not have seen the announcement yet.
    """

    finder: FlowFinder
    stop_within_s: float
    export_ledger: Callable[[], bytes]
    announce: Callable[[MemberState], None]
    phase: ShutdownPhase = ShutdownPhase.SERVING
    _phase_started_s: float = 0.0

    def step(self, now_s: float) -> bool:
        """Advances the shutdown; returns whether the process may end."""
        if self.phase is ShutdownPhase.SERVING:
            self._enter_phase(ShutdownPhase.DRAINING, now_s)
            self.announce(MemberState.DRAINING)
        elif self.phase is ShutdownPhase.DRAINING:
            self._drain(now_s)
        elif self._has_handed_over():
            self._announce_left(now_s)
        return (
            self.phase is ShutdownPhase.LINGERING
            and now_s - self._phase_started_s >= LINGER_S
        )

    def _has_handed_over(self) -> bool:
        is_waiting = self.phase is ShutdownPhase.HANDING_OVER
        return is_waiting and self.finder.handover.is_acknowledged()

    def _drain(self, now_s: float) -> None:
        if self.finder.may_leave(now_s):
            self._announce_left(now_s)
        elif now_s - self._phase_started_s >= DRAIN_SHARE * self.stop_within_s:
            self.finder.handover.start(self.export_ledger())
            self._enter_phase(ShutdownPhase.HANDING_OVER, now_s)

    def _announce_left(self, now_s: float) -> None:
        self._enter_phase(ShutdownPhase.LINGERING, now_s)
        self.announce(MemberState.LEFT)

    def _enter_phase(self, phase: ShutdownPhase, now_s: float) -> None:
        logger.info('graceful shutdown: {}', phase.value)
        self.phase = phase
        self._phase_started_s = now_s
