"""What an agent knows about its target."""

from collections import deque
from enum import Enum, unique

from attrs import define, field

from cumindrift.fleet.settings import NodeBounds, NodeSettings, TargetEndpoints
from cumindrift.steering.agent.heartbeat import Heartbeat

# Missed heartbeats after which a target counts as silent.
MISSED_HEARTBEATS_MAX = 3
# Heartbeats count as missed no earlier than this many intervals after the last
# one, however soon the address may be reused.
HEARTBEAT_LATE_MIN = 1.4
# New flows stop this long before the target's address may be reused, so that
# they do not reach another target.
REUSE_MARGIN_S = 0.1
# A sliding window of one second plus a margin, since the limit is verified
# elsewhere, at other arrival times.
COLD_WINDOW_S = 1.1
# A target whose start time is this much later than the agent's started while
# the agent ran. A smaller difference may be a jump of the time of day.
CLOCK_SLACK_MS = 3000


@unique
class Refusal(Enum):
    """Why a target does not take a new flow now."""

    UNKNOWN = 'no heartbeat yet'
    OTHER_SERVICE = 'another service'
    DRAINING = 'draining'
    COLD = 'cold'
    SILENT = 'silent'
    GONE = 'gone'
    FULL = 'full'
    EVACUATED = 'evacuated'
    LATE = 'late'
    FAILING = 'failing'


@unique
class HeartbeatEffect(Enum):
    """The effect of a heartbeat on the target's state."""

    STALE = 'stale'
    # Not of this agent's target; it changes nothing.
    FOREIGN = 'foreign'
    SAME = 'same'
    CHANGED = 'changed'
    NEW_INCARNATION = 'new incarnation'


