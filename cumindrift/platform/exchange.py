"""One HTTP/1.1 exchange over a socket that never makes the loop wait."""

from collections.abc import Callable
from errno import EINPROGRESS
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)
from typing import Any

import h11
from circuits import handler

from cumindrift.address import Endpoint
from cumindrift.platform.http import PlainAnswer, PlainRequest
from cumindrift.platform.store import VALUE_BYTES_MAX
from cumindrift.port import find_poller
from cumindrift.supervision import Child

RECEIVE_BYTES = 65_536

# Takes the answer, or None with whether the request may have been read.
OnEnd = Callable[[PlainAnswer | None, bool], None]


class HttpExchange(Child):
    """Sends one request and collects its answer, then is gone.

    The client of circuits polls for the connection in a busy loop, so this
    component owns its socket: it is told by the poller when it is connected.
    """

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        request: PlainRequest,
        on_end: OnEnd,
    ) -> None:
        """Connects when it is started."""
        super().__init__(channel=f'exchange-{name}')
        self._endpoint = endpoint
        self._on_end = on_end
        self._http = h11.Connection(h11.CLIENT)
        self._unsent = self._encode(request)
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._is_connected = False
        self._is_over = False
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def start(self) -> None:
        """Starts to connect; the component must be registered."""
        self._poller = find_poller(self)
        error = self._sock.connect_ex(self._endpoint.pair())
        if error not in {0, EINPROGRESS}:
            self._end(None)
            return
        self._poller.addWriter(self, self._sock)

    def break_off(self) -> None:
        """Closes the connection and tells nobody."""
        self._finish()

    def release(self) -> None:
        """Ends the exchange as a failure when its link is restarted."""
        self._end(None)

    @handler('_write')
    def _on_write(self, _sock: Any) -> None:
        if self._is_over:
            return
        if not self._is_connected:
            if self._sock.getsockopt(SOL_SOCKET, SO_ERROR):
                self._end(None)
                return
            self._is_connected = True
            self._poller.addReader(self, self._sock)
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._end(None)
            return
        self._unsent = self._unsent[sent:]
        if not self._unsent:
            self._poller.removeWriter(self._sock)

    @handler('_read')
    def _on_read(self, _sock: Any) -> None:
        if self._is_over:
            return
        try:
            octets = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._end(None)
            return
        self._receive(octets)

    @handler('_disconnect', '_error')
    def _on_disconnect(self, *_details: Any) -> None:
        self._end(None)

    def _receive(self, octets: bytes) -> None:
        try:
            self._http.receive_data(octets)
            has_more = True
            while has_more and not self._is_over:
                has_more = self._take_event()
        except h11.ProtocolError:
            self._end(None)

    def _take_event(self) -> bool:
        """Takes one event of h11; False when it needs more octets."""
        event = self._http.next_event()
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > VALUE_BYTES_MAX:
                self._end(None)
        elif isinstance(event, h11.EndOfMessage):
            self._end(self._answer())
        elif isinstance(event, h11.ConnectionClosed):
            self._end(None)
        else:
            return not isinstance(event, type)
        return True

    def _answer(self) -> PlainAnswer | None:
        if self._head is None:
            return None
        headers = {
            name.decode('ascii'): content.decode('latin-1')
            for name, content in self._head.headers
        }
        return PlainAnswer(
            self._head.status_code,
            headers,
            bytes(self._body),
        )

    def _encode(self, request: PlainRequest) -> bytes:
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=[
                ('host', str(self._endpoint)),
                ('content-length', str(len(request.body))),
                ('connection', 'close'),
                *request.headers.items(),
            ],
        )
        return (
            self._http.send(head)
            + self._http.send(h11.Data(data=request.body))
            + self._http.send(h11.EndOfMessage())
        )

    def _end(self, answer: PlainAnswer | None) -> None:
        if not self._is_over:
            self._finish()
            self._on_end(answer, self._is_connected)

    def _finish(self) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._poller.discard(self._sock)
        self._sock.close()
        self.unregister()
