"""HTTP/1.1 servers: one connection, one request, one answer."""

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
from circuits import Event, Timer, handler
from circuits.core.pollers import BasePoller
from httptools import HttpParserError, HttpRequestParser

from cumindrift.address import Endpoint
from cumindrift.administration.answer import (
    HttpAnswer,
    HttpRequest,
    Later,
    Responder,
    Route,
    answer_refusal,
    no_such_page,
)
from cumindrift.code import ResultCode
from cumindrift.exchange import RECEIVE_BYTES
from cumindrift.outcome import Refused, Unknown
from cumindrift.port import find_poller
from cumindrift.registry import Registry
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker

BODY_BYTES_MAX = 1024 * 1024
HEAD_BYTES_MAX = 16 * 1024
# A connection that sends nothing for this long is answered and closed.
IDLE_S = 10.0
# A route that answers later has this long.
ANSWER_WITHIN_S = 40.0
# What is still read of a request that was refused early.
DISCARD_BYTES_MAX = 16 * BODY_BYTES_MAX
BACKLOG = 128
_SWEEP_PERIOD_S = 1.0
_HTTP_TIMEOUT = 408
_HTTP_TOO_LARGE = 413
_HTTP_HEAD_TOO_LARGE = 431
_REASONS = {200: 'OK', 503: 'Service Unavailable'}


