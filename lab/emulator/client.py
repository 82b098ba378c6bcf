"""Clients: flows with retransmissions, time limits and retries."""

from collections.abc import Callable
from functools import partial
from random import Random
from socket import inet_aton

from attrs import define, field

from cumindrift.steering.packet import OPEN_ATTEMPT_S, SYN_COPIES_S
from lab.emulator.experiment import RequestClass
from lab.emulator.ledger import Ledger, RequestRecord
from lab.emulator.target import NUMBER_BYTES, SERVED
from lab.network import VirtualNetwork
from lab.soak.wire import ACK, FIN, RST, SYN, make_packet

RETRANSMIT_MIN_S, RETRANSMIT_MAX_S = 0.2, 1.6
# A client that keeps a flow closes it after this time without a request.
IDLE_CLOSE_S = 12.0
_FIRST_PORT, _LAST_PORT = 1024, 60_000
_FIRST_SEQUENCE = 1000
_MS_PER_S = 1000


@define(slots=True, eq=False)
class ClientFlow:
    """One flow at its client, with the attempt that uses it, if any."""

    client: tuple[bytes, int]
    service_port: bytes
    is_open: bool = False
    is_over: bool = False
    # What the client wrote before it closed a flow that is not open yet.
    unsent: bytes = b''
    sequence: int = _FIRST_SEQUENCE
    acknowledged: int = 0
    used_s: float = 0.0
    attempt: 'Attempt | None' = None

    @property
    def key(self) -> bytes:
        """Returns the flow key that the nodes use."""
        return self.packet(SYN)[12:24]

    def packet(self, flags: int, payload: bytes = b'') -> bytes:
        """Returns a packet of the client."""
        octets = make_packet(
            self.client, flags, self.sequence, self.acknowledged, payload
        )
        return octets[:18] + self.service_port + octets[20:]


@define(slots=True, eq=False)
class Attempt:
    """One attempt of a request; a retry is another one on a new flow."""

    record: RequestRecord
    payload: bytes
    is_sent: bool = False
    is_over: bool = False


