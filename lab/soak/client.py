"""Simulated clients of the soak, which open flows and send requests."""

from collections.abc import Callable
from random import Random
from socket import inet_aton
from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child
from lab.soak.promise import Ledger
from lab.soak.topology import PACKETS_PORT
from lab.soak.wire import (
    ACK,
    FIN,
    FLOW_KEY,
    HEADER_BYTES,
    RST,
    SYN,
    has_valid_checksum,
    make_packet,
    response_to,
)

# Times of SYN retransmissions after the first SYN. The last is beyond
# OPEN_TIMEOUT_S and never sent.
SYN_RETRANSMITS_S = (0.2, 0.6, 9.0)
OPEN_TIMEOUT_S = 1.4
RETRANSMIT_MIN_S, RETRANSMIT_MAX_S = 0.2, 1.6
REQUEST_TIMEOUT_S = 8.0
FLOWS_MAX = 4
# Probability, per tick, that a client below FLOWS_MAX opens a flow.
OPEN_PROBABILITY = 0.1
_FIRST_PORT = 1024


@define(slots=True, eq=False)
class ClientFlow:
    """State of a flow at its client."""

    port: int
    opened_s: float
    ends_s: float
    sequence: int = 1000
    acknowledged: int = 0
    is_open: bool = False
    retransmit_count: int = 0
    request: bytes = b''
    requested_s: float = 0.0
    last_sent_s: float = 0.0
    retransmit_s: float = RETRANSMIT_MIN_S
    next_request_s: float = 0.0
    has_requested: bool = False


