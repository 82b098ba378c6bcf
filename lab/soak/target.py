"""Simulated targets of the soak, with heartbeats, crashes and drains."""

import json
from collections.abc import Callable
from math import inf
from random import Random
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from time import time
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.exchange import (
    HttpClientRequest,
    HttpClientResponse,
    HttpExchange,
)
from cumindrift.platform.packet import build_reset, read_from_client
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child
from lab.soak.promise import Ledger
from lab.soak.topology import (
    CONTROL_PORT,
    DRAIN_S,
    EVACUATE_S,
    HEARTBEAT_S,
    MANIFEST_S,
    OUTBOUND_PORT,
    SYN_REPEATS_S,
    TARGET_PORT,
)
from lab.soak.wire import (
    ACK,
    FIN,
    HEADER_BYTES,
    SYN,
    bounce,
    has_valid_checksum,
    make_packet,
    response_to,
)

_MS_PER_S = 1000
# The route of the soak has no idempotent requests, so an ejected target gets a
# trial this long after an ejection at the earliest.
TRIAL_GAP_S = 2.0
STATUS_OK = 200


@define(slots=True, eq=False)
class TargetFlow:
    """State of a flow at its target; `responses` is by request sequence."""

    sequence: int
    opened_s: float = 0.0
    is_open: bool = False
    responses: dict[int, bytes] = field(factory=dict)


