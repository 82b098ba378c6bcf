"""A small HTTP/1.1 server: one request for each connection."""

from collections.abc import Callable
from socket import (
    AF_INET,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from typing import Any

from attrs import define, field
from circuits import Event, handler
from circuits.core.pollers import BasePoller
from httptools import HttpParserError, HttpRequestParser

from cumindrift.address import Endpoint
from cumindrift.administration.routing import (
    DeferredResponse,
    HttpRequest,
    HttpResponse,
    Responder,
    Route,
    error_response,
    not_found_response,
)
from cumindrift.code import ResultCode
from cumindrift.exchange import RECEIVE_BYTES
from cumindrift.outcome import Refused, Unknown
from cumindrift.port import find_poller
from cumindrift.registry import Registry
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker
from cumindrift.timer import SteadyTimer

BODY_BYTES_MAX = 1024 * 1024
HEAD_BYTES_MAX = 16 * 1024
# A connection that sends nothing for this long gets a response and is closed.
IDLE_TIMEOUT_S = 10.0
# A deferred response times out after this.
RESPONSE_TIMEOUT_S = 40.0
# How much of a request is still read after it was refused early.
DISCARD_BYTES_MAX = 16 * BODY_BYTES_MAX
BACKLOG = 128
_SWEEP_PERIOD_S = 1.0
_HTTP_TIMEOUT = 408
_HTTP_TOO_LARGE = 413
_HTTP_HEAD_TOO_LARGE = 431
_REASONS = {200: 'OK', 503: 'Service Unavailable'}


class delay_over(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired when the delay of `Responder.call_after` is over."""


@define(slots=True, eq=False, repr=False)
class _Connection:
    """One connection with its request so far and its unsent response."""

    sock: socket
    deadline_s: float
    target: bytes = b''
    headers: dict[str, str] = field(factory=dict)
    body: bytearray = field(factory=bytearray)
    head_bytes: int = 0
    unsent: bytes = b''
    is_complete: bool = False
    is_answered: bool = False
    discarded_bytes: int = 0
    parser: HttpRequestParser = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the parser, which calls the methods below."""
        self.parser = HttpRequestParser(self)

    def on_url(self, target: bytes) -> None:
        """Receives a piece of the request target from the parser."""
        self.target += target
        self.head_bytes += len(target)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Receives one header from the parser."""
        self.head_bytes += len(name) + len(content)
        key = name.decode('latin-1').lower()
        self.headers[key] = content.decode('latin-1')

    def on_body(self, octets: bytes) -> None:
        """Receives a piece of the body from the parser."""
        if not self.is_complete and len(self.body) <= BODY_BYTES_MAX:
            self.body += octets

    def on_message_complete(self) -> None:
        """Receives the end of the request from the parser."""
        self.is_complete = True


class HttpServer(Child):
    """Serves the routes of `registries` over HTTP.

    Every request gets a response: a malformed, too large or incomplete one
    gets an error with a result code.
    """

    def __init__(
        self,
        context: Any,
        endpoint: Endpoint,
        registries: tuple[Registry[Route], ...],
        clock: Callable[[], float],
    ) -> None:
        """Binds and listens; raises OSError when the address is in use."""
        super().__init__(channel=f'http-{endpoint}')
        self._context = context
        self._registries = registries
        self.clock = clock
        self._connections: dict[socket, _Connection] = {}
        self._poller: BasePoller | None = None
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        try:
            self._sock.bind(endpoint.sockaddr())
        except OSError:
            self._sock.close()
            raise
        self._sock.listen(BACKLOG)
        Ticker(self.channel, _SWEEP_PERIOD_S, self.expire_connections).register(
            self
        )

    @property
    def bound_port(self) -> int:
        """The port that the server listens on."""
        return self._sock.getsockname()[1]

    def release(self) -> None:
        """Closes the listening socket and all connections."""
        for connection in list(self._connections.values()):
            self._close(connection)
        if self._poller is not None:
            self._poller.discard(self._sock)
        self._sock.close()

    def expire_connections(self) -> None:
        """Sends a timeout response on expired connections; closes them."""
        now_s = self.clock()
        for connection in list(self._connections.values()):
            if now_s < connection.deadline_s:
                continue
            if connection.is_answered:
                self._close(connection)
            elif connection.is_complete:
                late = Unknown(
                    ResultCode.OUTCOME_UNKNOWN, 'no response in time'
                )
                self._respond(connection, error_response(late))
            else:
                late = Refused(
                    ResultCode.BAD_CALL,
                    '/',
                    'the request was not completed in time',
                )
                self._respond(connection, error_response(late, _HTTP_TIMEOUT))
                self._close(connection)

    @handler('registered', 'started', channel='*')
    def _on_registered(self, component: object, *_details: object) -> None:
        if self._poller is None and (
            self.root.running or component in {self, self.root}
        ):
            self._listen()

    def _listen(self) -> None:
        try:
            self._poller = find_poller(self)
        except LookupError:
            # The poller isn't registered yet; `started` is fired once it is.
            return
        self._poller.addReader(self, self._sock)

    @handler('_read')
    def _on_read(self, sock: socket) -> None:
        if sock is self._sock:
            self._accept()
            return
        connection = self._connections.get(sock)
        if connection is None:
            return
        try:
            octets = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            octets = b''
        if octets:
            self._receive(connection, octets)
        else:
            self._close(connection)

    @handler('_write')
    def _on_write(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            self._send(connection)

    @handler('_disconnect', '_error')
    def _on_broken(self, sock: socket, *_details: Any) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            self._close(connection)

    def _accept(self) -> None:
        while True:
            try:
                sock, _address = self._sock.accept()
            except OSError:
                # No connection is waiting, or its client has closed it.
                return
            sock.setblocking(False)
            self._connections[sock] = _Connection(
                sock, self.clock() + IDLE_TIMEOUT_S
            )
            self._poller.addReader(self, sock)

    def _receive(self, connection: _Connection, octets: bytes) -> None:
        if connection.is_answered:
            self._discard(connection, len(octets))
            return
        if connection.is_complete:
            return
        connection.deadline_s = self.clock() + IDLE_TIMEOUT_S
        try:
            connection.parser.feed_data(octets)
        except HttpParserError as error:
            refused = Refused(ResultCode.BAD_CALL, '/', str(error))
            self._respond(connection, error_response(refused))
            return
        self._check_size(connection)
        if connection.is_complete and not connection.is_answered:
            connection.deadline_s = self.clock() + RESPONSE_TIMEOUT_S
            self._route(connection)

    def _check_size(self, connection: _Connection) -> None:
        if len(connection.body) > BODY_BYTES_MAX:
            detail = f'the body exceeds {BODY_BYTES_MAX} bytes'
            refused = Refused(ResultCode.TOO_LARGE, '/', detail)
            self._respond(connection, error_response(refused, _HTTP_TOO_LARGE))
        elif connection.head_bytes > HEAD_BYTES_MAX:
            detail = f'the headers exceed {HEAD_BYTES_MAX} bytes'
            refused = Refused(ResultCode.BAD_CALL, '/', detail)
            response = error_response(refused, _HTTP_HEAD_TOO_LARGE)
            self._respond(connection, response)

    def _discard(self, connection: _Connection, count: int) -> None:
        """Reads and discards the rest of a request that has its response.

        Closing earlier could reset the connection before the client has read
        the response.
        """
        connection.discarded_bytes += count
        if connection.discarded_bytes > DISCARD_BYTES_MAX:
            self._close(connection)

    def _route(self, connection: _Connection) -> None:
        request = _build_request(connection)
        for registry in self._registries:
            if request.route_name in registry:
                found = registry.get(request.route_name)(self._context, request)
                break
        else:
            found = not_found_response(request.path)
        if isinstance(found, DeferredResponse):
            found.start(
                Responder(
                    lambda response: self._respond(connection, response),
                    self._call_after,
                ),
            )
        else:
            self._respond(connection, found)

    def _call_after(self, delay_s: float, call: Callable[[], None]) -> None:
        timer = SteadyTimer(delay_s, delay_over(call), self.channel)
        timer.register(self)

    @handler('delay_over')
    def _on_delay_over(self, call: Callable[[], None]) -> None:
        call()

    def _respond(self, connection: _Connection, response: HttpResponse) -> None:
        if connection.is_answered or connection.sock not in self._connections:
            return
        connection.is_answered = True
        connection.unsent = encode_response(response)
        self._send(connection)

    def _send(self, connection: _Connection) -> None:
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(connection)
            return
        connection.unsent = connection.unsent[sent:]
        if connection.unsent:
            if not self._poller.isWriting(connection.sock):
                self._poller.addWriter(self, connection.sock)
        elif connection.is_complete:
            self._close(connection)
        elif self._poller.isWriting(connection.sock):
            self._poller.removeWriter(connection.sock)

    def _close(self, connection: _Connection) -> None:
        if self._connections.pop(connection.sock, None) is not None:
            self._poller.discard(connection.sock)
            connection.sock.close()


def encode_response(response: HttpResponse) -> bytes:
    """Encodes a response, after which the connection is closed."""
    reason = _REASONS.get(response.status, 'Answer')
    head = (
        f'HTTP/1.1 {response.status} {reason}\r\n'
        f'Content-Type: {response.content_type}\r\n'
        f'Content-Length: {len(response.body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode('latin-1') + response.body


def _build_request(connection: _Connection) -> HttpRequest:
    return HttpRequest(
        connection.parser.get_method().decode('ascii'),
        connection.target.decode('latin-1'),
        connection.headers,
        bytes(connection.body),
    )
