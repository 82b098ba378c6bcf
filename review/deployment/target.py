"""An endpoint beside an agent: flows, requests and heartbeats."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from queue import Empty, Queue
from random import Random
from socket import (
    AF_INET,
    SO_REUSEADDR,
    SOCK_DGRAM,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from threading import Lock, Thread, Timer
from time import monotonic, sleep, time
from typing import Any

from review.deployment.packet import (
    ACK,
    FIN,
    RST,
    SYN,
    Packet,
    bounce,
    decode,
)
from review.deployment.record import Record

Address = tuple[str, int]
# Client and route.
FlowKey = tuple[Address, Address]
POLL_S = 0.05
BEAT_TIMEOUT_S = 1.0
BEAT_RETRY_S = 0.3
RETRANSMIT_MIN_S, RETRANSMIT_MAX_S, RETRANSMITS_MAX = 0.2, 1.6, 8


@dataclass
class TargetFlow:
    """A flow at its endpoint; `sequence` is the endpoint's next number."""

    initial: int
    expected: int
    sequence: int
    is_open: bool = False
    has_ended: bool = False
    data_count: int = 0
    acknowledged: int = 0


@dataclass
class Settings:
    """Where an endpoint runs, and what it serves."""

    name: str
    service: str
    zone: str
    app: Address
    outbound: Address
    heartbeats: Address
    beat_s: float
    work_s: float = 0.05
    slots: int = 4


