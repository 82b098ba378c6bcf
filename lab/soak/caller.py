"""Clients of a soak: flows that open, ask, wait, ask again and close."""

from collections.abc import Callable
from random import Random
from socket import inet_aton
from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child
from lab.soak.place import PACKETS_PORT
from lab.soak.promise import Ledger
from lab.soak.wire import (
    ACK,
    FIN,
    HEADER_BYTES,
    KEY_AT,
    RST,
    SYN,
    answer_to,
    is_genuine,
    make_packet,
)

# When copies of a SYN follow the first; the last never comes.
SYN_COPIES_S = (0.2, 0.6, 9.0)
OPEN_GIVEN_UP_S = 1.4
RETRANSMIT_MIN_S, RETRANSMIT_MAX_S = 0.2, 1.6
REQUEST_GIVEN_UP_S = 8.0
FLOWS_AT_ONCE = 4
# How often a client that has room opens a flow, of its ticks.
OPEN_SHARE = 0.1
_FIRST_PORT = 1024


@define(slots=True, eq=False)
class Call:
    """One flow as its client has it."""

    port: int
    opened_s: float
    ends_s: float
    sequence: int = 1000
    acknowledged: int = 0
    is_open: bool = False
    copies: int = 0
    request: bytes = b''
    asked_s: float = 0.0
    sent_s: float = 0.0
    wait_s: float = RETRANSMIT_MIN_S
    next_s: float = 0.0
    has_asked: bool = False


