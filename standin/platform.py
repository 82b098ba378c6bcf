"""Platform stand-in: versioned objects over HTTP, with injected faults."""

import json
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import h11
from absl import app, flags
from attrs import define, evolve, field
from circuits import handler
from circuits.core.pollers import EPoll
from circuits.net.events import close, write
from circuits.net.sockets import TCPServer

from cumindrift.address import Endpoint
from cumindrift.exchange import HttpClientRequest
from cumindrift.objects.http import (
    ETAG_HEADER,
    PATH_PREFIX,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_NOT_MODIFIED,
    STATUS_OK,
    WRITE_ID_HEADER,
    HttpClientResponse,
    etag_of,
    version_of,
)
from cumindrift.objects.store import VALUE_BYTES_MAX
from cumindrift.registry import Registry
from cumindrift.supervision import Child, ChildSpec, Supervisor
from cumindrift.ticker import Ticker

_HTTP = flags.DEFINE_string('http', None, 'Where the HTTP server listens.')
_DOWN = flags.DEFINE_bool('down', False, 'Start without answering.')
_SLOW_S = flags.DEFINE_float('slow_s', 0.0, 'Delay of each answer.')
_LOSES = flags.DEFINE_bool('loses_answers', False, 'Lose answers to writes.')
_GARBLES = flags.DEFINE_bool('garbles', False, 'Answer without versions.')

TICK_PERIOD_S = 0.02
CONTROL_PATH = '/control'
STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413

# Called with the answer, or with None to close the connection without one.
Reply = Callable[[HttpClientResponse | None], None]


@define(frozen=True, slots=True)
class PlatformFaults:
    """The faults that the stand-in currently has."""

    is_down: bool = False
    slow_s: float = 0.0
    loses_answers: bool = False
    garbles: bool = False


@define(frozen=True, slots=True)
class _StoredObject:
    version: int
    body: bytes
    write_id: str


@define(slots=True)
class _Watch:
    key: str
    version: int
    until_s: float
    reply: Reply


methods: Registry[Callable[..., None]] = Registry('platform method')


@define(slots=True, eq=False)
class PlatformModel:
    """Objects, watches and faults; does no I/O, and time is passed in."""

    faults: PlatformFaults = field(factory=PlatformFaults)
    call_count: int = 0
    objects: dict[str, _StoredObject] = field(factory=dict)
    _watches: list[_Watch] = field(factory=list)
    _delayed_answers: list[tuple[float, int, Callable[[], None]]] = field(
        factory=list
    )
    _delay_order: count = field(factory=count)

    def handle(
        self, request: HttpClientRequest, now_s: float, reply: Reply
    ) -> None:
        """Serves one request; `reply` is called now or in a later tick."""
        self.call_count += 1
        if self.faults.is_down:
            reply(None)
        elif request.method in methods:
            methods.get(request.method)(self, request, now_s, reply)
        else:
            reply(HttpClientResponse(STATUS_BAD_REQUEST, {}))

    def tick(self, now_s: float) -> None:
        """Sends delayed answers that are due and ends expired watches."""
        while self._delayed_answers and self._delayed_answers[0][0] <= now_s:
            heappop(self._delayed_answers)[2]()
        for watch in list(self._watches):
            if self.faults.is_down:
                self._watches.remove(watch)
                watch.reply(None)
            elif now_s >= watch.until_s:
                self._watches.remove(watch)
                watch.reply(HttpClientResponse(STATUS_NOT_MODIFIED, {}))

    @property
    def watch_count(self) -> int:
        """The number of open watches."""
        return len(self._watches)

    def lose_watches(self) -> None:
        """Forgets the open watches; their connections stay open."""
        self._watches.clear()

    def watch(
        self,
        key: str,
        version: int,
        until_s: float,
        reply: Reply,
    ) -> None:
        """Adds a watch that ends at a newer version or at `until_s`."""
        self._watches.append(_Watch(key, version, until_s, reply))

    def store(self, key: str, stored: _StoredObject, now_s: float) -> None:
        """Stores an object and answers the watches for older versions."""
        self.objects[key] = stored
        for watch in list(self._watches):
            if watch.key == key and watch.version < stored.version:
                self._watches.remove(watch)
                self.answer(watch.reply, self.build_response(stored), now_s)

    def build_response(
        self, stored: _StoredObject, status: int = STATUS_OK
    ) -> HttpClientResponse:
        """Returns a response with a stored object."""
        headers = {
            ETAG_HEADER: etag_of(stored.version),
            WRITE_ID_HEADER: stored.write_id,
        }
        if self.faults.garbles:
            headers = {ETAG_HEADER: '"garbled'}
        return HttpClientResponse(status, headers, stored.body)

    def answer(
        self, reply: Reply, answer: HttpClientResponse, now_s: float
    ) -> None:
        """Sends the answer, after `slow_s` if that fault is set."""
        if self.faults.slow_s:
            due_s = now_s + self.faults.slow_s
            delayed = (due_s, next(self._delay_order), lambda: reply(answer))
            heappush(self._delayed_answers, delayed)
        else:
            reply(answer)


@methods.register('GET')
def serve_get(
    model: PlatformModel,
    request: HttpClientRequest,
    now_s: float,
    reply: Reply,
) -> None:
    """Answers with an object, or adds a watch for a newer version."""
    parts = urlsplit(request.target)
    key = _key(parts.path)
    stored = model.objects.get(key)
    query = parse_qs(parts.query)
    known = int(query.get('newer_than', ['-1'])[0])
    if known >= 0 and (stored is None or stored.version <= known):
        wait_s = float(query.get('wait_s', ['0'])[0])
        model.watch(key, known, now_s + wait_s, reply)
    elif stored is None:
        model.answer(reply, HttpClientResponse(STATUS_NOT_FOUND, {}), now_s)
    else:
        model.answer(reply, model.build_response(stored), now_s)