@dataclass
class Target:
    """An endpoint; `start` begins a new lifetime."""

    settings: Settings
    record: Record
    random: Random
    # Called with each packet that reaches the endpoint.
    on_packet: Callable[['Target', FlowKey, Packet], None] | None = None
    flows: dict[FlowKey, TargetFlow] = field(default_factory=dict)
    lifetime: int = 0
    is_running: bool = False
    # Whether the process hangs: it reads nothing and sends nothing.
    is_hung: bool = False
    born: int = 0
    # How long packets wait before the endpoint handles them, in order, and
    # for how long that is so after each start.
    latency_s: float = 0.0
    slow_s: float = 0.0
    # When the agent last acknowledged a heartbeat.
    acked_s: float = 0.0
    # Flows that this endpoint has reset itself.
    reset_keys: set[FlowKey] = field(default_factory=set)
    _sequence: int = 0
    _slow_until_s: float = 0.0
    _lock: Any = field(default_factory=Lock)
    _packets: socket | None = None
    _listener: socket | None = None

    @property
    def target_id(self) -> str:
        """Returns the id of the current lifetime."""
        return f'i-{self.settings.name}-{self.lifetime}'

    def start(self) -> None:
        """Starts a new lifetime, which holds no flows."""
        self.lifetime += 1
        self.flows = {}
        self.reset_keys = set()
        self._sequence = 0
        self.born = int(time() * 1000)
        self._packets = socket(AF_INET, SOCK_DGRAM)
        self._packets.bind(self.settings.app)
        self._packets.settimeout(POLL_S)
        self._listener = socket(AF_INET, SOCK_STREAM)
        self._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._listener.bind(self.settings.app)
        self._listener.listen(64)
        self._slow_until_s = monotonic() + self.slow_s
        self.is_running = True
        self.record.note(f'{self.target_id} starts, born {self.born}')
        lifetime = self.lifetime
        inbox: Queue[tuple[float, bytes]] = Queue()
        for work in (self._receive, self._handle_all):
            Thread(target=work, args=(lifetime, inbox), daemon=True).start()
        Thread(target=self._beat, args=(lifetime,), daemon=True).start()

    def crash(self) -> None:
        """Ends at once and discards all flows."""
        self.is_running = False
        self.record.note(f'{self.target_id} crashes')
        self._packets.close()
        self._listener.close()
        self.flows = {}

    def hang(self) -> None:
        """Falls silent: its sockets stay open, nothing is read or sent."""
        self.is_hung = True
        self.record.note(f'{self.target_id} falls silent')

    def holds(self, key: FlowKey) -> bool:
        """Returns whether this endpoint lives and holds an open flow."""
        flow = self.flows.get(key)
        is_open = flow is not None and flow.is_open and not flow.has_ended
        return self.is_running and not self.is_hung and is_open

    def send_heartbeat(self) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        self._sequence += 1
        settings = self.settings
        body = {
            'service': settings.service,
            'address': f'{settings.app[0]}:{settings.app[1]}',
            'zone': settings.zone,
            'version': 'v1',
            'max_concurrency': settings.slots,
            'state': 'ready',
            'warmup_left_ms': self._warmup_left_ms(),
            'sequence': self._sequence,
            'born': self.born,
        }
        connection = HTTPConnection(
            *settings.heartbeats, timeout=BEAT_TIMEOUT_S
        )
        try:
            connection.request(
                'PUT',
                f'/cumindrift/instances/{self.target_id}',
                json.dumps(body),
                {'Content-Type': 'application/json'},
            )
            is_acked = connection.getresponse().status // 100 == 2
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()
        if is_acked:
            self.acked_s = monotonic()
        return is_acked

    def _warmup_left_ms(self) -> int:
        left_s = self._slow_until_s - monotonic()
        return int(max(left_s, 0.0) * 1000)

    def _beat(self, lifetime: int) -> None:
        while self.is_running and self.lifetime == lifetime:
            if self.is_hung:
                sleep(POLL_S)
                continue
            is_acked = self.send_heartbeat()
            sleep(self.settings.beat_s if is_acked else BEAT_RETRY_S)

    def _receive(
        self, lifetime: int, inbox: Queue[tuple[float, bytes]]
    ) -> None:
        """Takes packets from the socket."""
        sock = self._packets
        while self.is_running and self.lifetime == lifetime:
            try:
                octets = sock.recv(2048)
            except TimeoutError:
                continue
            except OSError:
                return
            now_s = monotonic()
            delay_s = self.latency_s if now_s < self._slow_until_s else 0.0
            inbox.put((now_s + delay_s, octets))

    def _handle_all(
        self, lifetime: int, inbox: Queue[tuple[float, bytes]]
    ) -> None:
        """Handles packets in their order, each when it is due."""
        while self.is_running and self.lifetime == lifetime:
            try:
                due_s, octets = inbox.get(timeout=POLL_S)
            except Empty:
                continue
            sleep(max(due_s - monotonic(), 0.0))
            with self._lock:
                self._on_packet(octets)

    def _on_packet(self, octets: bytes) -> None:
        packet = decode(octets)
        key = (packet.source, packet.destination)
        if self.on_packet is not None:
            self.on_packet(self, key, packet)
        if not packet.is_genuine:
            self.record.note(f'{self.target_id} got a packet nobody wrote so')
        if not self.is_hung:
            self._handle(octets, key, packet)

    def _handle(self, octets: bytes, key: FlowKey, packet: Packet) -> None:
        flow = self.flows.get(key)
        if packet.has(SYN):
            self._on_syn(key, packet, flow)
        elif flow is None or not self._opens(flow, packet):
            self._send(bounce(octets))
        elif packet.has(RST):
            self.flows.pop(key)
        elif flow.has_ended:
            self._on_ended(key, packet, flow)
        else:
            self._on_data(key, packet, flow)

    def _on_syn(
        self, key: FlowKey, packet: Packet, flow: TargetFlow | None
    ) -> None:
        if flow is None or flow.has_ended:
            initial = self.random.getrandbits(32)
            flow = TargetFlow(initial, packet.sequence + 1, initial + 1)
            self.flows[key] = flow
        self._answer(key, flow, SYN | ACK, flow.initial)

    def _opens(self, flow: TargetFlow, packet: Packet) -> bool:
        if flow.is_open:
            return True
        wanted = (flow.initial + 1) % (1 << 32)
        flow.is_open = packet.acknowledged == wanted
        return flow.is_open

    def _on_ended(self, key: FlowKey, packet: Packet, flow: TargetFlow) -> None:
        if packet.has(FIN):
            self._answer(key, flow, ACK, flow.sequence)
        elif packet.payload:
            self.record.note(f'{self.target_id} resets {key[0]}: it has ended')
            self._answer(key, flow, RST, flow.sequence)

    def _on_data(self, key: FlowKey, packet: Packet, flow: TargetFlow) -> None:
        flow.acknowledged = packet.acknowledged
        if packet.payload:
            flow.data_count += 1
            if packet.sequence == flow.expected % (1 << 32):
                flow.expected += len(packet.payload)
                self._run(key, packet, flow)
            if flow.data_count % 2 == 0:
                self._answer(key, flow, ACK, flow.sequence)
        if packet.has(FIN):
            flow.expected += 1
            flow.has_ended = True
            self._answer(key, flow, ACK | FIN, flow.sequence)
            flow.sequence += 1

    def _run(self, key: FlowKey, packet: Packet, flow: TargetFlow) -> None:
        head = packet.payload.split(b'\r\n\r\n')[0].decode('latin-1')
        number = head.partition('X-Cumindrift-Request-Id: ')[2].split('\r\n')[0]
        self.record.note(f'{self.target_id} runs {number} of {key[0]}')
        lifetime = self.lifetime

        def respond() -> None:
            with self._lock:
                if self.lifetime == lifetime and self.flows.get(key) is flow:
                    self._respond(key, flow, number)

        timer = Timer(self.settings.work_s, respond)
        timer.daemon = True
        timer.start()

    def _respond(self, key: FlowKey, flow: TargetFlow, number: str) -> None:
        body = f'answer of {self.settings.service} to {number}'
        payload = (
            'HTTP/1.1 200 OK\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'X-Cumindrift-Request-Id: {number}\r\n'
            f'X-Cumindrift-Instance-Id: {self.target_id}\r\n'
            f'X-Cumindrift-Response-Signature: s-{number}\r\n\r\n{body}'
        ).encode()
        start = flow.sequence
        flow.sequence += len(payload)
        self._transmit(key, flow, start, payload, 0)

    def _transmit(
        self,
        key: FlowKey,
        flow: TargetFlow,
        start: int,
        payload: bytes,
        tries: int,
    ) -> None:
        """Sends data; repeats it until the client has acknowledged it."""
        end = (start + len(payload)) % (1 << 32)
        is_taken = tries and (flow.acknowledged - end) % (1 << 32) < 1 << 31
        is_over = self.flows.get(key) is not flow or tries > RETRANSMITS_MAX
        if is_taken or is_over or self.is_hung:
            return
        self._answer(key, flow, ACK, start, payload)
        delay_s = min(RETRANSMIT_MIN_S * 2**tries, RETRANSMIT_MAX_S)

        def again() -> None:
            with self._lock:
                self._transmit(key, flow, start, payload, tries + 1)

        timer = Timer(delay_s, again)
        timer.daemon = True
        timer.start()

    def _answer(
        self,
        key: FlowKey,
        flow: TargetFlow,
        flags: int,
        sequence: int,
        payload: bytes = b'',
    ) -> None:
        if flags & RST:
            self.reset_keys.add(key)
        client, route = key
        packet = Packet(flags, route, client, sequence, flow.expected, payload)
        self._send(packet.encode())

    def _send(self, octets: bytes) -> None:
        try:
            self._packets.sendto(octets, self.settings.outbound)
        except OSError:
            return
