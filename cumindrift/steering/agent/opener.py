"""New flows at an agent: taken, passed on or refused."""

from attrs import define, evolve, field

from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.station import AgentStation
from cumindrift.steering.agent.target import Refusal
from cumindrift.steering.agent.vigil import TargetVigil
from cumindrift.steering.frame import (
    HOPS_MAX,
    Carried,
    FrameKind,
    service_digest,
)
from cumindrift.steering.packet import FlowPacket

# A target answers a SYN within a millisecond; this much is silence.
OPEN_ANSWER_S = 0.1
# New flows go elsewhere, or wait at the balancer, while a target has this
# much work for each of its slots: more would be late.
WORK_PER_SLOT = 2


@define(slots=True, eq=False, repr=False)
class Opener:
    """Gives SYNs to the target, or sends them on to the next candidate."""

    station: AgentStation
    vigil: TargetVigil
    # When the SYNs that wait for the target's answer were handed to it.
    _waiting: dict[bytes, float] = field(factory=dict)

    def take(self, carried: Carried, packet: FlowPacket, now_s: float) -> None:
        """Takes a SYN from a balancer or another agent."""
        station = self.station
        key = packet.flow_key
        known = station.table.flows.get(key)
        if known is not None and not station.target.is_gone:
            # A copy of the SYN follows the first.
            known.origin_ip = carried.origin_ip
            station.outlet.deliver(packet.octets)
            return
        refusal = self._refusal(carried, now_s)
        if refusal is not None:
            self._pass_on(carried, packet, refusal)
            return
        station.target.note_open(now_s)
        flow = Flow(
            carried.origin_ip,
            now_s,
            now_s,
            carried,
            carried.home_ips,
        )
        flow.client_packet = packet
        station.table.add(key, flow)
        self._waiting[key] = now_s
        station.outlet.deliver(packet.octets)

    def forget(self, key: bytes) -> None:
        """Waits no more for an answer to this flow's SYN."""
        self._waiting.pop(key, None)

    def decline(self, flow: Flow, packet: FlowPacket, reason: Refusal) -> None:
        """Passes on the SYN of a flow that the target did not open.

        Once the target has answered, the client has to try again.
        """
        if flow.opening is None:
            key = packet.flow_key
            self.station.tell(flow.origin_ip, FrameKind.ENDED, key)
        else:
            self._pass_on(flow.opening, packet, reason)

    def tick(self, now_s: float) -> bool:
        """Passes on the SYNs that the target left without an answer.

        True while some still wait.
        """
        for key, opened_s in list(self._waiting.items()):
            if now_s - opened_s < OPEN_ANSWER_S:
                return True
            self._waiting.pop(key)
            flow = self.station.table.remove(key)
            self.vigil.on_open_unanswered(now_s)
            if flow is not None:
                self.decline(flow, flow.client_packet, Refusal.SILENT)
        return False

    def _refusal(self, carried: Carried, now_s: float) -> Refusal | None:
        target = self.station.target
        beat = target.beat
        if beat is not None:
            digest = service_digest(beat.service)
            if digest != carried.service_digest:
                return Refusal.OTHER_SERVICE
        refusal = target.refusal(None, carried.cold_rate, now_s)
        work_count = self.station.table.busy_count + len(self._waiting)
        if refusal is None and work_count >= target.slots * WORK_PER_SLOT:
            return Refusal.FULL
        return refusal

    def _pass_on(
        self,
        carried: Carried,
        packet: FlowPacket,
        reason: Refusal,
    ) -> None:
        """Sends a SYN to the next candidate, or back as refused."""
        station = self.station
        key = packet.flow_key
        candidates = carried.candidate_ips
        is_passed = bool(candidates) and carried.hop_count < HOPS_MAX
        station.note(
            'open-passed' if is_passed else 'open-refused',
            key,
            reason=reason.value,
            hops=carried.hop_count,
            to=candidates[0] if is_passed else carried.origin_ip,
            manifest=carried.manifest_version,
            beat_age_s=station.beat_age_s(),
        )
        if is_passed:
            onward = evolve(
                carried,
                hop_count=carried.hop_count + 1,
                candidate_ips=candidates[1:],
                packet=packet.octets,
            )
            station.outlet.carry(candidates[0], onward)
        station.tell(
            carried.origin_ip,
            FrameKind.ABSENT if is_passed else FrameKind.REFUSED,
            key,
            b'' if is_passed else packet.octets,
        )
