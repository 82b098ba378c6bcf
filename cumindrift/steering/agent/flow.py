"""The flows of one target, as its agent tracks them."""

from attrs import define, field

from cumindrift.fleet.manifest import DEFAULT_LIMITS, RequestLimits
from cumindrift.steering.agent.work import Request, WorkTracker
from cumindrift.steering.frame import ForwardedPacket
from cumindrift.steering.packet import (
    OPEN_ATTEMPT_S,
    FlowPacket,
    acknowledges_opening,
    is_after,
)

FLOWS_MAX = 65_536
# How long a closed flow is kept, since either end may retransmit its FIN.
CLOSED_KEPT_S = 10.0


@define(slots=True, eq=False, repr=False)
class Flow:
    """A flow that the target holds or is about to hold.

    `opening` is the forwarded SYN, kept until the target has answered it.
    """

    origin_ip: str
    opened_s: float
    seen_s: float
    opening: ForwardedPacket | None = None
    # The record keepers to notify that the target holds the flow.
    keeper_ips: tuple[str, ...] = ()
    target_sequence: int | None = None
    is_established: bool = False
    # Assumed to be held only because the target did not bounce a packet.
    is_assumed: bool = False
    # The limits of the requests on the flow's route.
    limits: RequestLimits = DEFAULT_LIMITS
    # Highest sequence number of the client's data; up to it, data is a
    # retransmission.
    client_sequence: int | None = None
    # The client's last packet. A reset must be near the sequence number that
    # it acknowledges.
    client_packet: FlowPacket | None = None
    has_client_closed: bool = False
    has_target_closed: bool = False

    def is_of_attempt(self, now_s: float) -> bool:
        """Returns whether a SYN that arrives now may belong to this flow."""
        return now_s - self.opened_s <= OPEN_ATTEMPT_S

    @property
    def is_confirmed(self) -> bool:
        """Returns whether the target is known to hold the flow."""
        return self.is_established and not self.is_assumed

    @property
    def is_closed(self) -> bool:
        """Returns whether both ends have sent a FIN."""
        return self.has_client_closed and self.has_target_closed


@define(slots=True, eq=False, repr=False)
class FlowTable:
    """All flows of a target; idle and old ones expire."""

    idle_timeout_s: float
    lifetime_s: float
    flows: dict[bytes, Flow] = field(factory=dict)
    # Flows that are not closed; closed ones are kept for late packets.
    open_count: int = 0
    work: WorkTracker = field(factory=WorkTracker)

    def add(self, flow_key: bytes, flow: Flow) -> Flow:
        """Adds a flow; evicts the oldest one if the table is full."""
        if len(self.flows) >= FLOWS_MAX:
            self.remove(next(iter(self.flows)))
        self.remove(flow_key)
        self.flows[flow_key] = flow
        self.open_count += 1
        return flow

    def remove(self, flow_key: bytes) -> Flow | None:
        """Removes a flow and returns it."""
        flow = self.flows.pop(flow_key, None)
        self.work.end(flow_key)
        if flow is not None and not flow.is_closed:
            self.open_count -= 1
        return flow

    def accepts(self, flow: Flow, packet: FlowPacket) -> bool:
        """Returns whether a client's packet belongs to this target's flow.

        If several targets answered the SYN, the client's next packet
        acknowledges the sequence number of the one whose answer arrived
        first. Only that target holds the flow.
        """
        if flow.is_established:
            return True
        sequence = flow.target_sequence
        if sequence is None or not acknowledges_opening(
            packet.acknowledged, sequence
        ):
            return False
        flow.is_established = True
        return True

    def on_client_packet(
        self, flow: Flow, packet: FlowPacket, now_s: float
    ) -> Request | None:
        """Records a client's packet; new data starts a request.

        A client that closes or resets its flow waits for no response. Returns
        the request that it abandons, if any.
        """
        flow.seen_s = now_s
        flow.client_packet = packet
        if packet.is_fin and not flow.has_client_closed:
            flow.has_client_closed = True
            self.open_count -= flow.is_closed
        if packet.is_fin or packet.is_reset:
            return self.work.end(packet.flow_key)
        if self._is_new_data(flow, packet):
            flow.client_sequence = packet.sequence
            self.work.begin(packet.flow_key, now_s, flow.limits)
        return None

    def on_target_packet(
        self, flow: Flow, packet: FlowPacket, now_s: float
    ) -> float | None:
        """Records a packet of the target; data ends a request.

        Returns the time that the request took, if one ended.
        """
        flow.seen_s = now_s
        if packet.is_fin and not flow.has_target_closed:
            flow.has_target_closed = True
            self.open_count -= flow.is_closed
        if packet.is_syn_ack:
            flow.target_sequence = packet.sequence
            flow.opening = None
        elif packet.payload_bytes:
            return self.work.answer(packet.flow_key, now_s)
        return None

    def expire(self, now_s: float) -> int:
        """Removes idle and too old flows; returns how many."""
        expired = [
            flow_key
            for flow_key, flow in self.flows.items()
            if now_s - flow.seen_s > self._retention_s(flow)
            or now_s - flow.opened_s > self.lifetime_s * 2
        ]
        for flow_key in expired:
            self.remove(flow_key)
        return len(expired)

    def _retention_s(self, flow: Flow) -> float:
        return CLOSED_KEPT_S if flow.is_closed else self.idle_timeout_s

    def _is_new_data(self, flow: Flow, packet: FlowPacket) -> bool:
        if not packet.payload_bytes or flow.has_client_closed:
            return False
        known = flow.client_sequence
        return known is None or is_after(packet.sequence, known)