@define(slots=True, eq=False)
class EmulatedClients:
    """All clients of one class, which send requests at its rate.

    `send` takes a packet to the router. Arrivals do not wait for responses,
    so an overload does not slow the clients down.
    """

    number: int
    plan: RequestClass
    load: float
    network: VirtualNetwork
    random: Random
    ledger: Ledger
    records: dict[int, RequestRecord]
    send: Callable[[bytes], None]
    # How much more than usual arrives now.
    surge: float = 1.0
    # No further request arrives.
    has_stopped: bool = False
    flows: dict[bytes, ClientFlow] = field(factory=dict)
    _idle: list[ClientFlow] = field(factory=list)
    _next_port: int = _FIRST_PORT

    @property
    def service_port(self) -> int:
        """Returns the port of the route of this class."""
        return 8000 + self.number

    def start(self) -> None:
        """Schedules the first arrival."""
        rate = self.plan.rate_per_s * self.load * self.surge
        wait_s = self.random.expovariate(rate)
        self.network.at(self.network.now_s + wait_s, self._arrive)

    def receive(self, key: bytes, octets: bytes) -> None:
        """Handles a packet that reached the client."""
        flow = self.flows.get(key)
        if flow is None or flow.is_over:
            return
        flags = octets[10]
        if flags & RST:
            self._end(flow, 'reset')
        elif flags & SYN:
            self._on_opened(flow, int.from_bytes(octets[24:28]))
        elif len(octets) > 32:
            self._on_response(flow, octets[32:])

    def _arrive(self) -> None:
        if self.has_stopped:
            return
        self.start()
        number = len(self.records) + 1
        record = RequestRecord(
            number,
            self.plan.name,
            self.network.now_s,
            self.plan.target_latency_ms / _MS_PER_S,
        )
        self.records[number] = record
        self.ledger.records.append(record)
        work_us = int(self.plan.work_ms * 1000 * self._work_factor())
        payload = number.to_bytes(NUMBER_BYTES) + work_us.to_bytes(8)
        self._attempt(record, payload, may_reuse=self.plan.is_long)

    def _work_factor(self) -> float:
        """Returns a factor of mean 1 with a tail of long requests."""
        return self.random.lognormvariate(-0.125, 0.5)

    def _attempt(
        self, record: RequestRecord, payload: bytes, *, may_reuse: bool
    ) -> None:
        now_s = self.network.now_s
        record.attempt_count += 1
        attempt = Attempt(record, payload)
        flow = self._idle_flow() if may_reuse else None
        if flow is None:
            flow = self._open(attempt)
        else:
            flow.attempt = attempt
            self._send_request(flow, attempt, RETRANSMIT_MIN_S)
        limit_s = self.plan.time_limit_ms / _MS_PER_S
        self.network.at(now_s + limit_s, lambda: self._time_out(flow, attempt))

    def _idle_flow(self) -> ClientFlow | None:
        now_s = self.network.now_s
        while self._idle:
            flow = self._idle.pop(0)
            if now_s - flow.used_s < IDLE_CLOSE_S:
                return flow
            self._close(flow)
        return None

    def _open(self, attempt: Attempt) -> ClientFlow:
        now_s = self.network.now_s
        port = self._next_port
        self._next_port = port + 1 if port < _LAST_PORT else _FIRST_PORT
        ip = inet_aton(f'100.64.{self.number}.{port % 200 + 1}')
        flow = ClientFlow((ip, port), self.service_port.to_bytes(2))
        flow.attempt = attempt
        self.flows[flow.key] = flow
        self.ledger.counts['flows tried'] += 1
        self.send(flow.packet(SYN))
        for delay_s in SYN_COPIES_S:
            self.network.at(now_s + delay_s, partial(self._copy_syn, flow))
        self.network.at(now_s + OPEN_ATTEMPT_S, lambda: self._not_opened(flow))
        return flow

    def _copy_syn(self, flow: ClientFlow) -> None:
        if not flow.is_open and not flow.is_over:
            self.send(flow.packet(SYN))

    def _not_opened(self, flow: ClientFlow) -> None:
        if not flow.is_open and not flow.is_over:
            self._end(flow, 'not opened')

    def _on_opened(self, flow: ClientFlow, sequence: int) -> None:
        if flow.is_open:
            return
        flow.is_open = True
        flow.sequence += 1
        flow.acknowledged = sequence + 1
        if flow.attempt is not None:
            self._send_request(flow, flow.attempt, RETRANSMIT_MIN_S)
        elif flow.unsent:
            self.send(flow.packet(ACK, flow.unsent))
            flow.sequence += len(flow.unsent)
            self._close(flow)

    def _send_request(
        self, flow: ClientFlow, attempt: Attempt, wait_s: float
    ) -> None:
        if attempt.is_over or flow.is_over:
            return
        attempt.is_sent = True
        self.send(flow.packet(ACK, attempt.payload))
        later_s = min(wait_s * 2, RETRANSMIT_MAX_S)
        self.network.at(
            self.network.now_s + wait_s,
            lambda: self._send_request(flow, attempt, later_s),
        )

    def _on_response(self, flow: ClientFlow, payload: bytes) -> None:
        attempt = flow.attempt
        if attempt is None:
            return
        flow.attempt = None
        flow.sequence += len(attempt.payload)
        flow.acknowledged += len(payload)
        flow.used_s = self.network.now_s
        attempt.is_over = True
        if payload.startswith(SERVED):
            attempt.record.is_served = True
            attempt.record.ended_s = self.network.now_s
        if self.plan.is_long:
            self._idle.append(flow)
        else:
            self._close(flow)
        if not payload.startswith(SERVED):
            self._retry(attempt, 'shed', has_run=False)

    def _time_out(self, flow: ClientFlow, attempt: Attempt) -> None:
        """Gives an attempt up: the client closes the flow.

        If the flow opens later, its first bytes are the request, and the end
        follows: like any stream, it delivers what was written before. A
        request that must not run twice is withdrawn instead.
        """
        if attempt.is_over:
            return
        attempt.is_over = True
        flow.attempt = None
        if flow.is_open:
            self._close(flow)
        elif self.plan.is_idempotent:
            flow.unsent = attempt.payload
        self._retry(attempt, 'time limit', has_run=attempt.is_sent)

    def _close(self, flow: ClientFlow) -> None:
        if not flow.is_over:
            flow.is_over = True
            self.send(flow.packet(ACK | FIN))
            self._forget(flow)

    def _end(self, flow: ClientFlow, reason: str) -> None:
        """Handles the end of a flow that the client did not choose."""
        flow.is_over = True
        self._forget(flow)
        attempt = flow.attempt
        if attempt is not None and not attempt.is_over:
            attempt.is_over = True
            self._retry(attempt, reason, has_run=attempt.is_sent)

    def _forget(self, flow: ClientFlow) -> None:
        self.flows.pop(flow.key, None)
        if flow in self._idle:
            self._idle.remove(flow)

    def _retry(self, attempt: Attempt, reason: str, *, has_run: bool) -> None:
        record = attempt.record
        record.reason = reason
        self.ledger.counts[reason] += 1
        may_run_again = self.plan.is_idempotent or not has_run
        if may_run_again and record.attempt_count <= self.plan.retries:
            self._attempt(record, attempt.payload, may_reuse=False)