@methods.register('PUT')
def serve_put(
    model: PlatformModel,
    request: HttpClientRequest,
    now_s: float,
    reply: Reply,
) -> None:
    """Stores an object if If-Match has the stored version."""
    if len(request.body) > VALUE_BYTES_MAX:
        model.answer(reply, HttpClientResponse(STATUS_TOO_LARGE, {}), now_s)
        return
    key = _key(request.target)
    stored = model.objects.get(key, _StoredObject(0, b'', ''))
    try:
        expected = version_of(request.headers.get('if-match', ''))
    except ValueError:
        model.answer(reply, HttpClientResponse(STATUS_BAD_REQUEST, {}), now_s)
        return
    if stored.version != expected:
        model.answer(
            reply, model.build_response(stored, STATUS_CONFLICT), now_s
        )
        return
    write_id = request.headers.get(WRITE_ID_HEADER, '')
    written = _StoredObject(expected + 1, request.body, write_id)
    model.store(key, written, now_s)
    if model.faults.loses_answers:
        reply(None)
    else:
        model.answer(
            reply, model.build_response(evolve(written, body=b'')), now_s
        )


def _key(path: str) -> str:
    return unquote(path.removeprefix(PATH_PREFIX))


@define(slots=True)
class _Connection:
    http: h11.Connection = field(factory=lambda: h11.Connection(h11.SERVER))
    head: h11.Request | None = None
    body: bytearray = field(factory=bytearray)


class PlatformServer(Child):
    """Serves the model over HTTP/1.1, and the control page.

    `PUT /control` takes the faults as a JSON object, `GET /control` shows
    them with the calls counted so far; neither counts as a call.
    """

    def __init__(self, model: PlatformModel, http: Endpoint) -> None:
        """Binds the listening socket."""
        super().__init__(channel='platform-server')
        self._model = model
        self._connections: dict[Any, _Connection] = {}
        self._server = TCPServer(http.sockaddr(), channel=self.channel)
        self._server.register(self)
        Ticker('platform-model', TICK_PERIOD_S, self._tick).register(self)

    @property
    def endpoint(self) -> Endpoint:
        """Returns the bound address with the port chosen by the kernel."""
        return Endpoint(self._server.host, self._server.port)

    def _tick(self) -> None:
        self._model.tick(monotonic())

    @handler('connect')
    def _on_connect(self, sock: Any, *_address: Any) -> None:
        self._connections[sock] = _Connection()

    @handler('disconnect')
    def _on_disconnect(self, sock: Any) -> None:
        self._connections.pop(sock, None)

    @handler('read')
    def _on_read(self, sock: Any, octets: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        connection.http.receive_data(octets)
        event = connection.http.next_event()
        while not isinstance(event, type):
            if isinstance(event, h11.Request):
                connection.head = event
            elif isinstance(event, h11.Data):
                connection.body += event.data
            else:
                self._serve(sock, connection)
                return
            event = connection.http.next_event()

    def _serve(self, sock: Any, connection: _Connection) -> None:
        head = connection.head
        if head is None:
            return
        headers = {
            name.decode('ascii'): content.decode('latin-1')
            for name, content in head.headers
        }
        request = HttpClientRequest(
            head.method.decode('ascii'),
            head.target.decode('ascii'),
            headers,
            bytes(connection.body),
        )
        if request.target == CONTROL_PATH:
            self._answer(sock, self._control(request))
            return
        self._model.handle(
            request,
            monotonic(),
            lambda answer: self._answer(sock, answer),
        )

    def _control(self, request: HttpClientRequest) -> HttpClientResponse:
        model = self._model
        if request.method == 'PUT':
            model.faults = PlatformFaults(**json.loads(request.body))
        shown = {
            'call_count': model.call_count,
            'watch_count': model.watch_count,
            'is_down': model.faults.is_down,
        }
        return HttpClientResponse(STATUS_OK, {}, json.dumps(shown).encode())

    def _answer(self, sock: Any, answer: HttpClientResponse | None) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if answer is not None:
            self.fire(write(sock, _octets(connection, answer)), self.channel)
        self.fire(close(sock), self.channel)


def _octets(connection: _Connection, answer: HttpClientResponse) -> bytes:
    headers = [*answer.headers.items(), ('connection', 'close')]
    if answer.status != STATUS_NOT_MODIFIED:
        headers.append(('content-length', str(len(answer.body))))
    head = h11.Response(status_code=answer.status, headers=headers)
    return (
        connection.http.send(head)
        + connection.http.send(h11.Data(data=answer.body))
        + connection.http.send(h11.EndOfMessage())
    )


def _run(_arguments: list[str]) -> int:
    endpoint = Endpoint.parse(_HTTP.value)
    faults = PlatformFaults(
        _DOWN.value,
        _SLOW_S.value,
        _LOSES.value,
        _GARBLES.value,
    )
    model = PlatformModel(faults)
    root = Supervisor(
        'platform',
        [ChildSpec('server', lambda: PlatformServer(model, endpoint))],
    )
    EPoll().register(root)
    root.run()
    return 0


if __name__ == '__main__':
    flags.mark_flag_as_required('http')
    app.run(_run)
