"""The agent's decisions: which packets its target gets, without I/O."""

from collections.abc import Callable

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.metric import OPEN_HOPS, OPEN_SECONDS, RESPONSE_SECONDS
from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.heartbeat import Heartbeat
from cumindrift.steering.agent.homes import HomeBook
from cumindrift.steering.agent.opener import Opener
from cumindrift.steering.agent.prober import Prober
from cumindrift.steering.agent.recall import Recall
from cumindrift.steering.agent.scout import Scout
from cumindrift.steering.agent.station import AgentStation
from cumindrift.steering.agent.target import BeatEffect, Refusal
from cumindrift.steering.agent.vigil import TargetVigil
from cumindrift.steering.frame import Carried, FrameKind, News
from cumindrift.steering.packet import FlowPacket

EXPIRE_PERIOD_S = 5.0
SETTLE_PERIOD_S = 0.5
# An agent that no balancer has called for this long may have lost its entry.
UNCALLED_S = 10.0


@define(slots=True, eq=False, repr=False)
class AgentCore:
    """Decides for each packet of a client and of the target.

    Used by the agent's ports. The target is the truth of what it holds:
    what it returns as bounced goes back to the balancer or on to the next
    candidate.
    """

    station: AgentStation
    read_packet: Callable[[bytes], FlowPacket | None]
    vigil: TargetVigil = field(init=False)
    opener: Opener = field(init=False)
    prober: Prober = field(init=False)
    recall: Recall = field(init=False)
    book: HomeBook = field(init=False)
    scout: Scout = field(init=False)
    _expire_s: float = 0.0
    _settle_s: float = 0.0
    _called_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Builds the parts, which share the station."""
        self.vigil = TargetVigil(self.station)
        self.opener = Opener(self.station, self.vigil)
        self.prober = Prober(self.station)
        self.recall = Recall(self.station)
        self.book = HomeBook(self.station)
        self.scout = Scout(self.station, self.book)

    def on_carried(self, carried: Carried, now_s: float) -> None:
        """Takes a client's packet from a balancer or another agent."""
        station = self.station
        self._called_s = now_s
        if carried.kind is FrameKind.PING:
            station.tell(carried.origin_ip, FrameKind.PONG)
            return
        packet = self.read_packet(carried.packet)
        if packet is None:
            station.count(ResultCode.PACKET_MALFORMED)
            return
        station.manifest_version = max(
            station.manifest_version,
            carried.manifest_version,
        )
        if carried.kind is FrameKind.OPEN:
            self.opener.take(carried, packet, now_s)
        elif carried.kind is FrameKind.SEEK:
            self.scout.seek(carried, packet, now_s)
        else:
            self._take_within(carried, packet, now_s)

    def on_news(self, ip: str, news: News, now_s: float) -> None:
        """Takes what another agent at `ip` tells of a flow."""
        if news.kind is FrameKind.HOLDS:
            self.book.take(news.flow_key, ip, now_s)
        elif news.kind is FrameKind.ABSENT and news.is_sure:
            self.scout.on_absent(ip, news.flow_key)

    def on_target_packet(self, packet: FlowPacket, now_s: float) -> None:
        """Takes what the target sent: an answer, or a bounced packet."""
        if packet.is_reset and not packet.is_bounced:
            self._take_reset(packet, now_s)
            return
        self.vigil.on_heard()
        if packet.is_bounced:
            if not self.prober.take_bounced(packet):
                self._take_bounced(packet)
            return
        key = packet.flow_key
        flow = self.station.table.flows.get(key)
        if flow is None:
            flow = self.prober.take_answer(packet, now_s)
        if flow is not None:
            self._follow_answer(flow, packet, now_s)
        self.station.outlet.answer(key, packet.octets)

    def on_beat(self, beat: Heartbeat, now_s: float) -> BeatEffect:
        """Takes a heartbeat; what it says is in force when this returns."""
        target = self.station.target
        earlier = target.beat
        effect = target.on_beat(beat, now_s)
        self.recall.settle()
        if effect is not BeatEffect.SAME:
            self.station.events.note(
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

    def on_left(self, target_id: str) -> None:
        """Takes a target's word that it ends."""
        station = self.station
        has_left = station.target.on_left(target_id)
        station.events.note(
            'target-left',
            target=target_id,
            is_known=has_left,
        )

    def on_target_gone(self, asked_s: float, now_s: float) -> None:
        """Takes the news that nothing listens at the target's address.

        Every flow that the target answered before the question was asked
        died with it, so their clients are told at once.
        """
        station = self.station
        self.vigil.on_gone()
        ended = [
            key
            for key, flow in station.table.flows.items()
            if flow.seen_s <= asked_s or flow.busy_since_s
        ]
        station.events.note_urgently(
            'target-gone',
            incarnation=station.target.incarnation,
            flow_count=len(ended),
        )
        for key in ended:
            self._end(key)

    def on_target_there(self) -> None:
        """Takes the news that the target's process still listens."""
        station = self.station
        station.events.note(
            'target-listens',
            is_silent=station.target.is_silent,
        )

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while something waits for an answer."""
        waits = [
            self.prober.tick(now_s),
            self.opener.tick(now_s),
            self.vigil.tick(now_s),
        ]
        if now_s >= self._settle_s:
            self._settle_s = now_s + SETTLE_PERIOD_S
            self.station.table.settle(now_s)
            self.scout.expire(now_s)
            self.book.tick(now_s)
        if now_s >= self._expire_s:
            self._expire_s = now_s + EXPIRE_PERIOD_S
            self.station.table.expire(now_s)
            if now_s - self._called_s > UNCALLED_S:
                self.station.outlet.check_entry()
        return any(waits)

    def _take_within(
        self,
        carried: Carried,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        table = self.station.table
        flow = table.flows.get(packet.flow_key)
        if flow is None:
            self.prober.take(carried, packet, now_s)
        elif table.accepts(flow, packet):
            self._take_held(carried, flow, packet, now_s)
        else:
            # Another target's answer was the first that the client saw.
            self.prober.send_back(carried, packet)

    def _take_held(
        self,
        carried: Carried,
        flow: Flow,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        station = self.station
        if station.target.is_gone:
            self._end(key, packet)
            return
        is_new_origin = flow.origin_ip != carried.origin_ip
        if is_new_origin or carried.kind is FrameKind.SEARCH:
            flow.origin_ip = carried.origin_ip
            station.tell(carried.origin_ip, FrameKind.HELD, key)
        station.table.note_client(flow, packet, now_s)
        if packet.payload_bytes:
            self.vigil.on_delivered(now_s)
        station.outlet.deliver(packet.octets)

    def _take_bounced(self, packet: FlowPacket) -> None:
        key = packet.flow_key
        station = self.station
        flow = station.table.flows.get(key)
        if flow is None or (packet.is_open and flow.is_established):
            # A late copy of the SYN ends nothing.
            return
        station.table.remove(key)
        self.opener.forget(key)
        if packet.is_open:
            self.opener.decline(flow, packet, Refusal.FULL)
        elif flow.is_proved:
            # The target held the flow and holds it no longer: it started
            # again, or gave the flow up.
            self._note_reset(key, 'bounced')
            if not packet.is_reset:
                station.outlet.reset(key, packet.acknowledged)
            station.tell(flow.origin_ip, FrameKind.ENDED, key)
        else:
            self._give_back(key, flow, packet)

    def _give_back(self, key: bytes, flow: Flow, packet: FlowPacket) -> None:
        """Has a flow searched for that this target may never have held."""
        self.station.tell(
            flow.origin_ip,
            FrameKind.RETURNED,
            key,
            packet.octets,
        )

    def _take_reset(self, packet: FlowPacket, now_s: float) -> None:
        """Takes a reset of the target, or of a machine without one.

        Only the holder of a flow may end it: where no target listens, the
        machine resets whatever it gets, also flows of other targets.
        """
        key = packet.flow_key
        station = self.station
        flow = station.table.remove(key)
        self.opener.forget(key)
        station.note(
            'target-reset',
            key,
            is_known=flow is not None,
            is_holder=flow is not None and flow.is_proved,
            incarnation=station.target.incarnation,
        )
        if flow is None:
            self.prober.take_reset(key)
        elif flow.is_proved:
            station.outlet.answer(key, packet.octets)
            station.tell(flow.origin_ip, FrameKind.ENDED, key)
            self.vigil.on_flow_ended(now_s)
        elif flow.is_guessed:
            self._give_back(key, flow, flow.client_packet)
        else:
            self.opener.decline(flow, flow.client_packet, Refusal.GONE)

    def _follow_answer(
        self,
        flow: Flow,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        station = self.station
        opening = flow.opening
        started_s = flow.busy_since_s
        flow.is_guessed = False
        station.table.note_target(flow, packet, now_s)
        if started_s and not flow.busy_since_s:
            seconds = now_s - started_s
            RESPONSE_SECONDS.labels(station.service).observe(seconds)
        if packet.is_answer:
            self.opener.forget(key)
            station.tell(flow.origin_ip, FrameKind.HELD, key)
            if opening is not None:
                self.book.on_opened(key, flow, now_s)
                self._observe_open(key, flow, opening, now_s)

    def _observe_open(
        self,
        key: bytes,
        flow: Flow,
        opening: Carried,
        now_s: float,
    ) -> None:
        station = self.station
        table = station.table
        OPEN_HOPS.labels(station.service).observe(opening.hop_count)
        OPEN_SECONDS.labels(station.service).observe(now_s - flow.opened_s)
        station.note(
            'flow-opened',
            key,
            origin=opening.origin_ip,
            hops=opening.hop_count,
            manifest=opening.manifest_version,
            flows=table.open_count,
            busy=table.busy_count,
            response_ms=table.response_ms,
            beat_age_s=station.beat_age_s(),
            code=int(ResultCode.DONE),
        )

    def _end(self, key: bytes, packet: FlowPacket | None = None) -> None:
        """Resets a flow whose target, which held it, is gone for certain."""
        station = self.station
        flow = station.table.remove(key)
        if flow is None:
            return
        self.opener.forget(key)
        last = packet or flow.client_packet
        if flow.is_guessed:
            self._give_back(key, flow, last)
        elif flow.is_established and last is not None:
            self._note_reset(key, 'target-gone')
            station.outlet.reset(key, last.acknowledged)
            station.tell(flow.origin_ip, FrameKind.ENDED, key)
        else:
            self.opener.decline(flow, flow.client_packet, Refusal.GONE)

    def _note_reset(self, key: bytes, reason: str) -> None:
        self.station.note(
            'flow-reset',
            key,
            reason=reason,
            incarnation=self.station.target.incarnation,
            code=int(ResultCode.FLOW_LOST),
        )