class Caller(Child):
    """One client with a few flows at a time, some short and some long."""

    def __init__(
        self,
        ip: str,
        random: Random,
        ledger: Ledger,
        clock: Callable[[], float],
        send: Callable[[bytes], None],
        find_holder: Callable[[bytes], str],
    ) -> None:
        """Binds where its answers arrive."""
        super().__init__(channel=f'caller-{ip}')
        self.ip = ip
        # When nothing is done to the system any more; 0 for not yet.
        self.calm_s = 0.0
        self.calls: dict[int, Call] = {}
        self._octets = inet_aton(ip)
        self._random = random
        self._ledger = ledger
        self._clock = clock
        self._send = send
        self._find_holder = find_holder
        self._next_port = _FIRST_PORT
        self._number = 0
        endpoint = Endpoint(ip, PACKETS_PORT)
        self._port = DatagramPort(endpoint, self._receive).register(self)

    def release(self) -> None:
        """Closes the socket."""
        self._port.release()

    def tick(self) -> None:
        """Opens flows, asks, and sends again what was not answered."""
        now_s = self._clock()
        if (
            len(self.calls) < FLOWS_AT_ONCE
            and self._random.random() < OPEN_SHARE
        ):
            self._open(now_s)
        for call in list(self.calls.values()):
            if call.is_open:
                self._go_on(call, now_s)
            else:
                self._go_on_opening(call, now_s)

    def key_of(self, call: Call) -> bytes:
        """Returns the flow's key, as the nodes know it."""
        return self._packet(call, SYN)[KEY_AT]

    def _open(self, now_s: float) -> None:
        life_s = self._random.choice((0.0, 0.5, 3.0, 10.0))
        call = Call(self._next_port, now_s, now_s + life_s)
        self._next_port += 1
        self.calls[call.port] = call
        self._ledger.count('flows tried')
        self._send(self._packet(call, SYN))

    def _go_on_opening(self, call: Call, now_s: float) -> None:
        waited_s = now_s - call.opened_s
        if waited_s >= OPEN_GIVEN_UP_S:
            self._fail(call, 'flows not opened in time', now_s)
        elif waited_s >= SYN_COPIES_S[call.copies]:
            call.copies += 1
            call.acknowledged = call.copies
            self._send(self._packet(call, SYN))

    def _go_on(self, call: Call, now_s: float) -> None:
        if call.request:
            self._wait_for_answer(call, now_s)
        elif now_s >= call.ends_s and call.has_asked:
            self._send(self._packet(call, ACK | FIN))
            self.calls.pop(call.port)
            self._ledger.count('flows closed')
        elif now_s >= call.next_s:
            self._ask(call, now_s)

    def _wait_for_answer(self, call: Call, now_s: float) -> None:
        if now_s - call.asked_s >= REQUEST_GIVEN_UP_S:
            self._fail(call, 'requests without an answer', now_s)
        elif now_s - call.sent_s >= call.wait_s:
            call.wait_s = min(call.wait_s * 2, RETRANSMIT_MAX_S)
            self._send_request(call, now_s)

    def _ask(self, call: Call, now_s: float) -> None:
        self._number += 1
        call.has_asked = True
        call.request = b'%s%d' % (self._mark_of(call), self._number)
        call.asked_s = now_s
        call.wait_s = RETRANSMIT_MIN_S
        self._send_request(call, now_s)

    def _mark_of(self, call: Call) -> bytes:
        """Returns what only this flow's requests begin with."""
        return f'{self.ip} {call.port} '.encode()

    def _send_request(self, call: Call, now_s: float) -> None:
        call.sent_s = now_s
        self._send(self._packet(call, ACK, call.request))

    def _packet(self, call: Call, flags: int, payload: bytes = b'') -> bytes:
        return make_packet(
            (self._octets, call.port),
            flags,
            call.sequence,
            call.acknowledged,
            payload,
        )

    def _receive(self, octets: bytes, _pair: Any) -> None:
        self.take(octets)

    def take(self, octets: bytes) -> None:
        """Takes a packet that came for this client."""
        now_s = self._clock()
        is_reset = octets[10] & RST and not any(octets[4:8])
        if not is_reset and not is_genuine(octets):
            self._ledger.breach('bytes', now_s, f'at client {self.ip}')
            return
        call = self.calls.get(int.from_bytes(octets[18:20]))
        if call is None:
            self._ledger.count('packets for flows that are over')
        elif is_reset:
            self._take_reset(call, now_s)
        else:
            self._take_packet(call, octets, now_s)

    def _take_packet(self, call: Call, octets: bytes, now_s: float) -> None:
        if octets[10] & SYN:
            self._take_open(call, octets)
        elif call.is_open and len(octets) > HEADER_BYTES:
            self._take_answer(call, octets[HEADER_BYTES:], now_s)

    def _take_open(self, call: Call, octets: bytes) -> None:
        if not call.is_open:
            call.is_open = True
            call.sequence += 1
            call.acknowledged = int.from_bytes(octets[24:28]) + 1
            self._ledger.count('flows opened')

    def _take_answer(self, call: Call, body: bytes, now_s: float) -> None:
        if not call.request or body != answer_to(call.request):
            # A copy of an earlier answer, or one for another request.
            if not body.startswith(answer_to(self._mark_of(call))):
                self._ledger.breach('mixed', now_s, repr(body))
            return
        self._ledger.count('requests done')
        call.sequence += len(call.request)
        call.request = b''
        call.next_s = now_s + self._random.uniform(0.05, 0.6)

    def _take_reset(self, call: Call, now_s: float) -> None:
        self.calls.pop(call.port)
        if not call.is_open:
            self._fail(call, 'flows refused', now_s)
            return
        holder = self._find_holder(self.key_of(call))
        if holder:
            detail = f'{self.ip}:{call.port} was reset, {holder} holds it'
            self._ledger.breach('flow', now_s, detail)
        self._ledger.count('flows reset')

    def _fail(self, call: Call, what: str, now_s: float) -> None:
        self.calls.pop(call.port, None)
        self._ledger.count(what)
        if self.calm_s and call.opened_s > self.calm_s:
            detail = f'{self.ip}:{call.port}, {what}'
            self._ledger.breach('recover', now_s, detail)
        elif self.calm_s and call.asked_s > self.calm_s:
            holder = self._find_holder(self.key_of(call))
            if holder:
                detail = f'{self.ip}:{call.port} is held by {holder}, {what}'
                self._ledger.breach('found', now_s, detail)
