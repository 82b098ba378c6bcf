"""HTTP/1.1 for operators: one connection, one request, one answer."""

import json
from collections.abc import Callable
from typing import Any

import h11
from attrs import define, field
from circuits import handler
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.outcome import Refused
from cumindrift.registry import Registry
from cumindrift.supervision import Child

BODY_BYTES_MAX = 1024 * 1024
JSON_TYPE = 'application/json'


@define(frozen=True, slots=True)
class HttpRequest:
    """A whole request, as routes see it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@define(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE

    @classmethod
    def of_json(cls, status: int, bare: Any) -> 'HttpAnswer':
        """Returns an answer that holds JSON."""
        return cls(status, f'{json.dumps(bare)}\n'.encode())

    @classmethod
    def of_refusal(cls, status: int, refused: Refused) -> 'HttpAnswer':
        """Returns the answer for refused settings."""
        return cls.of_json(
            status,
            {
                'code': int(refused.code),
                'name': refused.code.name,
                'path': refused.path,
                'detail': refused.detail,
            },
        )


# A route takes the context of the process and the request; its name is the
# method and the first segment of the path, as in `GET /metrics`.
Route = Callable[[Any, HttpRequest], HttpAnswer]
routes: Registry[Route] = Registry('route')


@define(slots=True)
class _Exchange:
    connection: h11.Connection = field(
        factory=lambda: h11.Connection(h11.SERVER),
    )
    head: h11.Request | None = None
    body: bytes = b''


class HttpServer(Child):
    """Serves the routes; a child of the administration supervisor."""

    def __init__(self, context: Any, endpoint: Endpoint) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(channel=f'http-{endpoint}')
        self._context = context
        self._exchanges: dict[Any, _Exchange] = {}
        self._server = TCPServer(
            endpoint.pair(),
            channel=self.channel,
        ).register(self)

    def release(self) -> None:
        """Closes the listening socket and all connections."""
        self._server.close()

    @handler('connect')
    def _on_connect(self, sock: Any, *_address: Any) -> None:
        self._exchanges[sock] = _Exchange()

    @handler('disconnect')
    def _on_disconnect(self, sock: Any) -> None:
        self._exchanges.pop(sock, None)

    @handler('read')
    def _on_read(self, sock: Any, octets: bytes) -> None:
        exchange = self._exchanges.get(sock)
        if exchange is None:
            return
        try:
            exchange.connection.receive_data(octets)
            self._read_events(sock, exchange)
        except h11.ProtocolError:
            self.fire(close(sock), self.channel)

    def _read_events(self, sock: Any, exchange: _Exchange) -> None:
        while True:
            event = exchange.connection.next_event()
            if isinstance(event, h11.Request):
                exchange.head = event
            elif isinstance(event, h11.Data):
                exchange.body += event.data
                if len(exchange.body) > BODY_BYTES_MAX:
                    self.fire(close(sock), self.channel)
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._answer(sock, exchange)
                return
            else:
                return

    def _answer(self, sock: Any, exchange: _Exchange) -> None:
        answer = self._route(exchange)
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
        self.fire(write(sock, octets), self.channel)
        self.fire(close(sock), self.channel)

    def _route(self, exchange: _Exchange) -> HttpAnswer:
        head = exchange.head
        if head is None:
            return _not_found('/')
        method = head.method.decode('ascii')
        path = head.target.decode('ascii')
        name = f'{method} /{path.split("?")[0].strip("/").split("/")[0]}'
        if name not in routes:
            return _not_found(path)
        headers = {
            key.decode('ascii'): content.decode('latin-1')
            for key, content in head.headers
        }
        request = HttpRequest(method, path, headers, exchange.body)
        return routes.get(name)(self._context, request)


def _not_found(path: str) -> HttpAnswer:
    return HttpAnswer.of_refusal(
        404,
        Refused(ResultCode.NO_SUCH_PATH, path, 'no such page'),
    )
