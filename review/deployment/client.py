"""Clients and the platform's routers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import sha256
from http.client import HTTPConnection, HTTPException
from queue import Empty, Queue
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from threading import Thread
from time import monotonic, sleep

from review.deployment.packet import (
    ACK,
    FIN,
    RESET_WINDOW,
    RST,
    SEQUENCE_SPACE,
    SYN,
    Packet,
    decode,
)
from review.deployment.record import Record

Address = tuple[str, int]
PROBE_S = 0.5
MISSES_MAX = 2
SYN_COPIES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
RETRANSMIT_MIN_S, RETRANSMIT_MAX_S = 0.2, 1.6


@dataclass
class Front:
    """A balancer as the routers see it."""

    name: str
    zone: str
    packets: Address
    ready: Address
    miss_count: int = MISSES_MAX

    @property
    def is_in_rotation(self) -> bool:
        """Returns whether routers send packets there."""
        return self.miss_count < MISSES_MAX


class Router:
    """Probes the balancers, and sends each flow to one in rotation."""

    def __init__(self, fronts: list[Front], record: Record) -> None:
        """Starts the probes."""
        self.fronts = fronts
        self._record = record
        self._sock = socket(AF_INET, SOCK_DGRAM)
        for front in fronts:
            Thread(target=self._probe, args=(front,), daemon=True).start()

    def front_of(self, zone: str, octets: bytes) -> Front:
        """Returns the balancer that gets a packet of a client in a zone."""
        zone_fronts = [each for each in self.fronts if each.zone == zone]
        ready = [each for each in zone_fronts if each.is_in_rotation]
        if ready and len(ready) * 2 < len(zone_fronts):
            ready = zone_fronts
        others = [each for each in self.fronts if each.is_in_rotation]
        return max(
            ready or others or zone_fronts,
            key=lambda front: sha256(
                octets[12:24] + front.packets[0].encode()
            ).digest(),
        )

    def send(self, zone: str, octets: bytes) -> Front:
        """Sends a client's packet on; returns the balancer that gets it."""
        front = self.front_of(zone, octets)
        self._sock.sendto(octets, front.packets)
        return front

    def _probe(self, front: Front) -> None:
        while True:
            was_in_rotation = front.is_in_rotation
            connection = HTTPConnection(*front.ready, timeout=PROBE_S)
            try:
                connection.request('GET', '/cumindrift/ready')
                is_ready = connection.getresponse().status == 200
            except (OSError, HTTPException):
                is_ready = False
            finally:
                connection.close()
            front.miss_count = 0 if is_ready else front.miss_count + 1
            if front.is_in_rotation != was_in_rotation:
                state = 'in' if front.is_in_rotation else 'out of'
                self._record.note(f'router: {front.name} is {state} rotation')
            sleep(PROBE_S)


