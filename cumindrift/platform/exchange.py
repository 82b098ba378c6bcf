"""One call of the platform over HTTP/1.1, its answer collected."""

from collections.abc import Callable

import h11

from cumindrift.address import Endpoint
from cumindrift.exchange import ClientExchange, PlainRequest
from cumindrift.platform.http import PlainAnswer
from cumindrift.platform.store import VALUE_BYTES_MAX

# Takes the answer, or None with whether the request may have been read.
OnEnd = Callable[[PlainAnswer | None, bool], None]


class HttpExchange(ClientExchange):
    """Collects one answer of at most VALUE_BYTES_MAX; used by the link."""

    def __init__(
        self,
        name: str,
        endpoint: Endpoint,
        request: PlainRequest,
        on_end: OnEnd,
    ) -> None:
        """Connects when it is started."""
        super().__init__(name, endpoint, request)
        self._on_answer = on_end
        self._head: h11.Response | None = None
        self._body = bytearray()

    def on_head(self, response: h11.Response) -> None:
        """Keeps status and headers."""
        self._head = response

    def on_data(self, octets: bytes) -> None:
        """Collects the body."""
        self._body += octets
        if len(self._body) > VALUE_BYTES_MAX:
            self.fail()

    def on_end(self) -> None:
        """Hands the answer over."""
        headers = {
            name.decode('ascii'): content.decode('latin-1')
            for name, content in self._head.headers
        }
        answer = PlainAnswer(
            self._head.status_code,
            headers,
            bytes(self._body),
        )
        self._on_answer(answer, True)

    def on_failure(self, *, was_sent: bool) -> None:
        """Hands over that there is no answer."""
        self._on_answer(None, was_sent)
