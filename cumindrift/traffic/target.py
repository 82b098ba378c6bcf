"""The link to the target: one HTTP/1.1 connection for each request."""

from collections.abc import Callable
from typing import Protocol

from cumindrift.address import Endpoint
from cumindrift.caller.message import Request
from cumindrift.exchange import ClientExchange, Headers, HttpClientRequest
from cumindrift.supervision import Child

_LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))


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


class Exchange(ClientExchange):
    """One request at the target and its answer, passed on as it comes."""

    def __init__(
        self,
        endpoint: Endpoint,
        request: Request,
        remaining_s: float,
        sink: AnswerSink,
        on_over: Callable[[bytes], None],
    ) -> None:
        """Connects when it is started."""
        self._request_id = request.request_id
        name = self._request_id.hex()
        headers = {
            'Idempotency-Key': name,
            'Request-Timeout': f'{remaining_s:.3f}',
        }
        super().__init__(
            name,
            endpoint,
            HttpClientRequest(
                request.method, request.path, headers, request.body
            ),
        )
        self._sink = sink
        self._on_over = on_over

    def on_head(self, status: int, headers: Headers) -> None:
        """Passes the status on."""
        if _LENGTH_HEADERS & headers.keys():
            self._sink.on_head(self._request_id, status)
        else:
            # Ended by closing only: whole and cut answers look alike.
            self.fail()

    def on_data(self, octets: bytes) -> None:
        """Passes a piece of the body on."""
        self._sink.on_body(self._request_id, octets)

    def on_end(self) -> None:
        """Passes the end on."""
        self._sink.on_end(self._request_id)

    def on_failure(self, *, was_sent: bool) -> None:
        """Passes the failure on."""
        self._sink.on_failure(self._request_id, was_sent=was_sent)

    def finish(self) -> None:
        """Closes the connection; the target takes it as cancellation."""
        self._on_over(self._request_id)
        super().finish()


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
        exchange.start()

    def stop_request(self, request_id: bytes) -> None:
        """Breaks off an exchange, if it still runs."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.abort()

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