class due(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired when the wait of a route is over."""


@define(slots=True, eq=False, repr=False)
class _Exchange:
    """One connection: its request so far, and whether it is answered."""

    sock: socket
    until_s: float
    target: bytes = b''
    headers: dict[str, str] = field(factory=dict)
    body: bytearray = field(factory=bytearray)
    head_bytes: int = 0
    unsent: bytes = b''
    is_whole: bool = False
    is_answered: bool = False
    discarded_bytes: int = 0
    parser: HttpRequestParser = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Makes the parser, which calls the methods below."""
        self.parser = HttpRequestParser(self)

    def on_url(self, target: bytes) -> None:
        """Takes a piece of the request's target."""
        self.target += target
        self.head_bytes += len(target)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Takes one header."""
        self.head_bytes += len(name) + len(content)
        key = name.decode('latin-1').lower()
        self.headers[key] = content.decode('latin-1')

    def on_body(self, octets: bytes) -> None:
        """Takes a piece of the body."""
        if not self.is_whole and len(self.body) <= BODY_BYTES_MAX:
            self.body += octets

    def on_message_complete(self) -> None:
        """Notes the end of the request."""
        self.is_whole = True


class HttpServer(Child):
    """Serves the routes of some registries.

    Every request gets an answer: a malformed one, one that is too large
    and one that never ends get a refusal with a code.
    """

    def __init__(
        self,
        context: Any,
        endpoint: Endpoint,
        registries: tuple[Registry[Route], ...],
        clock: Callable[[], float],
    ) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(channel=f'http-{endpoint}')
        self._context = context
        self._registries = registries
        self.clock = clock
        self._exchanges: dict[socket, _Exchange] = {}
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
        Ticker(self.channel, _SWEEP_PERIOD_S, self.sweep).register(self)

    @property
    def bound_port(self) -> int:
        """Returns the port that is listened on."""
        return self._sock.getsockname()[1]

    def release(self) -> None:
        """Closes the listening socket and all connections."""
        for exchange in list(self._exchanges.values()):
            self._close(exchange)
        if self._poller is not None:
            self._poller.discard(self._sock)
        self._sock.close()

    def sweep(self) -> None:
        """Answers and closes connections that are out of time."""
        now_s = self.clock()
        for exchange in list(self._exchanges.values()):
            if now_s < exchange.until_s:
                continue
            if exchange.is_answered:
                self._close(exchange)
            elif exchange.is_whole:
                late = Unknown(ResultCode.OUTCOME_UNKNOWN, 'no answer in time')
                self._answer(exchange, answer_refusal(late))
            else:
                late = Refused(ResultCode.BAD_CALL, '/', 'the call never ended')
                self._answer(exchange, answer_refusal(late, _HTTP_TIMEOUT))
                self._close(exchange)

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
            # The loop's poller comes later; `started` tells.
            return
        self._poller.addReader(self, self._sock)

    @handler('_read')
    def _on_read(self, sock: socket) -> None:
        if sock is self._sock:
            self._accept()
            return
        exchange = self._exchanges.get(sock)
        if exchange is None:
            return
        try:
            octets = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            octets = b''
        if octets:
            self._receive(exchange, octets)
        else:
            self._close(exchange)

    @handler('_write')
    def _on_write(self, sock: socket) -> None:
        exchange = self._exchanges.get(sock)
        if exchange is not None:
            self._send(exchange)

    @handler('_disconnect', '_error')
    def _on_broken(self, sock: socket, *_details: Any) -> None:
        exchange = self._exchanges.get(sock)
        if exchange is not None:
            self._close(exchange)

    def _accept(self) -> None:
        while True:
            try:
                sock, _address = self._sock.accept()
            except OSError:
                # Nobody waits any more, or it went away meanwhile.
                return
            sock.setblocking(False)
            self._exchanges[sock] = _Exchange(sock, self.clock() + IDLE_S)
            self._poller.addReader(self, sock)

    def _receive(self, exchange: _Exchange, octets: bytes) -> None:
        if exchange.is_answered:
            self._discard(exchange, len(octets))
            return
        if exchange.is_whole:
            return
        exchange.until_s = self.clock() + IDLE_S
        try:
            exchange.parser.feed_data(octets)
        except HttpParserError as error:
            refused = Refused(ResultCode.BAD_CALL, '/', str(error))
            self._answer(exchange, answer_refusal(refused))
            return
        self._check_size(exchange)
        if exchange.is_whole and not exchange.is_answered:
            exchange.until_s = self.clock() + ANSWER_WITHIN_S
            self._route(exchange)

    def _check_size(self, exchange: _Exchange) -> None:
        if len(exchange.body) > BODY_BYTES_MAX:
            detail = f'a body has at most {BODY_BYTES_MAX} bytes'
            refused = Refused(ResultCode.TOO_LARGE, '/', detail)
            self._answer(exchange, answer_refusal(refused, _HTTP_TOO_LARGE))
        elif exchange.head_bytes > HEAD_BYTES_MAX:
            detail = f'headers have at most {HEAD_BYTES_MAX} bytes'
            refused = Refused(ResultCode.BAD_CALL, '/', detail)
            answer = answer_refusal(refused, _HTTP_HEAD_TOO_LARGE)
            self._answer(exchange, answer)

    def _discard(self, exchange: _Exchange, count: int) -> None:
        """Lets the sender finish, so that it gets to read its answer."""
        exchange.discarded_bytes += count
        if exchange.discarded_bytes > DISCARD_BYTES_MAX:
            self._close(exchange)

    def _route(self, exchange: _Exchange) -> None:
        request = _request_of(exchange)
        for registry in self._registries:
            if request.route_name in registry:
                found = registry.get(request.route_name)(self._context, request)
                break
        else:
            found = no_such_page(request.path)
        if isinstance(found, Later):
            found.start(
                Responder(
                    lambda answer: self._answer(exchange, answer),
                    self._call_after,
                ),
            )
        else:
            self._answer(exchange, found)

    def _call_after(self, delay_s: float, call: Callable[[], None]) -> None:
        Timer(delay_s, due(call), self.channel).register(self)

    @handler('due')
    def _on_due(self, call: Callable[[], None]) -> None:
        call()

    def _answer(self, exchange: _Exchange, answer: HttpAnswer) -> None:
        if exchange.is_answered or exchange.sock not in self._exchanges:
            return
        exchange.is_answered = True
        exchange.unsent = encode_answer(answer)
        self._send(exchange)

    def _send(self, exchange: _Exchange) -> None:
        try:
            sent = exchange.sock.send(exchange.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._close(exchange)
            return
        exchange.unsent = exchange.unsent[sent:]
        if exchange.unsent:
            if not self._poller.isWriting(exchange.sock):
                self._poller.addWriter(self, exchange.sock)
        elif exchange.is_whole:
            self._close(exchange)
        elif self._poller.isWriting(exchange.sock):
            self._poller.removeWriter(exchange.sock)

    def _close(self, exchange: _Exchange) -> None:
        if self._exchanges.pop(exchange.sock, None) is not None:
            self._poller.discard(exchange.sock)
            exchange.sock.close()


def encode_answer(answer: HttpAnswer) -> bytes:
    """Returns the octets of an answer that ends its connection."""
    reason = _REASONS.get(answer.status, 'Answer')
    head = (
        f'HTTP/1.1 {answer.status} {reason}\r\n'
        f'Content-Type: {answer.content_type}\r\n'
        f'Content-Length: {len(answer.body)}\r\n'
        'Connection: close\r\n\r\n'
    )
    return head.encode('latin-1') + answer.body


def _request_of(exchange: _Exchange) -> HttpRequest:
    return HttpRequest(
        exchange.parser.get_method().decode('ascii'),
        exchange.target.decode('latin-1'),
        exchange.headers,
        bytes(exchange.body),
    )
