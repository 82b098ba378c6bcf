"""Target stand-in: an HTTP server with a work model, and a packet port."""

import json
from collections import deque
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
from absl import app, flags
from attrs import define, field
from circuits import handler
from circuits.core.pollers import EPoll
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from cumindrift.address import Endpoint
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child, ChildSpec, Supervisor
from cumindrift.ticker import Ticker
from cumindrift.traffic.packet import read_packet
from standin.model import WorkModel

_HTTP = flags.DEFINE_string('http', None, 'Where the HTTP server listens.')
_PACKETS = flags.DEFINE_string('packets', None, 'Where packets arrive.')
_SLOTS = flags.DEFINE_integer('slots', 4, 'Concurrent requests.')
_SPEED = flags.DEFINE_float('speed', 1.0, 'Seconds of work per second.')
_WORK_S = flags.DEFINE_float('work_s', 0.02, 'Work of a request in seconds.')
_WARM_S = flags.DEFINE_float('warm_s', 2.0, 'Time from cold to warm.')

TICK_PERIOD_S = 0.01
DOWNLOAD_CHUNK_BYTES = 16_384


@define(slots=True)
class Connection:
    """An HTTP connection and its request."""

    http: h11.Connection = field(factory=lambda: h11.Connection(h11.SERVER))
    head: h11.Request | None = None
    body: bytes = b''
    key: str = ''


class AnswerServer(TCPServer):
    """A TCP server that drops answers to connections that were closed.

    The server of circuits fails when it is given one.
    """

    @handler('write', override=True)
    def write(self, sock: Any, octets: bytes) -> None:
        """Sends octets on a connection."""
        if sock.fileno() >= 0:
            super().write(sock, octets)


class TargetServer(Child):
    """Serves `POST` work, `GET /download?bytes=N` and `GET /load`."""

    def __init__(self, http: Endpoint, packets: Endpoint) -> None:
        """Binds the HTTP and packet sockets."""
        super().__init__(channel='target')
        self._connections: dict[Any, Connection] = {}
        self._waiting_sockets: deque[Any] = deque()
        self._running_sockets: dict[str, Any] = {}
        self._runs: dict[str, int] = {}
        self._packet_count = 0
        self._last_start_s: float | None = None
        self.model = WorkModel(
            _SLOTS.value,
            _SPEED.value,
            _WARM_S.value,
            monotonic(),
        )
        self._server = AnswerServer(http.sockaddr(), channel=self.channel)
        self._server.register(self)
        self._port = DatagramPort(packets, self._on_packet).register(self)
        Ticker('target-work', TICK_PERIOD_S, self._tick).register(self)

    def _on_packet(self, packet: bytes, _pair: tuple[str, int]) -> None:
        """Sends the payload directly back to the caller."""
        self._packet_count += 1
        inner = read_packet(packet)
        payload = getattr(inner, 'payload', b'')
        if payload:
            self._port.send(payload, inner.source.sockaddr())

    @handler('connect')
    def _on_connect(self, sock: Any, *_address: Any) -> None:
        self._connections[sock] = Connection()

    @handler('disconnect')
    def _on_disconnect(self, sock: Any) -> None:
        connection = self._connections.pop(sock, None)
        if (
            connection is not None
            and self._running_sockets.get(connection.key) is sock
        ):
            self._running_sockets.pop(connection.key)
            self.model.stop(connection.key)

    @handler('read')
    def _on_read(self, sock: Any, octets: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.http.receive_data(octets)
        while True:
            event = connection.http.next_event()
            if isinstance(event, h11.Request):
                connection.head = event
            elif isinstance(event, h11.Data):
                connection.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self._accept(sock, connection)
                return
            else:
                return

    def _accept(self, sock: Any, connection: Connection) -> None:
        path = connection.head.target.decode()
        if path.startswith('/load'):
            self._answer(sock, 200, json.dumps(self._load()).encode())
        elif path.startswith('/runs'):
            self._answer(sock, 200, json.dumps(self._runs).encode())
        elif path.startswith('/cold'):
            self.model.turn_cold(monotonic())
            self._answer(sock, 200, b'{}')
        else:
            self._waiting_sockets.append(sock)

    def _load(self) -> dict[str, float]:
        return {
            'running': len(self._running_sockets),
            'slots': self.model.slots,
            'speed': self.model.speed,
            'runs': sum(self._runs.values()),
            'idle_s': self._idle_s(),
        }

    def _idle_s(self) -> float:
        """Returns the time since the last request started; -1 if none did."""
        if self._last_start_s is None:
            return -1.0
        return monotonic() - self._last_start_s

    def _tick(self) -> None:
        now_s = monotonic()
        for key in self.model.advance(now_s):
            self._finish(self._running_sockets.pop(key))
        while (
            self._waiting_sockets
            and len(self._running_sockets) < self.model.slots
        ):
            self._start(self._waiting_sockets.popleft(), now_s)
        while self.model.aborted_keys:
            sock = self._running_sockets.pop(self.model.aborted_keys.pop())
            self.fire(close(sock), self.channel)

    def _start(self, sock: Any, now_s: float) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        headers = dict(connection.head.headers)
        name = headers.get(b'idempotency-key', b'').decode()
        key = f'{name}-{id(connection)}'
        if not self.model.start(key, _WORK_S.value, now_s):
            self._answer(sock, 503, b'fallen over')
            return
        connection.key = key
        self._last_start_s = now_s
        self._runs[name] = self._runs.get(name, 0) + 1
        self._running_sockets[key] = sock

    def _finish(self, sock: Any) -> None:
        connection = self._connections[sock]
        query = parse_qs(urlsplit(connection.head.target.decode()).query)
        size = int(query.get('bytes', ['0'])[0])
        body = connection.body
        if size:
            pattern = bytes(range(256))
            body = (pattern * (size // len(pattern) + 1))[:size]
        self._answer(sock, 200, body)

    def _answer(self, sock: Any, status: int, body: bytes) -> None:
        http = self._connections[sock].http
        head = h11.Response(
            status_code=status,
            headers=[
                ('Content-Length', str(len(body))),
                ('Connection', 'close'),
            ],
        )
        self.fire(write(sock, http.send(head)), self.channel)
        for start in range(0, len(body), DOWNLOAD_CHUNK_BYTES):
            piece = body[start : start + DOWNLOAD_CHUNK_BYTES]
            self.fire(
                write(sock, http.send(h11.Data(data=piece))), self.channel
            )
        self.fire(close(sock), self.channel)


def _run(_arguments: list[str]) -> int:
    http = Endpoint.parse(_HTTP.value)
    packets = Endpoint.parse(_PACKETS.value)
    root = Supervisor(
        'target',
        [ChildSpec('server', lambda: TargetServer(http, packets))],
    )
    EPoll().register(root)
    root.run()
    return 0


if __name__ == '__main__':
    flags.mark_flags_as_required(['http', 'packets'])
    app.run(_run)
