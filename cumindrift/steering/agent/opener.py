"""New flows at an agent: opened, forwarded to a candidate or refused."""

from attrs import define, evolve, field

from cumindrift.metric import ROOM_REFUSALS
from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.liveness import LivenessMonitor
from cumindrift.steering.agent.room import Room
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.agent.target import Refusal
from cumindrift.steering.frame import (
    HOPS_MAX,
    ForwardedPacket,
    FrameKind,
    service_digest,
)
from cumindrift.steering.packet import OPEN_ATTEMPT_S, FlowPacket

# A target normally answers a SYN within a millisecond; without an answer for
# this long, it counts as silent.
OPEN_TIMEOUT_S = 0.1


@define(slots=True, eq=False, repr=False)
class Opener:
    """Delivers SYNs to the target, or forwards them to the next candidate."""

    state: AgentState
    liveness: LivenessMonitor
    # SYNs without an answer, with the time at which the target got each.
    _waiting: dict[bytes, float] = field(factory=dict)

    def on_open(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now_s: float
    ) -> None:
        """Handles a SYN from a balancer or another agent."""
        state = self.state
        key = packet.flow_key
        known = state.table.flows.get(key)
        if state.target.is_gone or (known is not None and known.is_closed):
            known = None
        if known is not None and known.is_of_attempt(now_s):
            self._deliver_again(forwarded, packet, known)
            return
        refusal = self._refusal(forwarded, now_s)
        if refusal is not None:
            self._forward_or_refuse(forwarded, packet, refusal)
            return
        state.target.count_open(now_s)
        state.outlier.on_admitted(now_s)
        if known is not None:
            # It may as well be a late copy of an open flow, which stays.
            self._deliver_again(forwarded, packet, known)
            return
        flow = Flow(
            forwarded.origin_ip,
            now_s,
            now_s,
            forwarded,
            forwarded.keeper_ips,
        )
        flow.client_packet = packet
        flow.limits = forwarded.limits
        state.table.add(key, flow)
        state.table.work.expect(key, now_s)
        self._waiting[key] = now_s
        state.output.deliver(packet.octets)

    def forget(self, key: bytes) -> None:
        """Stops waiting for the answer to this flow's SYN."""
        self._waiting.pop(key, None)

    def on_not_opened(
        self, flow: Flow, packet: FlowPacket, reason: Refusal
    ) -> None:
        """Forwards the SYN of a flow that the target did not open.

        If the target answered the SYN before it lost the flow, reports to the
        balancer that the flow ended; the client has to retry.
        """
        if flow.opening is None:
            key = packet.flow_key
            self.state.send_report(flow.origin_ip, FrameKind.ENDED, key)
        else:
            self._forward_or_refuse(flow.opening, packet, reason)

    def tick(self, now_s: float) -> bool:
        """Forwards the SYNs whose answer timed out.

        Returns True while other SYNs wait for an answer.
        """
        for key, opened_s in list(self._waiting.items()):
            if now_s - opened_s < OPEN_TIMEOUT_S:
                return True
            self._waiting.pop(key)
            flow = self.state.table.remove(key)
            self.liveness.on_open_unanswered(now_s)
            if flow is None:
                continue
            is_late = now_s - opened_s > OPEN_ATTEMPT_S
            reason = Refusal.LATE if is_late else Refusal.SILENT
            self.on_not_opened(flow, flow.client_packet, reason)
        return False

    def _deliver_again(
        self, forwarded: ForwardedPacket, packet: FlowPacket, known: Flow
    ) -> None:
        """Delivers a SYN of a known flow."""
        known.origin_ip = forwarded.origin_ip
        self.state.output.deliver(packet.octets)

    def _refusal(
        self, forwarded: ForwardedPacket, now_s: float
    ) -> Refusal | None:
        if self.state.input_age.max_wait_s() > OPEN_ATTEMPT_S:
            return Refusal.LATE
        if self.state.evacuation.forbids(forwarded.evacuations):
            return Refusal.EVACUATED
        target = self.state.target
        heartbeat = target.last_heartbeat
        if heartbeat is not None:
            digest = service_digest(heartbeat.service)
            if digest != forwarded.service_digest:
                return Refusal.OTHER_SERVICE
        refusal = target.refusal(None, forwarded.cold_rate, now_s)
        if refusal is not None:
            return refusal
        is_failing = self.state.outlier.refuses(forwarded.limits, now_s)
        if is_failing and not forwarded.is_forced:
            return Refusal.FAILING
        return None if self._has_room(forwarded, now_s) else Refusal.FULL

    def _has_room(self, forwarded: ForwardedPacket, now_s: float) -> bool:
        state = self.state
        policy = state.room_policy
        room = self._room(forwarded)
        has_room = policy.admits(room, now_s)
        if not has_room:
            # Requests that are no longer in progress may take up the room.
            state.drop_stale_work(now_s)
            room = self._room(forwarded)
            has_room = policy.admits(room, now_s)
        policy.record(room, is_admitted=has_room, now_s=now_s)
        if not has_room:
            priority = str(room.limits.priority)
            ROOM_REFUSALS.labels(state.service, priority).inc()
        return has_room

    def _room(self, forwarded: ForwardedPacket) -> Room:
        work = self.state.table.work
        return Room(
            self.state.target.slots,
            work.count,
            len(self._waiting),
            work.expected_count,
            work.expected_response_s(forwarded.limits),
            forwarded.limits,
        )

    def _forward_or_refuse(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        reason: Refusal,
    ) -> None:
        """Sends a SYN to the next candidate, or reports it as refused.

        A late SYN goes back to the balancer, which may know better candidates
        by now, or that the client has given up.
        """
        state = self.state
        state.on_unable(forwarded.origin_ip, state.events.clock())
        key = packet.flow_key
        candidates = forwarded.candidate_ips
        has_next = bool(candidates) and forwarded.hop_count < HOPS_MAX
        is_forwarded = has_next and reason is not Refusal.LATE
        state.log_decision(
            'open-passed' if is_forwarded else 'open-refused',
            key,
            reason=reason.value,
            hops=forwarded.hop_count,
            to=candidates[0] if is_forwarded else forwarded.origin_ip,
            manifest=forwarded.manifest_version,
            evacuations=forwarded.evacuations.as_of,
            beat_age_s=state.heartbeat_age_s(),
        )
        if is_forwarded:
            next_hop = evolve(
                forwarded,
                hop_count=forwarded.hop_count + 1,
                candidate_ips=candidates[1:],
                packet=packet.octets,
            )
            state.output.forward(candidates[0], next_hop)
        state.send_report(
            forwarded.origin_ip,
            FrameKind.ABSENT if is_forwarded else FrameKind.REFUSED,
            key,
            b'' if is_forwarded else packet.octets,
        )
