"""HTTP/1.1 client exchanges over a non-blocking socket."""

from abc import abstractmethod
from collections.abc import Callable
from errno import EINPROGRESS
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
    socket,
)
from typing import Any

from attrs import define, field
from circuits import Event, handler
from httptools import HttpParserError, HttpResponseParser

from cumindrift.address import Endpoint
from cumindrift.port import find_poller
from cumindrift.supervision import Child

RECEIVE_BYTES = 65_536
# A dead connection is detected within three seconds, however long the server
# takes to respond.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MS = 3000

# A store's response is a page of at most about 1 MB, plus the JSON overhead.
RESPONSE_BYTES_MAX = 4 * 1024 * 1024

Headers = dict[str, str]


class connect_failed(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired when connecting fails at once."""


@define(frozen=True, slots=True, eq=False, repr=False)
class HttpClientRequest:
    """An HTTP request; Host, Content-Length and Connection are added."""

    method: str
    target: str
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b''


@define(frozen=True, slots=True, eq=False, repr=False)
class HttpClientResponse:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes = b''


class ClientExchange(Child):
    """Sends one request, streams its response, then unregisters itself.

    The client of circuits waits for the connection in a busy loop, so this
    component owns its socket and lets the poller report the connection.
    Subclasses define what is done with the response: `HttpExchange` collects
    it, the target's exchange passes it on.
    """

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        request: HttpClientRequest,
    ) -> None:
        """Prepares the exchange; `start` connects."""
        super().__init__(channel=f'exchange-{name}')
        self._endpoint = endpoint
        self._parser = HttpResponseParser(ResponseReader(self))
        self._unsent = encode_request(endpoint, request)
        self._is_connected = False
        self._is_over = False
        self._is_reading = False
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        for level, option, amount in (
            (SOL_SOCKET, SO_KEEPALIVE, 1),
            (IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_IDLE_S),
            (IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES),
            (IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        ):
            self._sock.setsockopt(level, option, amount)

    @abstractmethod
    def on_head(self, status: int, headers: Headers) -> None:
        """Handles status and headers, whose names are in lower case."""

    @abstractmethod
    def on_data(self, octets: bytes) -> None:
        """Handles a part of the body."""

    @abstractmethod
    def on_end(self) -> None:
        """Handles the end of a complete response."""

    @abstractmethod
    def on_failure(self, *, was_sent: bool) -> None:
        """Handles the end without a complete response.

        `was_sent` tells whether the server may have read the request.
        """

    def start(self) -> None:
        """Starts connecting; the component must be registered."""
        self._poller = find_poller(self)
        error = self._sock.connect_ex(self._endpoint.sockaddr())
        if error in {0, EINPROGRESS}:
            self._poller.addWriter(self, self._sock)
        else:
            # Reported by an event, so that no callback runs inside `start`.
            self.fire(connect_failed(), self.channel)

    def pause(self) -> None:
        """Stops reading, so that TCP flow control stops the server."""
        if self._is_reading and not self._is_over:
            self._is_reading = False
            self._poller.removeReader(self._sock)

    def resume(self) -> None:
        """Continues reading."""
        if self._is_connected and not self._is_reading and not self._is_over:
            self._is_reading = True
            self._poller.addReader(self, self._sock)

    def abort(self) -> None:
        """Closes the connection without a callback."""
        self.finish()

    def release(self) -> None:
        """Ends the exchange as failed; called when its link is restarted."""
        self.fail()

    def fail(self) -> None:
        """Ends the exchange as failed."""
        if not self._is_over:
            self.finish()
            self.on_failure(was_sent=self._is_connected)

    def finish(self) -> None:
        """Closes the connection; later events are ignored."""
        if not self._is_over:
            self._is_over = True
            self._poller.discard(self._sock)
            self._sock.close()
            self.unregister()

    @handler('connect_failed', '_disconnect', '_error')
    def _on_connect_failed(self, *_details: Any) -> None:
        self.fail()

    @handler('_write')
    def _on_write(self, _sock: Any) -> None:
        if self._is_over or not self._has_connected():
            return
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self.fail()
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
            self.fail()
            return
        self._receive(octets)

    def _has_connected(self) -> bool:
        if not self._is_connected:
            if self._sock.getsockopt(SOL_SOCKET, SO_ERROR):
                self.fail()
                return False
            self._is_connected = True
            self.resume()
        return True

    def _receive(self, octets: bytes) -> None:
        if not octets:
            # The server closed the connection before the end of the response.
            self.fail()
            return
        try:
            self._parser.feed_data(octets)
        except HttpParserError:
            self.fail()

    def handle_headers(self, headers: Headers) -> None:
        """Called by the parser at the end of the headers."""
        if not self._is_over:
            self.on_head(self._parser.get_status_code(), headers)

    def handle_body(self, octets: bytes) -> None:
        """Called by the parser with a part of the body."""
        if not self._is_over:
            self.on_data(octets)

    def handle_end(self) -> None:
        """Called by the parser at the end of the response."""
        if not self._is_over:
            self.finish()
            self.on_end()


class ResponseReader:
    """Callbacks of the HTTP parser, for one exchange."""

    def __init__(self, exchange: ClientExchange) -> None:
        """Takes the exchange whose response is parsed."""
        self._exchange = exchange
        self._headers: Headers = {}

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collects a header."""
        self._headers[name.decode('latin-1').lower()] = content.decode(
            'latin-1',
        )

    def on_headers_complete(self) -> None:
        """Passes the headers to the exchange."""
        self._exchange.handle_headers(self._headers)

    def on_body(self, octets: bytes) -> None:
        """Passes a part of the body to the exchange."""
        self._exchange.handle_body(octets)

    def on_message_complete(self) -> None:
        """Passes the end of the response to the exchange."""
        self._exchange.handle_end()


def encode_request(endpoint: Endpoint, request: HttpClientRequest) -> bytes:
    """Encodes a request that tells the server to close the connection."""
    headers = {
        'Host': str(endpoint),
        'Content-Length': str(len(request.body)),
        'Connection': 'close',
        **request.headers,
    }
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines.extend(f'{name}: {content}' for name, content in headers.items())
    head = '\r\n'.join([*lines, '', ''])
    return head.encode('latin-1') + request.body


# Called with the response or None, and whether the server may have read the
# request.
OnEnd = Callable[[HttpClientResponse | None, bool], None]


class HttpExchange(ClientExchange):
    """Collects one response of at most RESPONSE_BYTES_MAX."""

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        request: HttpClientRequest,
        on_end: OnEnd,
    ) -> None:
        """Prepares the exchange; `start` connects."""
        super().__init__(name, endpoint, request)
        self._on_answer = on_end
        self._status = 0
        self._headers: Headers = {}
        self._body = bytearray()

    def on_head(self, status: int, headers: Headers) -> None:
        """Stores status and headers."""
        self._status = status
        self._headers = headers

    def on_data(self, octets: bytes) -> None:
        """Collects the body."""
        self._body += octets
        if len(self._body) > RESPONSE_BYTES_MAX:
            self.fail()

    def on_end(self) -> None:
        """Calls back with the response."""
        answer = HttpClientResponse(
            self._status,
            self._headers,
            bytes(self._body),
        )
        self._on_answer(answer, True)

    def on_failure(self, *, was_sent: bool) -> None:
        """Calls back without a response."""
        self._on_answer(None, was_sent)
