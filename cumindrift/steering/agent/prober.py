"""Flows that an agent does not know: asked of the target, or sent back."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket

# A target returns a packet that it does not hold at once.
BOUNCE_TIMEOUT_S = 0.05


@define(slots=True, eq=False, repr=False)
class Probe:
    """A packet given to the target to learn whether it holds the flow."""

    forwarded: ForwardedPacket
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

    state: AgentState
    _probes: dict[bytes, Probe] = field(factory=dict)

    def on_unknown_flow(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now_s: float
    ) -> None:
        """Takes a packet of a flow that is not in the table."""
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
        """Takes a packet that the target returned; False if none was asked."""
        probe = self._probes.pop(packet.flow_key, None)
        if probe is None:
            return False
        self.report_absent(probe.forwarded, packet, is_authoritative=True)
        return True

    def on_answer(self, packet: FlowPacket, now_s: float) -> Flow | None:
        """Files a flow that a target opened before this agent started."""
        key = packet.flow_key
        probe = self._probes.pop(key, None)
        if probe is None and not packet.payload_bytes:
            # The end of a flow that is closed tells nothing.
            return None
        return self._adopt(key, probe, now_s)

    def on_reset(self, key: bytes) -> None:
        """Takes a reset of a flow that is not in the table."""
        probe = self._probes.pop(key, None)
        if probe is not None:
            self.report_absent(
                probe.forwarded, probe.packet, is_authoritative=True
            )

    def tick(self, now_s: float) -> bool:
        """Adopts the flows whose packets the target did not return.

        True while the target may still return some.
        """
        target = self.state.target
        for key, probe in list(self._probes.items()):
            if now_s - probe.sent_s < BOUNCE_TIMEOUT_S:
                continue
            self._probes.pop(key)
            # A packet that came before the target proves nothing.
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
        """Tells whoever asked that this target does not hold the flow."""
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
        """Resets a flow that was this target's before its last start."""
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