class SoakTarget(Child):
    """The target of one agent; each start is a new incarnation."""

    def __init__(
        self,
        ip: str,
        service: str,
        data_centre: str,
        random: Random,
        ledger: Ledger,
        clock: Callable[[], float],
    ) -> None:
        """Starts the first incarnation."""
        super().__init__(channel=f'target-{ip}')
        self.ip = ip
        self.service = service
        self.data_centre = data_centre
        self.flows: dict[bytes, TargetFlow] = {}
        self.is_running = False
        self.is_draining = False
        # When the agent first acknowledged the draining state; 0 if it has not.
        self.drained_s = 0.0
        # When the evacuation of its data centre began; 0 if there is none.
        self.evacuated_s = 0.0
        # When a manifest routed its service address elsewhere; 0 if none has,
        # or if a fault excuses balancers that have not heard of it.
        self.unrouted_s = 0.0
        # When it began to fail; 0 while it answers.
        self.failing_since_s = 0.0
        # When it ceased to fail; 0 once a new flow was answered since.
        self.recovered_s = 0.0
        # From when on only trials may reach it while it fails; 0 if unknown.
        self.served_from_s = 0.0
        # How long it takes to answer a request.
        self.delay_s = 0.0
        self._reset_s = -inf
        # Packets that are handled later, in the order of their times.
        self._delayed: list[tuple[float, Any]] = []
        self.last_ack_s = 0.0
        # Wall-clock error of the start time that the next incarnation reports.
        self.clock_step_s = 0.0
        self._random = random
        self._ledger = ledger
        self._clock = clock
        self.incarnation = 0
        self._next_heartbeat_s = 0.0
        self._port: DatagramPort | None = None
        self._listener: socket | None = None
        self.start_target()

    def start_target(self) -> None:
        """Starts a new incarnation without any flows, unless one runs."""
        if self.is_running:
            return
        self.incarnation += 1
        self._sequence = 0
        self._started_ms = int((time() + self.clock_step_s) * _MS_PER_S)
        self.is_running = True
        self.is_draining = False
        self.drained_s = 0.0
        self.failing_since_s = 0.0
        self.recovered_s = 0.0
        self._next_heartbeat_s = 0.0
        endpoint = Endpoint(self.ip, TARGET_PORT)
        self._port = DatagramPort(endpoint, self._receive).register(self)
        self._listener = socket(AF_INET, SOCK_STREAM)
        self._listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._listener.bind(endpoint.sockaddr())
        self._listener.listen(64)

    def crash(self) -> None:
        """Stops immediately and discards all flows."""
        self.is_running = False
        self.flows.clear()
        self._delayed.clear()
        if self._port is not None:
            self._port.release()
            self._port.unregister()
            self._port = None
            self._listener.close()

    def begin_failing(self) -> None:
        """Resets each flow from now on when data comes."""
        self.failing_since_s = self._clock()
        self.recovered_s = 0.0

    def end_failing(self) -> None:
        """Answers again, unless it has been restarted since."""
        if self.failing_since_s:
            self.failing_since_s = 0.0
            self.recovered_s = self._clock()

    def end_delay(self) -> None:
        """Answers at once again."""
        self.delay_s = 0.0
        if not self.failing_since_s:
            self.recovered_s = self._clock()

    def release(self) -> None:
        """Closes the sockets."""
        self.crash()

    def tick(self) -> None:
        """Sends a heartbeat and the late answers that are due."""
        now_s = self._clock()
        while self._delayed and self._delayed[0][0] <= now_s:
            _due_s, packet = self._delayed.pop(0)
            flow = self.flows.get(packet.flow_key)
            if flow is not None:
                self._respond(packet, flow)
        if self.is_running and now_s >= self._next_heartbeat_s:
            self._next_heartbeat_s = now_s + HEARTBEAT_S * self._random.uniform(
                0.9, 1.1
            )
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        self._sequence += 1
        is_draining = self.is_draining
        incarnation = self.incarnation
        body = {
            'service': self.service,
            'address': f'{self.ip}:{TARGET_PORT}',
            'zone': self.data_centre,
            'version': 'v1',
            'max_concurrency': 4,
            'state': 'draining' if is_draining else 'ready',
            'warmup_left_ms': 0,
            'sequence': self._sequence,
            'born': self._started_ms,
        }

        def on_end(answer: HttpClientResponse | None, _was_sent: bool) -> None:
            is_taken = answer is not None and answer.status == STATUS_OK
            if is_taken and incarnation == self.incarnation:
                self.last_ack_s = self._clock()
                if is_draining and not self.drained_s:
                    self.drained_s = self.last_ack_s

        exchange = HttpExchange(
            f'heartbeat-{self.ip}-{incarnation}-{self._sequence}',
            Endpoint(self.ip, CONTROL_PORT),
            HttpClientRequest(
                'PUT',
                f'/cumindrift/instances/i-{self.ip}-{incarnation}',
                {'Content-Type': 'application/json'},
                json.dumps(body).encode(),
            ),
            on_end,
        )
        exchange.register(self)
        exchange.start()

    def _receive(self, octets: bytes, _pair: Any) -> None:
        self.receive_packet(octets)

    def receive_packet(self, octets: bytes) -> None:
        """Handles a packet that the agent forwarded."""
        packet = read_from_client(octets)
        if packet is None or not has_valid_checksum(octets):
            self._ledger.breach('bytes', self._clock(), f'at target {self.ip}')
            return
        key = packet.flow_key
        flow = self.flows.get(key)
        if packet.is_syn:
            self._on_syn(packet, flow)
        elif flow is None:
            self._send(bounce(octets))
        elif flow.is_open or packet.acknowledged == flow.sequence + 1:
            flow.is_open = True
            self._on_data(packet, flow)
        else:
            self._send(bounce(octets))

    def _on_syn(self, packet: Any, flow: TargetFlow | None) -> None:
        now_s = self._clock()
        if flow is None:
            flow = TargetFlow(self._random.getrandbits(31), now_s)
            self.flows[packet.flow_key] = flow
            if self.drained_s and now_s - self.drained_s > DRAIN_S:
                self._ledger.breach('drain', now_s, self.ip)
            if self.evacuated_s and now_s - self.evacuated_s > EVACUATE_S:
                self._ledger.breach('evacuate', now_s, self.ip)
            unrouted_s = now_s - self.unrouted_s
            if self.unrouted_s and unrouted_s > MANIFEST_S + SYN_REPEATS_S:
                self._ledger.breach('manifest', now_s, self.ip)
        self._answer(packet, SYN | ACK, flow.sequence, packet.sequence + 1)

    def _on_data(self, packet: Any, flow: TargetFlow) -> None:
        if packet.payload_bytes:
            if self.failing_since_s:
                self._reset(packet, flow)
                return
            if self.delay_s:
                self._delayed.append((self._clock() + self.delay_s, packet))
                self._delayed.sort(key=lambda each: each[0])
            else:
                self._respond(packet, flow)
        if packet.is_fin:
            self._answer(packet, ACK | FIN, packet.acknowledged, 0)
            self.flows.pop(packet.flow_key, None)

    def _respond(self, packet: Any, flow: TargetFlow) -> None:
        payload = packet.octets[HEADER_BYTES:]
        if packet.sequence not in flow.responses:
            flow.responses[packet.sequence] = response_to(payload)
        body = flow.responses[packet.sequence]
        acknowledged = packet.sequence + packet.payload_bytes
        self._answer(packet, ACK, packet.acknowledged, acknowledged, body)
        if self.recovered_s and flow.opened_s > self.recovered_s:
            self.recovered_s = 0.0
            self._ledger.count('recovered targets that served again')

    def _reset(self, packet: Any, flow: TargetFlow) -> None:
        """Resets a flow; later than `served_from_s`, trials only get here."""
        now_s = self._clock()
        key = packet.flow_key
        self.flows.pop(key)
        self._send(build_reset(key, packet.acknowledged))
        self._ledger.count('flows reset by failing targets')
        if not self.served_from_s or flow.opened_s <= self.served_from_s:
            return
        self._ledger.count('trials reset by failing targets')
        if now_s - self._reset_s < TRIAL_GAP_S:
            detail = f'{self.ip} fails, but gets more than trials'
            self._ledger.breach('served', now_s, detail)
        self._reset_s = now_s

    def _answer(
        self,
        packet: Any,
        flags: int,
        sequence: int,
        acknowledged: int,
        payload: bytes = b'',
    ) -> None:
        key = packet.flow_key
        client = (key[8:12], int.from_bytes(key[:2]))
        self._send(
            make_packet(
                client,
                flags,
                sequence,
                acknowledged,
                payload,
                is_answer=True,
            ),
        )

    def _send(self, octets: bytes) -> None:
        if self._port is not None:
            self._port.send(octets, (self.ip, OUTBOUND_PORT))
