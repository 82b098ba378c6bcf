"""Packets of unknown flows: probed at the target, or returned."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket

# A target that does not hold a packet's flow bounces the packet at once.
BOUNCE_TIMEOUT_S = 0.05


@define(slots=True, eq=False, repr=False)
class Probe:
    """A packet sent to the target to find out whether it holds the flow."""

    forwarded: ForwardedPacket
    packet: FlowPacket
    sent_s: float
    # The incarnation of the target that got the packet; 0 if unknown.
    incarnation: int


@define(slots=True, eq=False, repr=False)
class Prober:
    """Finds out whether the target holds a flow that is not in the table.

    An agent that was running when its target started knows all flows of the
    target. An agent that started later has to ask the target: it delivers the
    packet and waits for a bounce.
    """

    state: AgentState
    _probes: dict[bytes, Probe] = field(factory=dict)

    def on_unknown_flow(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now_s: float
    ) -> None:
        """Handles a packet of a flow that is not in the table."""
        target = self.state.target
        is_conclusive = target.knows_all_flows or target.is_gone
        if is_conclusive and 0 < forwarded.incarnation < target.incarnation:
            self._reset_earlier_incarnation(forwarded, packet)
        elif is_conclusive:
            self.report_absent(
                forwarded, packet, is_authoritative=target.is_gone
            )
        else:
            probe = Probe(forwarded, packet, now_s, target.incarnation)
            self._probes.setdefault(packet.flow_key, probe)
            self.state.output.deliver(packet.octets)

    def on_bounced(self, packet: FlowPacket) -> bool:
        """Handles a bounced packet; False if it belongs to no probe."""
        probe = self._probes.pop(packet.flow_key, None)
        if probe is None:
            return False
        self.report_absent(probe.forwarded, packet, is_authoritative=True)
        return True

    def on_answer(self, packet: FlowPacket, now_s: float) -> Flow | None:
        """Adds a flow that the target opened before this agent started."""
        key = packet.flow_key
        probe = self._probes.pop(key, None)
        if probe is None and not packet.payload_bytes:
            # It may be the last packet of a closed flow.
            return None
        return self._adopt(key, probe, now_s)

    def on_reset(self, key: bytes) -> None:
        """Handles a reset of a flow that is not in the table."""
        probe = self._probes.pop(key, None)
        if probe is not None:
            self.report_absent(
                probe.forwarded, probe.packet, is_authoritative=True
            )

    def tick(self, now_s: float) -> bool:
        """Adopts the flows whose packets the target did not bounce.

        Returns True while the target may still bounce some.
        """
        target = self.state.target
        for key, probe in list(self._probes.items()):
            if now_s - probe.sent_s < BOUNCE_TIMEOUT_S:
                continue
            self._probes.pop(key)
            # A packet sent before the target started proves nothing.
            is_same = target.incarnation == probe.incarnation
            was_there = probe.incarnation > 0
            if is_same and was_there and not target.is_gone:
                flow = self._adopt(key, probe, now_s)
                flow.is_assumed = True
        return bool(self._probes)

    def report_absent(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        *,
        is_authoritative: bool = False,
    ) -> None:
        """Reports to the asking node that the flow is not held here."""
        state = self.state
        key = packet.flow_key
        if forwarded.kind is FrameKind.SEARCH:
            state.send_report(
                forwarded.sender_ip,
                FrameKind.ABSENT,
                key,
                is_authoritative=is_authoritative,
            )
            return
        state.log_decision('flow-returned', key, to=forwarded.origin_ip)
        state.send_report(
            forwarded.origin_ip,
            FrameKind.RETURNED,
            key,
            packet.octets,
        )

    def _reset_earlier_incarnation(
        self, forwarded: ForwardedPacket, packet: FlowPacket
    ) -> None:
        """Resets a flow that an earlier incarnation of the target held."""
        state = self.state
        key = packet.flow_key
        state.log_decision(
            'flow-reset',
            key,
            reason='other-incarnation',
            incarnation=state.target.incarnation,
            expected=forwarded.incarnation,
            code=int(ResultCode.OTHER_INCARNATION),
        )
        state.output.reset(key, packet.acknowledged)
        state.send_report(forwarded.origin_ip, FrameKind.ENDED, key)

    def _adopt(self, key: bytes, probe: Probe | None, now_s: float) -> Flow:
        state = self.state
        origin_ip = probe.forwarded.origin_ip if probe else ''
        flow = Flow(origin_ip, now_s, now_s, is_established=True)
        state.log_decision('flow-adopted', key, origin=origin_ip)
        if probe is not None:
            state.table.on_client_packet(flow, probe.packet, now_s)
            state.send_report(origin_ip, FrameKind.HELD, key)
        return state.table.add(key, flow)
