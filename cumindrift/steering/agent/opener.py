"""New flows at an agent: taken, passed on or refused."""

from attrs import define, evolve, field

from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.liveness import LivenessMonitor
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.agent.target import Refusal
from cumindrift.steering.frame import (
    HOPS_MAX,
    ForwardedPacket,
    FrameKind,
    service_digest,
)
from cumindrift.steering.packet import FlowPacket

# A target answers a SYN within a millisecond; this much is silence.
OPEN_TIMEOUT_S = 0.1
# New flows go elsewhere, or wait at the balancer, while a target has this
# much work for each of its slots: more would be late.
WORK_PER_SLOT = 2


@define(slots=True, eq=False, repr=False)
class Opener:
    """Gives SYNs to the target, or sends them on to the next candidate."""

    state: AgentState
    liveness: LivenessMonitor
    # When the SYNs that wait for the target's answer were handed to it.
    _waiting: dict[bytes, float] = field(factory=dict)

    def on_open(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now_s: float
    ) -> None:
        """Takes a SYN from a balancer or another agent."""
        state = self.state
        key = packet.flow_key
        known = state.table.flows.get(key)
        if known is not None and not state.target.is_gone:
            # A copy of the SYN follows the first.
            known.origin_ip = forwarded.origin_ip
            state.output.deliver(packet.octets)
            return
        refusal = self._refusal(forwarded, now_s)
        if refusal is not None:
            self._forward_or_refuse(forwarded, packet, refusal)
            return
        state.target.count_open(now_s)
        flow = Flow(
            forwarded.origin_ip,
            now_s,
            now_s,
            forwarded,
            forwarded.keeper_ips,
        )
        flow.client_packet = packet
        state.table.add(key, flow)
        self._waiting[key] = now_s
        state.output.deliver(packet.octets)

    def forget(self, key: bytes) -> None:
        """Waits no more for an answer to this flow's SYN."""
        self._waiting.pop(key, None)

    def on_not_opened(
        self, flow: Flow, packet: FlowPacket, reason: Refusal
    ) -> None:
        """Passes on the SYN of a flow that the target did not open.

        Once the target has answered, the client has to try again.
        """
        if flow.opening is None:
            key = packet.flow_key
            self.state.send_report(flow.origin_ip, FrameKind.ENDED, key)
        else:
            self._forward_or_refuse(flow.opening, packet, reason)

    def tick(self, now_s: float) -> bool:
        """Passes on the SYNs that the target left without an answer.

        True while some still wait.
        """
        for key, opened_s in list(self._waiting.items()):
            if now_s - opened_s < OPEN_TIMEOUT_S:
                return True
            self._waiting.pop(key)
            flow = self.state.table.remove(key)
            self.liveness.on_open_unanswered(now_s)
            if flow is not None:
                self.on_not_opened(flow, flow.client_packet, Refusal.SILENT)
        return False

    def _refusal(
        self, forwarded: ForwardedPacket, now_s: float
    ) -> Refusal | None:
        target = self.state.target
        heartbeat = target.last_heartbeat
        if heartbeat is not None:
            digest = service_digest(heartbeat.service)
            if digest != forwarded.service_digest:
                return Refusal.OTHER_SERVICE
        refusal = target.refusal(None, forwarded.cold_rate, now_s)
        work_count = self.state.table.busy_count + len(self._waiting)
        if refusal is None and work_count >= target.slots * WORK_PER_SLOT:
            return Refusal.FULL
        return refusal

    def _forward_or_refuse(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        reason: Refusal,
    ) -> None:
        """Sends a SYN to the next candidate, or back as refused."""
        state = self.state
        key = packet.flow_key
        candidates = forwarded.candidate_ips
        is_forwarded = bool(candidates) and forwarded.hop_count < HOPS_MAX
        state.log_decision(
            'open-passed' if is_forwarded else 'open-refused',
            key,
            reason=reason.value,
            hops=forwarded.hop_count,
            to=candidates[0] if is_forwarded else forwarded.origin_ip,
            manifest=forwarded.manifest_version,
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
