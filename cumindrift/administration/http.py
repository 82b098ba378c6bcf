"""HTTP/1.1 for operators: one connection, one request, one answer."""

from collections.abc import Callable
from typing import Any

import h11
from attrs import define, field
from circuits import Event, Timer, handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

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
from cumindrift.outcome import Refused, Unknown
from cumindrift.registry import Registry
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker

BODY_BYTES_MAX = 1024 * 1024
# A connection that sends nothing for this long is answered and closed.
IDLE_S = 10.0
# A route that answers later has this long.
ANSWER_WITHIN_S = 40.0
# What is still read of a request that was refused early.
DISCARD_BYTES_MAX = 16 * BODY_BYTES_MAX
_SWEEP_PERIOD_S = 1.0
_HTTP_TIMEOUT = 408
_HTTP_TOO_LARGE = 413


class due(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired when the wait of a route is over."""


@define(slots=True, eq=False)
class _Exchange:
    """One connection: its request so far, and whether it is answered."""

    sock: Any
    until_s: float
    connection: h11.Connection = field(
        factory=lambda: h11.Connection(h11.SERVER),
    )
    head: h11.Request | None = None
    body: bytearray = field(factory=bytearray)
    is_whole: bool = False
    is_answered: bool = False
    discarded_bytes: int = 0


class HttpServer(Child):
    """Serves the routes of some registries; a child of administration.

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
        self._exchanges: dict[Any, _Exchange] = {}
        self._server = TCPServer(
            endpoint.pair(),
            channel=self.channel,
        ).register(self)
        Ticker(self.channel, _SWEEP_PERIOD_S, self.sweep).register(self)

    @property
    def bound_port(self) -> int:
        """Returns the port that is listened on."""
        return self._server.port

    def release(self) -> None:
        """Closes the listening socket and all connections."""
        self._server.close()

    def sweep(self) -> None:
        """Answers and closes connections that are out of time."""
        now_s = self.clock()
        for exchange in list(self._exchanges.values()):
            if now_s < exchange.until_s:
                continue
            if exchange.is_whole:
                late = Unknown(ResultCode.OUTCOME_UNKNOWN, 'no answer in time')
                self._answer(exchange, answer_refusal(late))
            else:
                late = Refused(ResultCode.BAD_CALL, '/', 'the call never ended')
                self._answer(exchange, answer_refusal(late, _HTTP_TIMEOUT))
            self.fire(close(exchange.sock), self.channel)

    @handler('connect')
    def _on_connect(self, sock: Any, *_address: Any) -> None:
        self._exchanges[sock] = _Exchange(sock, self.clock() + IDLE_S)

    @handler('disconnect')
    def _on_disconnect(self, sock: Any) -> None:
        self._exchanges.pop(sock, None)

    @handler('read')
    def _on_read(self, sock: Any, octets: bytes) -> None:
        exchange = self._exchanges.get(sock)
        if exchange is None or exchange.is_whole:
            return
        if exchange.is_answered:
            self._discard(exchange, len(octets))
            return
        exchange.until_s = self.clock() + IDLE_S
        try:
            exchange.connection.receive_data(octets)
            self._read_events(exchange)
        except h11.RemoteProtocolError as error:
            refused = Refused(ResultCode.BAD_CALL, '/', str(error))
            status = error.error_status_hint
            self._answer(exchange, answer_refusal(refused, status))

    def _discard(self, exchange: _Exchange, count: int) -> None:
        """Lets the sender finish, so that it gets to read its answer."""
        exchange.discarded_bytes += count
        if exchange.discarded_bytes > DISCARD_BYTES_MAX:
            self.fire(close(exchange.sock), self.channel)

    def _read_events(self, exchange: _Exchange) -> None:
        while not exchange.is_answered:
            event = exchange.connection.next_event()
            if isinstance(event, h11.Request):
                exchange.head = event
            elif isinstance(event, h11.Data):
                self._take_body(exchange, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                exchange.is_whole = True
                exchange.until_s = self.clock() + ANSWER_WITHIN_S
                self._route(exchange)
                return
            else:
                return

    def _take_body(self, exchange: _Exchange, octets: bytes) -> None:
        exchange.body += octets
        if len(exchange.body) > BODY_BYTES_MAX:
            detail = f'a body has at most {BODY_BYTES_MAX} bytes'
            refused = Refused(ResultCode.TOO_LARGE, '/', detail)
            self._answer(exchange, answer_refusal(refused, _HTTP_TOO_LARGE))

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
        connection = exchange.connection
        head = h11.Response(
            status_code=answer.status,
            headers=[
                ('Content-Type', answer.content_type),
                ('Content-Length', str(len(answer.body))),
                ('Connection', 'close'),
            ],
        )
        octets = (
            connection.send(head)
            + connection.send(h11.Data(data=answer.body))
            + connection.send(h11.EndOfMessage())
        )
        self.fire(write(exchange.sock, octets), self.channel)
        if exchange.is_whole:
            self.fire(close(exchange.sock), self.channel)


def _request_of(exchange: _Exchange) -> HttpRequest:
    head = exchange.head
    headers = {
        key.decode('ascii').lower(): content.decode('latin-1')
        for key, content in head.headers
    }
    return HttpRequest(
        head.method.decode('ascii'),
        head.target.decode('ascii'),
        headers,
        bytes(exchange.body),
    )
