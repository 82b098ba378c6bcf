"""UDP ports that receive many datagrams per readiness event."""

from collections.abc import Callable
from itertools import count
from socket import AF_INET, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET, socket

from circuits import handler
from circuits.core.pollers import BasePoller

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.metric import DROPS, PACKETS
from cumindrift.supervision import Child

# Datagrams received per readiness event before other events and timers run.
DRAIN_MAX = 256
DATAGRAM_BYTES_MAX = 65535
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

_SERIALS = count()

Receiver = Callable[[bytes, tuple[str, int]], None]


class DatagramPort(Child):
    """Owns a UDP socket; base of all ports for packets and messages.

    Datagrams are passed to `receive` directly: a circuits event for each one
    would cost more time than a balancer needs to process a packet.
    """

    def __init__(self, endpoint: Endpoint, receive: Receiver) -> None:
        """Binds the socket; raises OSError if the address is in use."""
        # The serial number makes the channel unique, also for port 0.
        super().__init__(channel=f'port-{endpoint}-{next(_SERIALS)}')
        self._receive = receive
        self._label = str(endpoint)
        self._sock = socket(AF_INET, SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self._sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
        try:
            self._sock.bind(endpoint.sockaddr())
        except OSError:
            self._sock.close()
            raise
        self._poller: BasePoller | None = None
        self._received = PACKETS.labels('received')
        self._sent = PACKETS.labels('sent')

    @property
    def endpoint(self) -> Endpoint:
        """Returns the bound address, with the port that the kernel chose."""
        return Endpoint(*self._sock.getsockname())

    def send(self, datagram: bytes, pair: tuple[str, int]) -> bool:
        """Sends one datagram; drops and counts it if the buffer is full."""
        try:
            self._sock.sendto(datagram, pair)
        except OSError:
            DROPS.labels(ResultCode.SEND_BUFFER_FULL.name).inc()
            return False
        self._sent.inc()
        return True

    def release(self) -> None:
        """Closes the socket, so that its address can be bound again."""
        if self._poller is not None:
            self._poller.discard(self._sock)
            self._poller = None
        self._sock.close()

    def drain(self) -> int:
        """Receives up to DRAIN_MAX waiting datagrams; returns how many."""
        receive = self._receive
        receive_from = self._sock.recvfrom
        for taken_count in range(DRAIN_MAX):
            try:
                datagram, pair = receive_from(DATAGRAM_BYTES_MAX)
            except BlockingIOError:
                self._received.inc(taken_count)
                return taken_count
            except ConnectionError:
                # Reports that an earlier send reached a closed port; the
                # receive queue is not affected.
                continue
            receive(datagram, pair)
            if self._poller is None:
                # The receiver has closed this port.
                self._received.inc(taken_count + 1)
                return taken_count + 1
        self._received.inc(DRAIN_MAX)
        return DRAIN_MAX

    @handler('registered', channel='*')
    def _on_registered(self, component: object, _manager: object) -> None:
        if self._poller is None and component in {self, self.root}:
            self._poller = find_poller(self)
            self._poller.addReader(self, self._sock)

    @handler('started', channel='*')
    def _on_started(self, _component: object) -> None:
        if self._poller is None:
            self._poller = find_poller(self)
            self._poller.addReader(self, self._sock)

    @handler('_read')
    def _on_read(self, _sock: object) -> None:
        if self._poller is not None:
            self.drain()


def find_poller(component: Child) -> BasePoller:
    """Returns the poller of the event loop; raises LookupError if none."""
    for candidate in component.root.components:
        if isinstance(candidate, BasePoller):
            return candidate
    raise LookupError('no poller is registered at the root')
