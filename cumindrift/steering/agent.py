"""The agent's decisions: which packets its target gets, without I/O."""

from collections.abc import Callable
from typing import Any, Protocol

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.event import EventLog
from cumindrift.fleet.recorder import FlowRecord
from cumindrift.metric import (
    FLOW_DECISIONS,
    OPEN_HOPS,
    OPEN_SECONDS,
    RESPONSE_SECONDS,
)
from cumindrift.steering.flow import Flow, FlowTable
from cumindrift.steering.frame import (
    HOPS_MAX,
    Carried,
    FrameKind,
    Load,
    News,
    service_digest,
)
from cumindrift.steering.packet import FlowPacket
from cumindrift.steering.target import (
    BeatEffect,
    Heartbeat,
    Refusal,
    TargetState,
)

# A target answers a SYN within a millisecond; this much is silence.
OPEN_ANSWER_S = 0.1
# Data that no packet of the target followed for this long is a reason to
# find out whether it still runs, and how often.
DATA_SILENCE_S = 0.3
CHECK_PERIOD_S = 0.5
# A target returns a packet that it does not hold at once.
RETURN_WITHIN_S = 0.05
EXPIRE_PERIOD_S = 5.0
SETTLE_PERIOD_S = 0.5
# New flows go elsewhere, or wait at the balancer, while a target has this
# much work for each of its slots: more would be late.
WORK_PER_SLOT = 2
# Only flows that last are recorded, and so many at the most.
RECORDED_AFTER_S = 2.0
RECORDED_MAX = 2000
# An agent that no balancer has called for this long may have lost its entry.
UNCALLED_S = 10.0


class AgentOutlet(Protocol):
    """What an agent's core has done for it."""

    def deliver(self, octets: bytes) -> None:
        """Hands a packet to the target."""

    def answer(self, flow_key: bytes, octets: bytes) -> None:
        """Sends a packet to the flow's client."""

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Resets a flow, near what its client acknowledged last."""

    def carry(self, ip: str, carried: Carried) -> None:
        """Sends a carried packet to another agent."""

    def tell(self, ip: str, news: News) -> None:
        """Sends news to a balancer."""

    def check_target(self) -> None:
        """Finds out whether the target's process still listens."""

    def check_entry(self) -> None:
        """Makes sure that the store still holds this agent's entry."""


@define(slots=True, eq=False, repr=False)
class Probe:
    """A packet given to the target to learn whether it holds the flow."""

    carried: Carried
    packet: FlowPacket
    sent_s: float
    # The target that was there to get the packet; 0 when none was known.
    incarnation: int


