"""The link to the target: one HTTP/1.1 connection for each request."""

from collections.abc import Callable
from typing import Any, Protocol

import h11
from circuits import handler
from circuits.net.events import close, connect, write
from circuits.net.sockets import TCPClient

from cumindrift.address import Endpoint
from cumindrift.caller.message import Request
from cumindrift.port import find_poller
from cumindrift.supervision import Child

_LENGTH_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class AnswerSink(Protocol):
    """What the link tells of a request; the requests front is one."""

    def on_head(self, request_id: bytes, status: int) -> None:
        """Takes the status of the answer."""

    def on_body(self, request_id: bytes, body: bytes) -> None:
        """Takes a piece of the answer."""

    def on_end(self, request_id: bytes) -> None:
        """Takes the end of the answer."""

    def on_failure(self, request_id: bytes, *, was_sent: bool) -> None:
        """Takes the news that there will be no whole answer."""


class Exchange(Child):
    """One request at the target and its answer, then gone."""

    def __init__(
        self,
        endpoint: Endpoint,
        request: Request,
        remaining_s: float,
        sink: AnswerSink,
        on_over: Callable[[bytes], None],
    ) -> None:
        """Connects when registered."""
        super().__init__(channel=f'exchange-{request.request_id.hex()}')
        self._endpoint = endpoint
        self._request = request
        self._remaining_s = remaining_s
        self._sink = sink
        self._on_over = on_over
        self._http = h11.Connection(h11.CLIENT)
        self._was_sent = False
        self._is_over = False
        self._client = TCPClient(channel=self.channel).register(self)

    def pause(self) -> None:
        """Stops reading; the target feels it by its full send buffer."""
        if not self._is_over:
            find_poller(self).removeReader(self._socket())

    def resume(self) -> None:
        """Reads on."""
        if not self._is_over:
            find_poller(self).addReader(self._client, self._socket())

    def break_off(self) -> None:
        """Closes the connection; the target takes it as cancellation."""
        self._finish()

    def release(self) -> None:
        """Closes the connection when the link is restarted."""
        self._fail()

    def _socket(self) -> Any:
        # circuits offers no other way to pause a client.
        return self._client._sock  # noqa: WPS437

    @handler('ready')
    def _on_ready(self, _client: object) -> None:
        self.fire(connect(*self._endpoint.pair()), self.channel)

    @handler('connected')
    def _on_connected(self, _host: str, _port: int) -> None:
        if self._is_over:
            return
        request = self._request
        head = h11.Request(
            method=request.method,
            target=request.path,
            headers=[
                ('Host', str(self._endpoint)),
                ('Content-Length', str(len(request.body))),
                ('Idempotency-Key', request.request_id.hex()),
                ('Request-Timeout', f'{self._remaining_s:.3f}'),
                ('Connection', 'close'),
            ],
        )
        octets = (
            self._http.send(head)
            + self._http.send(h11.Data(data=request.body))
            + self._http.send(h11.EndOfMessage())
        )
        self._was_sent = True
        self.fire(write(octets), self.channel)

    @handler('read')
    def _on_read(self, octets: bytes) -> None:
        self._receive(octets)

    @handler('disconnected')
    def _on_disconnected(self) -> None:
        self._receive(b'')
        self._fail()

    @handler('unreachable', 'error')
    def _on_error(self, *_details: Any) -> None:
        self._fail()

    def _receive(self, octets: bytes) -> None:
        if self._is_over:
            return
        try:
            self._http.receive_data(octets)
            self._read_events()
        except h11.ProtocolError:
            self._fail()

    def _read_events(self) -> None:
        request_id = self._request.request_id
        while not self._is_over:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self._sink.on_body(request_id, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                self._sink.on_end(request_id)
            else:
                self._fail()

    def _on_head(self, response: h11.Response) -> None:
        names = {name for name, _ in response.headers}
        if not names & _LENGTH_HEADERS:
            # Ended by closing only: whole and cut answers look alike.
            self._fail()
            return
        self._sink.on_head(self._request.request_id, response.status_code)

    def _fail(self) -> None:
        if not self._is_over:
            self._finish()
            self._sink.on_failure(
                self._request.request_id,
                was_sent=self._was_sent,
            )

    def _finish(self) -> None:
        if not self._is_over:
            self._is_over = True
            self.fire(close(), self.channel)
            self._on_over(self._request.request_id)
            self.unregister()


class TargetLink(Child):
    """Runs exchanges with the target; a child of the agent's supervisor."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Takes the HTTP address of the target."""
        super().__init__(channel='target-link')
        self.sink: AnswerSink | None = None
        self._endpoint = endpoint
        self._exchanges: dict[bytes, Exchange] = {}

    def run_request(self, request: Request, remaining_s: float) -> None:
        """Starts one exchange."""
        if self.sink is None:
            return
        exchange = Exchange(
            self._endpoint,
            request,
            remaining_s,
            self.sink,
            self._forget,
        )
        self._exchanges[request.request_id] = exchange
        exchange.register(self)

    def stop_request(self, request_id: bytes) -> None:
        """Breaks off an exchange, if it still runs."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.break_off()

    def pause_request(self, request_id: bytes) -> None:
        """Stops reading the answer of a request."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.pause()

    def resume_request(self, request_id: bytes) -> None:
        """Reads the answer of a request on."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.resume()

    def release(self) -> None:
        """Breaks off all exchanges."""
        for exchange in list(self._exchanges.values()):
            exchange.release()

    def _forget(self, request_id: bytes) -> None:
        self._exchanges.pop(request_id, None)
