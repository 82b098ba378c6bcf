"""One call of the platform over HTTP/1.1, its answer collected."""

from collections.abc import Callable

from cumindrift.address import Endpoint
from cumindrift.exchange import (
    ClientExchange,
    Headers,
    PlainAnswer,
    PlainRequest,
)

VALUE_BYTES_MAX = 1024 * 1024
# An answer is a page of about 1 MB at most, and what JSON adds.
ANSWER_BYTES_MAX = 4 * VALUE_BYTES_MAX

# Takes the answer, or None with whether the request may have been read.
OnEnd = Callable[[PlainAnswer | None, bool], None]


class HttpExchange(ClientExchange):
    """Collects one answer of at most ANSWER_BYTES_MAX; used by the link."""

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
        self._status = 0
        self._headers: Headers = {}
        self._body = bytearray()

    def on_head(self, status: int, headers: Headers) -> None:
        """Keeps status and headers."""
        self._status = status
        self._headers = headers

    def on_data(self, octets: bytes) -> None:
        """Collects the body."""
        self._body += octets
        if len(self._body) > ANSWER_BYTES_MAX:
            self.fail()

    def on_end(self) -> None:
        """Hands the answer over."""
        answer = PlainAnswer(
            self._status,
            self._headers,
            bytes(self._body),
        )
        self._on_answer(answer, True)

    def on_failure(self, *, was_sent: bool) -> None:
        """Hands over that there is no answer."""
        self._on_answer(None, was_sent)
