"""Connections to the target: HTTP/1.1, one connection for each request."""

from collections.abc import Callable
from typing import Protocol

from cumindrift.address import Endpoint
from cumindrift.caller.message import Request
from cumindrift.exchange import ClientExchange, Headers, HttpClientRequest
from cumindrift.supervision import Child

_LENGTH_HEADERS = frozenset(('content-length', 'transfer-encoding'))


class ResponseSink(Protocol):
    """Receives the events of a request; `RequestFrontEnd` implements it."""

    def on_head(self, request_id: bytes, status: int) -> None:
        """Receives the status of the response."""

    def on_body(self, request_id: bytes, body: bytes) -> None:
        """Receives a piece of the response body."""

    def on_end(self, request_id: bytes) -> None:
        """Receives the end of the response."""

    def on_failure(self, request_id: bytes, *, was_sent: bool) -> None:
        """Handles a request whose response cannot be completed.

        `was_sent` says whether the target may have read the request.
        """


class TargetExchange(ClientExchange):
    """One request to the target, whose response is streamed to a sink."""

    def __init__(
        self,
        endpoint: Endpoint,
        request: Request,
        remaining_s: float,
        sink: ResponseSink,
        on_finished: Callable[[bytes], None],
    ) -> None:
        """Prepares the request; `start` connects."""
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
        self._on_finished = on_finished

    def on_head(self, status: int, headers: Headers) -> None:
        """Passes the status to the sink."""
        if _LENGTH_HEADERS & headers.keys():
            self._sink.on_head(self._request_id, status)
        else:
            # The body would end with the connection, so a truncated response
            # could not be told from a complete one.
            self.fail()

    def on_data(self, octets: bytes) -> None:
        """Passes a piece of the body to the sink."""
        self._sink.on_body(self._request_id, octets)

    def on_end(self) -> None:
        """Passes the end of the response to the sink."""
        self._sink.on_end(self._request_id)

    def on_failure(self, *, was_sent: bool) -> None:
        """Passes the failure to the sink."""
        self._sink.on_failure(self._request_id, was_sent=was_sent)

    def finish(self) -> None:
        """Closes the connection; the target treats that as cancellation."""
        self._on_finished(self._request_id)
        super().finish()


class TargetLink(Child):
    """Sends requests to the target; a child of the agent's supervisor."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Takes the HTTP address of the target."""
        super().__init__(channel='target-link')
        self.sink: ResponseSink | None = None
        self._endpoint = endpoint
        self._exchanges: dict[bytes, TargetExchange] = {}

    def run_request(self, request: Request, remaining_s: float) -> None:
        """Sends a request in an exchange of its own."""
        if self.sink is None:
            return
        exchange = TargetExchange(
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
        """Aborts a request, if it still runs."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.abort()

    def pause_request(self, request_id: bytes) -> None:
        """Stops reading the response to a request."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.pause()

    def resume_request(self, request_id: bytes) -> None:
        """Resumes reading the response to a request."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.resume()

    def release(self) -> None:
        """Ends all exchanges and reports their requests as failed."""
        for exchange in list(self._exchanges.values()):
            exchange.release()

    def _forget(self, request_id: bytes) -> None:
        self._exchanges.pop(request_id, None)