@dataclass(eq=False)
class Flow:
    """A flow at its client."""

    client: 'Client'
    local: Address
    route: Address
    sequence: int
    acknowledged: int = 0
    is_open: bool = False
    # When a reset that the client accepted came, on the record's clock.
    reset_s: float = -1.0
    was_system_reset: bool = False
    # Whether a request got no answer.
    has_lost: bool = False
    # The balancer that got the flow's last packet.
    front: Front | None = None
    inbox: Queue[Packet] = field(default_factory=Queue)
    _request_count: int = 0
    _data_count: int = 0

    @property
    def key(self) -> tuple[Address, Address]:
        """Returns client and route, which name the flow."""
        return (self.local, self.route)

    def open(self) -> str:
        """Opens the flow; returns 'open', 'reset' or 'no answer'."""
        begun_s = monotonic()
        for number in range(len(SYN_COPIES_S)):
            self._send(SYN, self.sequence, number)
            last = number + 1 == len(SYN_COPIES_S)
            until_s = OPEN_TIMEOUT_S if last else SYN_COPIES_S[number + 1]
            packet = self._wait(begun_s + until_s, _is_syn_ack)
            if self.reset_s >= 0:
                return 'reset'
            if packet is not None:
                self.sequence += 1
                self.acknowledged = packet.sequence + 1
                self.is_open = True
                self._send(ACK, self.sequence, self.acknowledged)
                return 'open'
        return 'no answer'

    def request(self, limit_s: float = 3.0, method: str = 'POST') -> str:
        """Sends a request; returns its body, 'reset' or 'no answer'."""
        self._request_count += 1
        number = f'{self.local[1]}-{self._request_count}'
        payload = (
            f'{method} /claim HTTP/1.1\r\nHost: service\r\n'
            f'X-Cumindrift-Request-Id: {number}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        record = self.client.record
        record.note(f'client sends {number} on {self.local}')
        begun_s = monotonic()
        pause_s = RETRANSMIT_MIN_S
        while monotonic() - begun_s < limit_s and self.reset_s < 0:
            self._send(ACK, self.sequence, self.acknowledged, payload)
            until_s = min(monotonic() + pause_s, begun_s + limit_s)
            packet = self._wait(until_s, lambda each: number in _text(each))
            if packet is not None:
                self.sequence += len(payload)
                self.acknowledged = packet.sequence + len(packet.payload)
                self._data_count += 1
                if self._data_count % 2 == 0:
                    self._send(ACK, self.sequence, self.acknowledged)
                body = _text(packet).partition('\r\n\r\n')[2]
                record.note(f'client got {number}: {body}')
                return body
            pause_s = min(pause_s * 2, RETRANSMIT_MAX_S)
        outcome = 'reset' if self.reset_s >= 0 else 'no answer'
        record.note(f'client got {number}: {outcome}')
        return outcome

    def close(self) -> None:
        """Closes the flow and waits for the endpoint's FIN."""
        if self.reset_s < 0:
            self._send(ACK | FIN, self.sequence, self.acknowledged)
            self.sequence += 1
            packet = self._wait(monotonic() + 1.0, lambda each: each.has(FIN))
            if packet is not None:
                self.acknowledged = packet.sequence + 1
                self._send(ACK, self.sequence, self.acknowledged)
        self.client.flows.pop(self.local[1], None)

    def poll(self) -> None:
        """Handles what has come."""
        self._wait(monotonic(), lambda _packet: False)

    def _wait(
        self, until_s: float, wanted: Callable[[Packet], bool]
    ) -> Packet | None:
        while True:
            try:
                packet = self.inbox.get(
                    timeout=max(until_s - monotonic(), 0.0001)
                )
            except Empty:
                return None
            if packet.has(RST):
                self._on_reset(packet)
                if self.reset_s >= 0:
                    return None
            elif wanted(packet):
                return packet
            elif packet.payload and self.is_open:
                # A copy of an answer: its acknowledgement was not sent.
                self._send(ACK, self.sequence, self.acknowledged)

    def _on_reset(self, packet: Packet) -> None:
        gap = (packet.sequence - self.acknowledged) % SEQUENCE_SPACE
        is_near = min(gap, SEQUENCE_SPACE - gap) <= RESET_WINDOW
        if self.is_open and not is_near:
            return
        self.reset_s = self.client.record.now_s()
        self.was_system_reset = packet.is_system_reset
        by = 'the system' if packet.is_system_reset else 'an endpoint'
        self.client.record.note(f'client {self.local} is reset by {by}')

    def _send(
        self,
        flags: int,
        sequence: int,
        acknowledged: int,
        payload: bytes = b'',
    ) -> None:
        packet = Packet(
            flags, self.local, self.route, sequence, acknowledged, payload
        )
        octets = packet.encode()
        self.front = self.client.router.send(self.client.zone, octets)


class Client:
    """A client at one address, with many flows."""

    def __init__(
        self,
        address: Address,
        zone: str,
        router: Router,
        record: Record,
        random: Random,
    ) -> None:
        """Receives at the address."""
        self.address = address
        self.zone = zone
        self.router = router
        self.record = record
        self.flows: dict[int, Flow] = {}
        self._random = random
        self._next_port = 1024
        self._sock = socket(AF_INET, SOCK_DGRAM)
        self._sock.bind(address)
        Thread(target=self._receive, daemon=True).start()

    def new_flow(self, route: Address, port: int = 0) -> Flow:
        """Returns a flow that is not open yet, from a new port by default."""
        if not port:
            self._next_port += 1
            port = self._next_port
        local = (self.address[0], port)
        flow = Flow(self, local, route, self._random.getrandbits(32))
        self.flows[port] = flow
        return flow

    def _receive(self) -> None:
        while True:
            packet = decode(self._sock.recv(2048))
            flow = self.flows.get(packet.destination[1])
            is_made_up = not packet.is_genuine and not packet.has(RST)
            if is_made_up:
                self.record.note(f'client got a packet nobody wrote: {packet}')
            elif flow is not None:
                flow.inbox.put(packet)


def _is_syn_ack(packet: Packet) -> bool:
    return packet.has(SYN) and packet.has(ACK)


def _text(packet: Packet) -> str:
    return packet.payload.decode('latin-1')