@define(slots=True, eq=False, repr=False)
class TargetState:
    """Tracks one target through its incarnations; used by the agent."""

    bounds: NodeBounds
    heartbeat_s: float
    started_ms: int
    # Whether nothing ran on this host before this process.
    is_first_start: bool = False
    # What the settings say of the target; not checked if absent.
    place: TargetEndpoints | None = None
    last_heartbeat: Heartbeat | None = None
    last_heartbeat_s: float = 0.0
    # The target announced its end; it may still serve its flows.
    is_deregistered: bool = False
    # Nothing listens at its address, so its process has ended.
    is_gone: bool = False
    is_silent: bool = False
    knows_all_flows: bool = False
    _cold_until_s: float = 0.0
    _opened_s: deque[float] = field(factory=deque)

    @property
    def incarnation(self) -> int:
        """Returns the incarnation of the last heartbeat, or 0 if none came."""
        return self.last_heartbeat.incarnation if self.last_heartbeat else 0

    @property
    def slots(self) -> int:
        """Returns how many requests the target processes concurrently."""
        return max(self.last_heartbeat.slots, 1) if self.last_heartbeat else 1

    @property
    def is_leaving(self) -> bool:
        """Returns whether the target has announced that it will end."""
        heartbeat = self.last_heartbeat
        is_draining = heartbeat is not None and heartbeat.is_draining
        return is_draining or self.is_deregistered

    def apply_settings(self, settings: NodeSettings) -> None:
        """Applies changed settings."""
        self.bounds = settings.bounds
        self.heartbeat_s = settings.heartbeat_s
        self.place = settings.target

    def on_heartbeat(
        self, heartbeat: Heartbeat, now_s: float
    ) -> HeartbeatEffect:
        """Applies a heartbeat unless it is foreign, or older than the last."""
        if self._is_foreign(heartbeat):
            return HeartbeatEffect.FOREIGN
        known = self.last_heartbeat
        if known is not None and self._is_stale(known, heartbeat, now_s):
            return HeartbeatEffect.STALE
        is_new = known is None or (
            (known.incarnation, known.target_id)
            != (heartbeat.incarnation, heartbeat.target_id)
        )
        is_changed = is_new or known.is_draining != heartbeat.is_draining
        if is_new:
            self.knows_all_flows = (
                known is not None or self._started_after_agent(heartbeat)
            )
        self.last_heartbeat = heartbeat
        self.last_heartbeat_s = now_s
        self.is_deregistered = False
        self.is_gone = False
        self.is_silent = False
        self._cold_until_s = now_s + heartbeat.cold_s
        if is_new:
            return HeartbeatEffect.NEW_INCARNATION
        return HeartbeatEffect.CHANGED if is_changed else HeartbeatEffect.SAME

    def on_deregistered(self, target_id: str) -> bool:
        """Handles a target's notice of its end; False if it is another one."""
        if (
            self.last_heartbeat is None
            or self.last_heartbeat.target_id != target_id
        ):
            return False
        self.is_deregistered = True
        return True

    def refusal(
        self,
        service: str | None,
        cold_rate: float,
        now_s: float,
    ) -> Refusal | None:
        """Returns why the target may not take a new flow; None if it may.

        The service is not checked if `service` is None.
        """
        heartbeat = self.last_heartbeat
        if heartbeat is None:
            return Refusal.UNKNOWN
        if service is not None and heartbeat.service != service:
            return Refusal.OTHER_SERVICE
        if self.is_leaving:
            return Refusal.DRAINING
        if self._is_silent(now_s):
            return Refusal.SILENT
        if not self._has_cold_capacity(cold_rate, now_s):
            return Refusal.COLD
        return None

    def can_serve(self, now_s: float) -> bool:
        """Returns whether the target runs and does not leave."""
        if self.last_heartbeat is None or self.is_leaving:
            return False
        return not self._is_silent(now_s)

    def count_open(self, now_s: float) -> None:
        """Counts a new flow against the limit of a cold target."""
        self._opened_s.append(now_s)

    def _is_silent(self, now_s: float) -> bool:
        is_known = self.is_gone or self.is_silent
        return is_known or self._has_missed_heartbeats(now_s)

    def _has_missed_heartbeats(self, now_s: float) -> bool:
        """Returns whether the address may belong to another target by now."""
        allowed_s = min(
            self.heartbeat_s * MISSED_HEARTBEATS_MAX,
            self.bounds.address_reuse_s - REUSE_MARGIN_S,
        )
        allowed_s = max(allowed_s, self.heartbeat_s * HEARTBEAT_LATE_MIN)
        return now_s - self.last_heartbeat_s > allowed_s

    def _has_cold_capacity(self, cold_rate: float, now_s: float) -> bool:
        opened_s = self._opened_s
        while opened_s and opened_s[0] < now_s - COLD_WINDOW_S:
            opened_s.popleft()
        if not cold_rate or now_s >= self._cold_until_s:
            return True
        bounds = self.bounds
        most = cold_rate * bounds.cold_rate_factor + bounds.cold_rate_slack
        return len(opened_s) + 1 < most

    def _is_foreign(self, heartbeat: Heartbeat) -> bool:
        """Returns whether a heartbeat is not of the target beside this agent.

        Any writer may send one, and one of a former target at the address may
        come late. An agent that has just started knows no other heartbeat to
        compare it with, so the service that its settings name decides. Later
        the address may go to another service before the settings change.
        """
        place = self.place
        if place is None:
            return False
        is_first = self.last_heartbeat is None
        if is_first and heartbeat.service != place.service:
            return True
        return heartbeat.packets != place.packets

    def _is_stale(
        self,
        known: Heartbeat,
        heartbeat: Heartbeat,
        now_s: float,
    ) -> bool:
        if known.incarnation == heartbeat.incarnation:
            is_same = known.target_id == heartbeat.target_id
            return is_same and heartbeat.sequence <= known.sequence
        if heartbeat.incarnation > known.incarnation:
            return False
        # The time of day may have jumped back between two starts, so a lower
        # incarnation is accepted once heartbeats of the higher one are missing.
        has_ended = self.is_deregistered or self.is_gone
        return not has_ended and not self._has_missed_heartbeats(now_s)

    def _started_after_agent(self, heartbeat: Heartbeat) -> bool:
        threshold_ms = self.started_ms + CLOCK_SLACK_MS
        return self.is_first_start or heartbeat.incarnation > threshold_ms
