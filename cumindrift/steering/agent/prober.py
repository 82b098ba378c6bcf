"""Flows that an agent does not know: asked of the target, or sent back."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.station import AgentStation
from cumindrift.steering.frame import Carried, FrameKind
from cumindrift.steering.packet import FlowPacket

# A target returns a packet that it does not hold at once.
RETURN_WITHIN_S = 0.05


@define(slots=True, eq=False, repr=False)
class Probe:
    """A packet given to the target to learn whether it holds the flow."""

    carried: Carried
    packet: FlowPacket
    sent_s: float
    # The target that was there to get the packet; 0 when none was known.
    incarnation: int


@define(slots=True, eq=False, repr=False)
class Prober:
    """Finds out whether the target holds a flow that the agent does not.

    An agent that has seen its target start knows all its flows. One that
    started beside a target that served asks the target itself.
    """

    station: AgentStation
    _probes: dict[bytes, Probe] = field(factory=dict)

    def take(self, carried: Carried, packet: FlowPacket, now_s: float) -> None:
        """Takes a packet of a flow that is not in the table."""
        target = self.station.target
        is_known = target.is_sure or target.is_gone
        if is_known and 0 < carried.incarnation < target.incarnation:
            self._reset_earlier(carried, packet)
        elif is_known:
            self.send_back(carried, packet, is_certain=target.is_gone)
        else:
            probe = Probe(carried, packet, now_s, target.incarnation)
            self._probes.setdefault(packet.flow_key, probe)
            self.station.outlet.deliver(packet.octets)

    def take_bounced(self, packet: FlowPacket) -> bool:
        """Takes a packet that the target returned; False if none was asked."""
        probe = self._probes.pop(packet.flow_key, None)
        if probe is None:
            return False
        self.send_back(probe.carried, packet, is_certain=True)
        return True

    def take_answer(self, packet: FlowPacket, now_s: float) -> Flow | None:
        """Files a flow that a target opened before this agent started."""
        key = packet.flow_key
        probe = self._probes.pop(key, None)
        if probe is None and not packet.payload_bytes:
            # The end of a flow that is closed tells nothing.
            return None
        return self._adopt(key, probe, now_s)

    def take_reset(self, key: bytes) -> None:
        """Takes a reset of a flow that is not in the table."""
        probe = self._probes.pop(key, None)
        if probe is not None:
            self.send_back(probe.carried, probe.packet, is_certain=True)

    def tick(self, now_s: float) -> bool:
        """Adopts the flows whose packets the target did not return.

        True while the target may still return some.
        """
        target = self.station.target
        for key, probe in list(self._probes.items()):
            if now_s - probe.sent_s < RETURN_WITHIN_S:
                continue
            self._probes.pop(key)
            # A packet that came before the target proves nothing.
            is_same = target.incarnation == probe.incarnation
            was_there = probe.incarnation > 0
            if is_same and was_there and not target.is_gone:
                flow = self._adopt(key, probe, now_s)
                flow.is_guessed = True
        return bool(self._probes)

    def send_back(
        self,
        carried: Carried,
        packet: FlowPacket,
        *,
        is_certain: bool = False,
    ) -> None:
        """Tells whoever asked that this target does not hold the flow."""
        station = self.station
        key = packet.flow_key
        if carried.kind is FrameKind.SEARCH:
            station.tell(
                carried.sender_ip,
                FrameKind.ABSENT,
                key,
                is_certain=is_certain,
            )
            return
        station.note('flow-returned', key, to=carried.origin_ip)
        station.tell(
            carried.origin_ip,
            FrameKind.RETURNED,
            key,
            packet.octets,
        )

    def _reset_earlier(self, carried: Carried, packet: FlowPacket) -> None:
        """Resets a flow that was this target's before its last start."""
        station = self.station
        key = packet.flow_key
        station.note(
            'flow-reset',
            key,
            reason='other-incarnation',
            incarnation=station.target.incarnation,
            expected=carried.incarnation,
            code=int(ResultCode.OTHER_INCARNATION),
        )
        station.outlet.reset(key, packet.acknowledged)
        station.tell(carried.origin_ip, FrameKind.ENDED, key)

    def _adopt(self, key: bytes, probe: Probe | None, now_s: float) -> Flow:
        station = self.station
        origin_ip = probe.carried.origin_ip if probe else ''
        flow = Flow(origin_ip, now_s, now_s, is_established=True)
        station.note('flow-adopted', key, origin=origin_ip)
        if probe is not None:
            station.table.note_client(flow, probe.packet, now_s)
            station.tell(origin_ip, FrameKind.HELD, key)
        return station.table.add(key, flow)
