"""The flows of one target, as its agent tracks them."""

from attrs import define, field

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
# Data without an answer for this long no longer counts as a request in
# progress.
BUSY_MAX_S = 2.0
# Weight of a new response time in the exponential moving average.
_MEAN_WEIGHT = 0.1
_MS_PER_S = 1000


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
    busy_since_s: float = 0.0
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
    busy_count: int = 0
    response_s: float = 0.0

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
        if flow is not None and flow.busy_since_s:
            self.busy_count -= 1
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
    ) -> None:
        """Records a client's packet; new data starts a request."""
        flow.seen_s = now_s
        flow.client_packet = packet
        if packet.is_fin and not flow.has_client_closed:
            flow.has_client_closed = True
            self.open_count -= flow.is_closed
        is_new = flow.client_sequence is None or is_after(
            packet.sequence,
            flow.client_sequence,
        )
        if not packet.payload_bytes or not is_new:
            return
        flow.client_sequence = packet.sequence
        if not flow.busy_since_s:
            flow.busy_since_s = now_s
            self.busy_count += 1

    def on_target_packet(
        self, flow: Flow, packet: FlowPacket, now_s: float
    ) -> None:
        """Records a packet of the target; data ends a request."""
        flow.seen_s = now_s
        if packet.is_fin and not flow.has_target_closed:
            flow.has_target_closed = True
            self.open_count -= flow.is_closed
        if packet.is_syn_ack:
            flow.target_sequence = packet.sequence
            flow.opening = None
        elif packet.payload_bytes and flow.busy_since_s:
            self._observe(now_s - flow.busy_since_s)
            flow.busy_since_s = 0.0
            self.busy_count -= 1

    @property
    def response_ms(self) -> int:
        """Returns the moving average of the time to the first answer."""
        return int(self.response_s * _MS_PER_S)

    def clear_stale_work(self, now_s: float) -> None:
        """Stops counting unanswered data as requests in progress."""
        if not self.busy_count:
            return
        for flow in self.flows.values():
            since_s = flow.busy_since_s
            if since_s and now_s - since_s > BUSY_MAX_S:
                flow.busy_since_s = 0.0
                self.busy_count -= 1

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

    def _observe(self, taken_s: float) -> None:
        if self.response_s:
            self.response_s += (taken_s - self.response_s) * _MEAN_WEIGHT
        else:
            self.response_s = taken_s
