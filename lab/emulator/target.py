"""A model of a target: slots, a queue, crashes, and work that takes time."""

from collections import deque
from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.platform.packet import read_from_client
from cumindrift.steering.agent.heartbeat import Heartbeat
from cumindrift.steering.packet import FlowPacket
from lab.emulator.ledger import Ledger, RequestRecord
from lab.network import VirtualNetwork
from lab.soak.wire import ACK, FIN, HEADER_BYTES, RST, SYN, bounce, make_packet

SERVICE = 'emulated'
HEARTBEAT_S = 0.77
# A request is a number and its work in microseconds; a response begins so.
SERVED, SHED = b'served', b'shed..'
NUMBER_BYTES = 8


@define(slots=True, eq=False)
class TargetFlow:
    """A flow at its target."""

    sequence: int
    is_open: bool = False
    # The client's sequence number of the request at work, and its response.
    request_sequence: int = -1
    response: bytes = b''


@define(slots=True, eq=False)
class EmulatedTarget:
    """A server behind an agent; `answer` sends its packets to the agent."""

    ip: str
    data_centre: str
    slots: int
    queue_max: int
    speed: float
    network: VirtualNetwork
    random: Random
    ledger: Ledger
    records: dict[int, RequestRecord]
    answer: Callable[[bytes], None]
    incarnation: int = 1
    is_up: bool = True
    is_draining: bool = False
    # Whether it accepts flows and resets them when data comes.
    is_failing: bool = False
    slowness: float = 1.0
    # When it may take no SYN any more; 0 while it may.
    closed_from_s: float = 0.0
    flows: dict[bytes, TargetFlow] = field(factory=dict)
    _running: set[bytes] = field(factory=set)
    _queue: deque[tuple[bytes, int, float]] = field(factory=deque)
    _beat_sequence: int = 0

    def heartbeat(self) -> Heartbeat:
        """Returns the next heartbeat."""
        self._beat_sequence += 1
        return Heartbeat(
            target_id=f'i-{self.ip}-{self.incarnation}',
            service=SERVICE,
            packets=Endpoint(self.ip, 8165),
            is_draining=self.is_draining,
            slots=self.slots,
            cold_s=0.0,
            sequence=self._beat_sequence,
            incarnation=self.incarnation,
        )

    def crash(self) -> None:
        """Ends the process: flows and requests are lost."""
        self.is_up = False
        self.flows.clear()
        self._running.clear()
        self._queue.clear()

    def restart(self) -> None:
        """Starts a new incarnation, unless another fault's end has done so."""
        if self.is_up:
            return
        self.incarnation = int(self.network.now_s * 1000) + 10_000
        self._beat_sequence = 0
        self.is_up = True

    def drain(self, closed_from_s: float) -> None:
        """Announces that it leaves; after the bound it takes no SYN."""
        self.is_draining = True
        self.closed_from_s = closed_from_s

    def replace(self) -> None:
        """Ends after a drain; another one starts in its place."""
        self.crash()
        self.is_draining = False
        self.closed_from_s = 0.0
        self.restart()

    def stop_failing(self) -> None:
        """Answers requests again."""
        self.is_failing = False

    def recover_speed(self) -> None:
        """Works at its usual speed again."""
        self.slowness = 1.0

    def receive(self, octets: bytes) -> None:
        """Handles a packet that the agent delivers."""
        packet = read_from_client(octets)
        if packet is None:
            return
        if not self.is_up:
            if not packet.is_reset:
                self._send(packet.flow_key, RST, packet.acknowledged, 0)
            return
        flow = self.flows.get(packet.flow_key)
        if packet.is_syn:
            self._on_syn(packet, flow)
        elif flow is None:
            self.answer(bounce(octets))
        elif flow.is_open or packet.acknowledged == flow.sequence + 1:
            flow.is_open = True
            self._on_later_packet(packet, flow)
        else:
            self.answer(bounce(octets))

    def _on_syn(self, packet: FlowPacket, flow: TargetFlow | None) -> None:
        now_s = self.network.now_s
        if flow is None:
            flow = TargetFlow(self.random.getrandbits(31))
            self.flows[packet.flow_key] = flow
            if self.closed_from_s and now_s > self.closed_from_s:
                self.ledger.breach('closed', now_s, self.ip)
        acknowledged = packet.sequence + 1
        self._send(packet.flow_key, SYN | ACK, flow.sequence, acknowledged)

    def _on_later_packet(self, packet: FlowPacket, flow: TargetFlow) -> None:
        key = packet.flow_key
        if packet.is_reset or packet.is_fin:
            self.flows.pop(key)
            self._forget_queued(key)
            if packet.is_fin:
                self._send(key, ACK | FIN, packet.acknowledged, 0)
            return
        if not packet.payload_bytes:
            return
        if self.is_failing:
            self.flows.pop(key)
            self._forget_queued(key)
            self._send(key, RST, packet.acknowledged, 0)
            return
        if packet.sequence <= flow.request_sequence:
            # A retransmission, which may also arrive after later packets.
            if flow.response:
                self._respond(key, flow)
            return
        flow.request_sequence = packet.sequence
        flow.response = b''
        content = packet.octets[HEADER_BYTES:]
        number = int.from_bytes(content[:NUMBER_BYTES])
        work_s = int.from_bytes(content[NUMBER_BYTES:]) / 1e6
        self._accept(key, number, work_s)

    def _accept(self, key: bytes, number: int, work_s: float) -> None:
        if len(self._running) < self.slots:
            self._run(key, number, work_s)
        elif len(self._queue) < self.queue_max:
            self._queue.append((key, number, work_s))
        else:
            self._finish(key, SHED)

    def _run(self, key: bytes, number: int, work_s: float) -> None:
        record = self.records.get(number)
        if record is not None:
            record.run_count += 1
        self._running.add(key)
        incarnation = self.incarnation
        taken_s = work_s / self.speed * self.slowness

        def end() -> None:
            if self.is_up and self.incarnation == incarnation:
                self._running.discard(key)
                self._finish(key, SERVED)
                self._run_next()

        self.network.at(self.network.now_s + taken_s, end)

    def _run_next(self) -> None:
        while self._queue and len(self._running) < self.slots:
            self._run(*self._queue.popleft())

    def _finish(self, key: bytes, response: bytes) -> None:
        flow = self.flows.get(key)
        if flow is not None:
            flow.response = response
            self._respond(key, flow)

    def _respond(self, key: bytes, flow: TargetFlow) -> None:
        self._send(key, ACK, flow.sequence + 1, 0, flow.response)

    def _forget_queued(self, key: bytes) -> None:
        self._queue = deque(each for each in self._queue if each[0] != key)

    def _send(
        self,
        key: bytes,
        flags: int,
        sequence: int,
        acknowledged: int,
        payload: bytes = b'',
    ) -> None:
        client = (key[8:12], int.from_bytes(key[:2]))
        octets = make_packet(
            client, flags, sequence, acknowledged, payload, is_answer=True
        )
        # The port of the flow's route, which `make_packet` does not vary.
        self.answer(octets[:12] + key[6:8] + octets[14:])
