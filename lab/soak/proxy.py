"""A fault-injecting TCP proxy between one node and the store."""

from collections.abc import Callable
from socket import (
    AF_INET,
    SO_LINGER,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    create_connection,
    socket,
)
from struct import pack
from typing import Any

from circuits import Event, handler

from cumindrift.address import Endpoint
from cumindrift.port import find_poller
from cumindrift.registry import Registry
from cumindrift.supervision import Child
from cumindrift.timer import SteadyTimer

RECEIVE_BYTES = 1024 * 1024
CONNECT_S = 1.0
DELAY_S = 0.4
REFUSAL = (
    b'HTTP/1.1 429 Too Many Requests\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_LINGER_RESET = pack('ii', 1, 0)

# Handlers of received data, by mode. Arguments: the proxy, the data, the socket
# to forward it to, and whether it comes from the store.
proxy_modes: Registry[Callable[..., None]] = Registry('proxy mode')


class delay_elapsed(Event):  # noqa: N801 - names the circuits event
    """Fired when delayed data is to be forwarded."""


class StoreProxy(Child):
    """Forwards connections to the store; `mode` selects the fault."""

    def __init__(self, listen: Endpoint, store: Endpoint) -> None:
        """Binds the listening socket."""
        super().__init__(channel=f'proxy-{listen}')
        self.mode = 'well'
        self._store = store
        self._peers: dict[socket, socket] = {}
        # Sockets connected to the store; the other ones lead to the node.
        self._upstream: set[socket] = set()
        # Sockets whose data is discarded, and whose end the other side is not
        # told of.
        self._muted: set[socket] = set()
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(listen.sockaddr())
        self._sock.listen(64)

    def release(self) -> None:
        """Closes every socket."""
        self.reset_all()
        self._sock.close()

    def reset_all(self) -> None:
        """Resets every connection."""
        for sock in list(self._peers):
            if sock in self._peers:
                sock.setsockopt(SOL_SOCKET, SO_LINGER, _LINGER_RESET)
                self._close_pair(sock)

    def mute_all(self) -> None:
        """Discards what comes on the open connections; new ones work."""
        self._muted.update(self._peers)

    def call_later(self, call: Callable[[], None]) -> None:
        """Calls `call` once after DELAY_S."""
        timer = SteadyTimer(DELAY_S, delay_elapsed(call), self.channel)
        timer.register(self)

    def send(self, sock: socket, octets: bytes) -> None:
        """Sends data, or closes the connection pair if sending fails."""
        try:
            sock.sendall(octets)
        except OSError:
            self._close_pair(sock)

    def answer(self, upstream: socket, octets: bytes) -> None:
        """Answers in place of the store, then closes the connection pair."""
        sock = self._peers.get(upstream)
        if sock is not None:
            self.send(sock, octets)
            self._close_pair(upstream)

    @handler('delay_elapsed')
    def _on_later(self, call: Callable[[], None]) -> None:
        call()

    @handler('started', channel='*')
    def _on_started(self, *_details: Any) -> None:
        find_poller(self).addReader(self, self._sock)

    @handler('_read')
    def _on_read(self, sock: socket) -> None:
        if sock is self._sock:
            self._accept()
            return
        peer = self._peers.get(sock)
        if peer is None:
            return
        try:
            octets = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            octets = b''
        if octets:
            self._pass_on(sock, peer, octets)
        elif self.mode in {'well', 'delayed'} and sock not in self._muted:
            self._close_pair(sock)
        else:
            find_poller(self).removeReader(sock)

    def _pass_on(self, sock: socket, peer: socket, octets: bytes) -> None:
        if sock not in self._muted:
            is_answer = sock in self._upstream
            proxy_modes.get(self.mode)(self, octets, peer, is_answer)

    @handler('_disconnect', '_error')
    def _on_broken(self, sock: socket, *_details: Any) -> None:
        self._close_pair(sock)

    def _accept(self) -> None:
        try:
            sock, _pair = self._sock.accept()
            peer = create_connection(self._store.sockaddr(), CONNECT_S)
        except OSError:
            return
        poller = find_poller(self)
        for each, other in ((sock, peer), (peer, sock)):
            each.setblocking(False)
            self._peers[each] = other
            poller.addReader(self, each)
        self._upstream.add(peer)

    def _close_pair(self, sock: socket) -> None:
        peer = self._peers.pop(sock, None)
        self._upstream.discard(sock)
        self._muted.discard(sock)
        if peer is None:
            return
        find_poller(self).discard(sock)
        sock.close()
        self._close_pair(peer)


@proxy_modes.register('well')
def forward(
    proxy: StoreProxy,
    octets: bytes,
    peer: socket,
    is_answer: bool,
) -> None:
    """Forwards everything."""
    proxy.send(peer, octets)


@proxy_modes.register('silent')
def drop_all(
    proxy: StoreProxy,
    octets: bytes,
    peer: socket,
    is_answer: bool,
) -> None:
    """Discards all data and keeps the connection open."""


@proxy_modes.register('one-way')
def drop_responses(
    proxy: StoreProxy,
    octets: bytes,
    peer: socket,
    is_answer: bool,
) -> None:
    """Forwards requests and discards responses."""
    if not is_answer:
        proxy.send(peer, octets)


@proxy_modes.register('delayed')
def forward_delayed(
    proxy: StoreProxy,
    octets: bytes,
    peer: socket,
    is_answer: bool,
) -> None:
    """Forwards everything after DELAY_S."""
    proxy.call_later(lambda: proxy.send(peer, octets))


@proxy_modes.register('refusing')
def refuse_requests(
    proxy: StoreProxy,
    octets: bytes,
    peer: socket,
    is_answer: bool,
) -> None:
    """Answers requests with 429 and discards the store's responses."""
    if not is_answer:
        proxy.answer(peer, REFUSAL)