class SoakClient(Child):
    """A client with up to FLOWS_MAX flows of different durations."""

    def __init__(
        self,
        ip: str,
        random: Random,
        ledger: Ledger,
        clock: Callable[[], float],
        send: Callable[[bytes], None],
        find_holder: Callable[[bytes], str],
    ) -> None:
        """Binds the socket that receives responses."""
        super().__init__(channel=f'client-{ip}')
        self.ip = ip
        # End of the time to recover after the last fault, from when on a
        # failure breaks a promise; 0 while it is not known.
        self.healthy_from_s = 0.0
        # From when on new flows have to open although a target fails; 0 while
        # none does.
        self.served_from_s = 0.0
        # How many times as fast as usual it opens flows.
        self.surge = 1
        self.flows: dict[int, ClientFlow] = {}
        self._octets = inet_aton(ip)
        self._random = random
        self._ledger = ledger
        self._clock = clock
        self._send = send
        self._find_holder = find_holder
        self._next_port = _FIRST_PORT
        self._request_number = 0
        endpoint = Endpoint(ip, PACKETS_PORT)
        self._port = DatagramPort(endpoint, self._receive).register(self)

    def release(self) -> None:
        """Closes the socket."""
        self._port.release()

    def tick(self) -> None:
        """Opens flows, sends requests and retransmits unanswered packets."""
        now_s = self._clock()
        if (
            len(self.flows) < FLOWS_MAX * self.surge
            and self._random.random() < OPEN_PROBABILITY * self.surge
        ):
            self._open(now_s)
        for flow in list(self.flows.values()):
            if flow.is_open:
                self._advance_open_flow(flow, now_s)
            else:
                self._advance_opening(flow, now_s)

    def key_of(self, flow: ClientFlow) -> bytes:
        """Returns the flow key that the nodes use for this flow."""
        return self._packet(flow, SYN)[FLOW_KEY]

    def _open(self, now_s: float) -> None:
        life_s = self._random.choice((0.0, 0.5, 3.0, 10.0))
        flow = ClientFlow(self._next_port, now_s, now_s + life_s)
        self._next_port += 1
        self.flows[flow.port] = flow
        self._ledger.count('flows tried')
        self._send(self._packet(flow, SYN))

    def _advance_opening(self, flow: ClientFlow, now_s: float) -> None:
        waited_s = now_s - flow.opened_s
        if waited_s >= OPEN_TIMEOUT_S:
            self._fail(flow, 'flows not opened in time', now_s)
        elif waited_s >= SYN_RETRANSMITS_S[flow.retransmit_count]:
            flow.retransmit_count += 1
            flow.acknowledged = flow.retransmit_count
            self._send(self._packet(flow, SYN))

    def _advance_open_flow(self, flow: ClientFlow, now_s: float) -> None:
        if flow.request:
            self._wait_for_answer(flow, now_s)
        elif now_s >= flow.ends_s and flow.has_requested:
            self._send(self._packet(flow, ACK | FIN))
            self.flows.pop(flow.port)
            self._ledger.count('flows closed')
        elif now_s >= flow.next_request_s:
            self._start_request(flow, now_s)

    def _wait_for_answer(self, flow: ClientFlow, now_s: float) -> None:
        if now_s - flow.requested_s >= REQUEST_TIMEOUT_S:
            self._fail(flow, 'requests without an answer', now_s)
        elif now_s - flow.last_sent_s >= flow.retransmit_s:
            flow.retransmit_s = min(flow.retransmit_s * 2, RETRANSMIT_MAX_S)
            self._send_request(flow, now_s)

    def _start_request(self, flow: ClientFlow, now_s: float) -> None:
        self._request_number += 1
        flow.has_requested = True
        flow.request = b'%s%d' % (
            self._request_prefix(flow),
            self._request_number,
        )
        flow.requested_s = now_s
        flow.retransmit_s = RETRANSMIT_MIN_S
        self._send_request(flow, now_s)

    def _request_prefix(self, flow: ClientFlow) -> bytes:
        """Returns the prefix that is unique to this flow's requests."""
        return f'{self.ip} {flow.port} '.encode()

    def _send_request(self, flow: ClientFlow, now_s: float) -> None:
        flow.last_sent_s = now_s
        self._send(self._packet(flow, ACK, flow.request))

    def _packet(
        self, flow: ClientFlow, flags: int, payload: bytes = b''
    ) -> bytes:
        return make_packet(
            (self._octets, flow.port),
            flags,
            flow.sequence,
            flow.acknowledged,
            payload,
        )

    def _receive(self, octets: bytes, _pair: Any) -> None:
        self.receive_packet(octets)

    def receive_packet(self, octets: bytes) -> None:
        """Handles a packet to this client."""
        now_s = self._clock()
        is_reset = octets[10] & RST and not any(octets[4:8])
        if not is_reset and not has_valid_checksum(octets):
            self._ledger.breach('bytes', now_s, f'at client {self.ip}')
            return
        flow = self.flows.get(int.from_bytes(octets[18:20]))
        if flow is None:
            self._ledger.count('packets for flows that are over')
        elif is_reset:
            self._on_reset(flow, now_s)
        else:
            self._on_packet(flow, octets, now_s)

    def _on_packet(self, flow: ClientFlow, octets: bytes, now_s: float) -> None:
        if octets[10] & SYN:
            self._on_syn_ack(flow, octets)
        elif flow.is_open and len(octets) > HEADER_BYTES:
            self._on_response(flow, octets[HEADER_BYTES:], now_s)

    def _on_syn_ack(self, flow: ClientFlow, octets: bytes) -> None:
        if not flow.is_open:
            flow.is_open = True
            flow.sequence += 1
            flow.acknowledged = int.from_bytes(octets[24:28]) + 1
            self._ledger.count('flows opened')

    def _on_response(self, flow: ClientFlow, body: bytes, now_s: float) -> None:
        if not flow.request or body != response_to(flow.request):
            # A duplicate of an earlier response of this flow is no breach; a
            # response to another flow is one.
            if not body.startswith(response_to(self._request_prefix(flow))):
                self._ledger.breach('mixed', now_s, repr(body))
            return
        self._ledger.count('requests done')
        flow.sequence += len(flow.request)
        flow.request = b''
        flow.next_request_s = now_s + self._random.uniform(0.05, 0.6)

    def _on_reset(self, flow: ClientFlow, now_s: float) -> None:
        self.flows.pop(flow.port)
        if not flow.is_open:
            self._fail(flow, 'flows refused', now_s)
            return
        holder = self._find_holder(self.key_of(flow))
        if holder:
            detail = f'{self.ip}:{flow.port} was reset, {holder} holds it'
            self._ledger.breach('flow', now_s, detail)
        self._ledger.count('flows reset')

    def _fail(self, flow: ClientFlow, what: str, now_s: float) -> None:
        self.flows.pop(flow.port, None)
        self._ledger.count(what)
        is_served = flow.is_open or flow.opened_s <= self.served_from_s
        if self.served_from_s and not is_served:
            detail = f'{self.ip}:{flow.port}, {what} beside a failing target'
            self._ledger.breach('served', now_s, detail)
        if self.healthy_from_s and flow.opened_s > self.healthy_from_s:
            detail = f'{self.ip}:{flow.port}, {what}'
            self._ledger.breach('recover', now_s, detail)
        elif self.healthy_from_s and flow.requested_s > self.healthy_from_s:
            holder = self._find_holder(self.key_of(flow))
            if holder:
                detail = f'{self.ip}:{flow.port} is held by {holder}, {what}'
                self._ledger.breach('found', now_s, detail)