@define(slots=True, eq=False, repr=False)
class AgentCore:
    """Decides for each packet of a client and of the target.

    Used by the agent's ports. The target is the truth of what it holds:
    what it returns as bounced goes back to the balancer or on to the next
    candidate.
    """

    ip: str
    service: str
    target: TargetState
    table: FlowTable
    read_packet: Callable[[bytes], FlowPacket | None]
    name_flow: Callable[[bytes], str]
    events: EventLog
    outlet: Any = None
    probes: dict[bytes, Probe] = field(factory=dict)
    _opening: dict[bytes, float] = field(factory=dict)
    _expire_s: float = 0.0
    _settle_s: float = 0.0
    # Since when the target has left data without any packet; 0 for never.
    _unheard_s: float = 0.0
    _check_s: float = 0.0
    _called_s: float = 0.0
    _manifest_version: int = 0
    _record: FlowRecord | None = None

    def on_carried(self, carried: Carried, now_s: float) -> None:
        """Takes a client's packet from a balancer or another agent."""
        self._called_s = now_s
        if carried.kind is FrameKind.PING:
            self._tell(carried.origin_ip, FrameKind.PONG)
            return
        packet = self.read_packet(carried.packet)
        if packet is None:
            self._count(ResultCode.PACKET_MALFORMED)
            return
        self._manifest_version = max(
            self._manifest_version,
            carried.manifest_version,
        )
        if carried.kind is FrameKind.OPEN:
            self._take_open(carried, packet, now_s)
        else:
            self._take_within(carried, packet, now_s)

    def on_target_packet(self, packet: FlowPacket, now_s: float) -> None:
        """Takes what the target sent: an answer, or a bounced packet."""
        self.target.is_silent = False
        self._unheard_s = 0.0
        if packet.is_bounced:
            self._take_bounced(packet, now_s)
            return
        key = packet.flow_key
        flow = self.table.flows.get(key)
        if flow is None:
            flow = self._learn_from_target(packet, now_s)
        if flow is not None:
            self._follow_answer(flow, packet, now_s)
        self.outlet.answer(key, packet.octets)

    def on_beat(self, beat: Heartbeat, now_s: float) -> BeatEffect:
        """Takes a heartbeat; what it says is in force when this returns."""
        target = self.target
        earlier = target.beat
        effect = target.on_beat(beat, now_s)
        self._settle_record()
        if effect is not BeatEffect.SAME:
            self.events.note(
                'target-beat',
                target=beat.target_id,
                effect=effect.value,
                service=beat.service,
                is_draining=beat.is_draining,
                cold_s=beat.cold_s,
                sequence=beat.sequence,
                incarnation=beat.incarnation,
                known_incarnation=earlier.incarnation if earlier else 0,
                is_sure=target.is_sure,
            )
        return effect

    def on_record(self, record: FlowRecord) -> None:
        """Takes the record of flows that an earlier process left."""
        self._record = record
        self._settle_record()

    def make_record(self, now_s: float) -> FlowRecord:
        """Returns the flows that are worth a reset after a power loss.

        A client learns of it before it sends on a flow that is dead, so
        that a request which must not be repeated is not lost there.
        """
        flows = {
            key: flow.client_packet.acknowledged
            for key, flow in self.table.flows.items()
            if flow.is_established
            and not flow.is_closed
            and flow.client_packet is not None
            and now_s - flow.opened_s >= RECORDED_AFTER_S
        }
        latest = list(flows.items())[-RECORDED_MAX:]
        return FlowRecord(self.target.incarnation, dict(latest))

    def on_left(self, target_id: str) -> None:
        """Takes a target's word that it ends."""
        has_left = self.target.on_left(target_id)
        self.events.note('target-left', target=target_id, is_known=has_left)

    def on_target_gone(self, asked_s: float, now_s: float) -> None:
        """Takes the news that nothing listens at the target's address.

        Every flow that the target answered before the question was asked
        died with it, so their clients are told at once.
        """
        self.target.is_gone = True
        self._unheard_s = 0.0
        ended = [
            key
            for key, flow in self.table.flows.items()
            if flow.seen_s <= asked_s or flow.busy_since_s
        ]
        self.events.note_urgently(
            'target-gone',
            incarnation=self.target.incarnation,
            flow_count=len(ended),
        )
        for key in ended:
            self._end(key, 'target-gone')

    def on_target_there(self) -> None:
        """Takes the news that the target's process still listens."""
        self.events.note('target-listens', is_silent=self.target.is_silent)

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while something waits for an answer."""
        self._settle_probes(now_s)
        self._pass_unanswered(now_s)
        is_unheard = bool(self._unheard_s)
        if is_unheard and now_s - self._unheard_s >= DATA_SILENCE_S:
            self._check_target(now_s)
        if now_s >= self._settle_s:
            self._settle_s = now_s + SETTLE_PERIOD_S
            self.table.settle(now_s)
        if now_s >= self._expire_s:
            self._expire_s = now_s + EXPIRE_PERIOD_S
            self.table.expire(now_s)
            if now_s - self._called_s > UNCALLED_S:
                self.outlet.check_entry()
        return bool(self.probes or self._opening or is_unheard)

    def _check_target(self, now_s: float) -> None:
        if now_s >= self._check_s and not self.target.is_gone:
            self._check_s = now_s + CHECK_PERIOD_S
            self.outlet.check_target()

    def _settle_record(self) -> None:
        """Resets the recorded flows if their target started again since."""
        record = self._record
        incarnation = self.target.incarnation
        if record is None or not incarnation:
            return
        self._record = None
        is_ended = incarnation not in {0, record.incarnation}
        self.events.note_urgently(
            'record-read',
            recorded=record.incarnation,
            incarnation=incarnation,
            flow_count=len(record.flows),
            is_ended=is_ended,
        )
        for key, acknowledged in record.flows.items():
            if is_ended and key not in self.table.flows:
                self._note('flow-reset', key, reason='recorded')
                self.outlet.reset(key, acknowledged)

    def _take_open(
        self,
        carried: Carried,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        known = self.table.flows.get(key)
        if known is not None and not self.target.is_gone:
            # A copy of the SYN follows the first.
            known.origin_ip = carried.origin_ip
            self.outlet.deliver(packet.octets)
            return
        refusal = self._refusal(carried, now_s)
        if refusal is not None:
            self._pass_on(carried, packet, refusal.value)
            return
        self.target.note_open(now_s)
        flow = Flow(carried.origin_ip, now_s, now_s, carried)
        flow.client_packet = packet
        self.table.add(key, flow)
        self._opening[key] = now_s
        self.outlet.deliver(packet.octets)

    def _refusal(self, carried: Carried, now_s: float) -> Refusal | None:
        target = self.target
        beat = target.beat
        if beat is not None:
            digest = service_digest(beat.service)
            if digest != carried.service_digest:
                return Refusal.OTHER_SERVICE
        refusal = target.refusal(None, carried.cold_rate, now_s)
        work_count = self.table.busy_count + len(self._opening)
        if refusal is None and work_count >= target.slots * WORK_PER_SLOT:
            return Refusal.FULL
        return refusal

    def _pass_on(
        self,
        carried: Carried,
        packet: FlowPacket,
        reason: str,
    ) -> None:
        """Sends a SYN to the next candidate, or back as refused."""
        key = packet.flow_key
        candidates = carried.candidate_ips
        is_passed = bool(candidates) and carried.hop_count < HOPS_MAX
        self._note(
            'open-passed' if is_passed else 'open-refused',
            key,
            reason=reason,
            hops=carried.hop_count,
            to=candidates[0] if is_passed else carried.origin_ip,
            manifest=carried.manifest_version,
            beat_age_s=self._beat_age_s(),
        )
        if is_passed:
            onward = evolve(
                carried,
                hop_count=carried.hop_count + 1,
                candidate_ips=candidates[1:],
                packet=packet.octets,
            )
            self.outlet.carry(candidates[0], onward)
        self._tell(
            carried.origin_ip,
            FrameKind.ABSENT if is_passed else FrameKind.REFUSED,
            key,
            b'' if is_passed else packet.octets,
        )

    def _take_within(
        self,
        carried: Carried,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        flow = self.table.flows.get(key)
        if flow is None:
            self._take_unknown(carried, packet, now_s)
        elif self.table.accepts(flow, packet):
            self._take_held(carried, flow, packet, now_s)
        else:
            # Another target's answer was the first that the client saw.
            self._return(carried, packet)

    def _take_held(
        self,
        carried: Carried,
        flow: Flow,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        if self.target.is_gone:
            self._end(key, 'target-gone', packet)
            return
        is_new_origin = flow.origin_ip != carried.origin_ip
        if is_new_origin or carried.kind is FrameKind.SEARCH:
            flow.origin_ip = carried.origin_ip
            self._tell(carried.origin_ip, FrameKind.HELD, key)
        self.table.note_client(flow, packet, now_s)
        if packet.payload_bytes:
            self._unheard_s = self._unheard_s or now_s
        self.outlet.deliver(packet.octets)

    def _take_unknown(
        self,
        carried: Carried,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        target = self.target
        is_known = target.is_sure or target.is_gone
        if is_known and 0 < carried.incarnation < target.incarnation:
            # The flow was this target's before its last start.
            self._note(
                'flow-reset',
                packet.flow_key,
                reason='other-incarnation',
                incarnation=target.incarnation,
                expected=carried.incarnation,
                code=int(ResultCode.OTHER_INCARNATION),
            )
            self.outlet.reset(packet.flow_key, packet.acknowledged)
            self._tell(carried.origin_ip, FrameKind.ENDED, packet.flow_key)
        elif is_known:
            self._return(carried, packet, is_certain=target.is_gone)
        else:
            probe = Probe(carried, packet, now_s, target.incarnation)
            self.probes.setdefault(packet.flow_key, probe)
            self.outlet.deliver(packet.octets)

    def _return(
        self,
        carried: Carried,
        packet: FlowPacket,
        *,
        is_certain: bool = False,
    ) -> None:
        """Tells the balancer that this target does not hold the flow.

        `is_certain` when the target itself just said so.
        """
        if carried.kind is FrameKind.SEARCH:
            self._tell(
                carried.origin_ip,
                FrameKind.ABSENT,
                packet.flow_key,
                is_certain=is_certain,
            )
            return
        self._note('flow-returned', packet.flow_key, to=carried.origin_ip)
        self._tell(
            carried.origin_ip,
            FrameKind.RETURNED,
            packet.flow_key,
            packet.octets,
        )

    def _take_bounced(self, packet: FlowPacket, now_s: float) -> None:
        key = packet.flow_key
        probe = self.probes.pop(key, None)
        if probe is not None:
            self._return(probe.carried, packet, is_certain=True)
            return
        flow = self.table.remove(key)
        self._opening.pop(key, None)
        if flow is None:
            return
        if packet.is_open:
            if flow.opening is not None:
                self._pass_on(flow.opening, packet, Refusal.FULL.value)
        elif flow.is_established and not flow.is_guessed:
            # The target held the flow and holds it no longer: it started
            # again, or gave the flow up.
            self._note(
                'flow-reset',
                key,
                reason='bounced',
                incarnation=self.target.incarnation,
                code=int(ResultCode.FLOW_LOST),
            )
            if not packet.is_reset:
                self.outlet.reset(packet.flow_key, packet.acknowledged)
            self._tell(flow.origin_ip, FrameKind.ENDED, key)
        else:
            self._tell(
                flow.origin_ip,
                FrameKind.RETURNED,
                key,
                packet.octets,
            )

    def _learn_from_target(
        self,
        packet: FlowPacket,
        now_s: float,
    ) -> Flow | None:
        """Files a flow that a target opened before this agent started."""
        key = packet.flow_key
        probe = self.probes.pop(key, None)
        if packet.is_reset or not (probe or packet.payload_bytes):
            # The end of a flow that is closed tells nothing.
            if probe is not None:
                self._return(probe.carried, probe.packet, is_certain=True)
            return None
        return self._adopt(key, probe, now_s)

    def _adopt(self, key: bytes, probe: Probe | None, now_s: float) -> Flow:
        origin_ip = probe.carried.origin_ip if probe else ''
        flow = Flow(origin_ip, now_s, now_s, is_established=True)
        self._note('flow-adopted', key, origin=origin_ip)
        if probe is not None:
            self.table.note_client(flow, probe.packet, now_s)
            self._tell(origin_ip, FrameKind.HELD, key)
        return self.table.add(key, flow)

    def _follow_answer(
        self,
        flow: Flow,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        opening = flow.opening
        started_s = flow.busy_since_s
        flow.is_guessed = False
        self.table.note_target(flow, packet, now_s)
        if started_s and not flow.busy_since_s:
            RESPONSE_SECONDS.labels(self.service).observe(now_s - started_s)
        if packet.is_answer:
            self._opening.pop(key, None)
            self._tell(flow.origin_ip, FrameKind.HELD, key)
            if opening is not None:
                self._observe_open(key, flow, opening, now_s)
        if packet.is_reset:
            self.table.remove(key)

    def _observe_open(
        self,
        key: bytes,
        flow: Flow,
        opening: Carried,
        now_s: float,
    ) -> None:
        OPEN_HOPS.labels(self.service).observe(opening.hop_count)
        OPEN_SECONDS.labels(self.service).observe(now_s - flow.opened_s)
        self._note(
            'flow-opened',
            key,
            origin=opening.origin_ip,
            hops=opening.hop_count,
            manifest=opening.manifest_version,
            flows=self.table.open_count,
            busy=self.table.busy_count,
            response_ms=self.table.response_ms,
            beat_age_s=self._beat_age_s(),
            code=int(ResultCode.DONE),
        )

    def _settle_probes(self, now_s: float) -> None:
        """Adopts the flows whose packets the target did not return."""
        for key, probe in list(self.probes.items()):
            if now_s - probe.sent_s >= RETURN_WITHIN_S:
                self.probes.pop(key)
                # A packet that came before the target proves nothing.
                is_same = self.target.incarnation == probe.incarnation
                was_there = probe.incarnation > 0
                if is_same and was_there and not self.target.is_gone:
                    flow = self._adopt(key, probe, now_s)
                    flow.is_guessed = True

    def _pass_unanswered(self, now_s: float) -> None:
        """Passes on the SYNs that the target left without an answer."""
        for key, opened_s in list(self._opening.items()):
            if now_s - opened_s < OPEN_ANSWER_S:
                return
            self._opening.pop(key)
            flow = self.table.remove(key)
            if not self.target.is_silent:
                self.target.is_silent = True
                self._check_target(now_s)
            if flow is not None and flow.opening is not None:
                self._pass_on(
                    flow.opening,
                    flow.client_packet,
                    Refusal.SILENT.value,
                )

    def _end(
        self,
        key: bytes,
        reason: str,
        packet: FlowPacket | None = None,
    ) -> None:
        """Resets a flow whose target is gone for certain."""
        flow = self.table.remove(key)
        if flow is None:
            return
        self._opening.pop(key, None)
        last = packet or flow.client_packet
        if flow.is_established and last is not None:
            self._note(
                'flow-reset',
                key,
                reason=reason,
                incarnation=self.target.incarnation,
                code=int(ResultCode.FLOW_LOST),
            )
            self.outlet.reset(key, last.acknowledged)
        elif flow.opening is not None:
            self._pass_on(flow.opening, flow.client_packet, Refusal.GONE.value)
        self._tell(flow.origin_ip, FrameKind.ENDED, key)

    def _tell(
        self,
        ip: str,
        kind: FrameKind,
        key: bytes = bytes(12),
        octets: bytes = b'',
        *,
        is_certain: bool = False,
    ) -> None:
        if not ip:
            return
        load = Load(
            self.table.open_count,
            self.table.busy_count,
            self.table.response_ms,
            self.target.slots,
        )
        news = News(
            kind,
            key,
            self.target.incarnation,
            self._manifest_version,
            self.target.is_sure or is_certain,
            load,
            octets,
        )
        self.outlet.tell(ip, news)

    def _beat_age_s(self) -> float:
        return round(self.events.clock() - self.target.beat_s, 3)

    def _note(self, event: str, key: bytes, **fields: Any) -> None:
        FLOW_DECISIONS.labels(event, self.service).inc()
        self.events.note(event, flow=self.name_flow(key), **fields)

    def _count(self, code: ResultCode) -> None:
        FLOW_DECISIONS.labels(code.name, self.service).inc()
