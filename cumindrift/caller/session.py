"""Sessions: one flow of a caller and its requests, without I/O."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, evolve, field

from cumindrift.caller.answer import Assembly
from cumindrift.caller.message import (
    Acknowledge,
    Cancel,
    CloseFlow,
    Open,
    OpenReply,
    Part,
    PartAsk,
    Request,
    Verdict,
    caller,
    opening,
)
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome, Unknown
from cumindrift.wire import WireError, decode_frame, encode_frame

OPEN_RETRY_S = 0.3
OPEN_TIMEOUT_S = 5.0
QUIET_S = 0.4
WINDOW_PARTS = 32
REQUEST_ID_BYTES = 16
_MS_PER_S = 1000

OutcomeSink = Callable[[bytes, Outcome], None]


@define(slots=True)
class Pending:
    """A request whose outcome is not known yet."""

    request: Request
    deadline_s: float
    next_s: float
    is_sent: bool = False
    is_cancelled: bool = False
    assembly: Assembly = field(factory=Assembly)
    asked_until: int = 0


@define(slots=True)
class Session:
    """Opens a flow, sends requests in it and puts answers together.

    Used by `cumindrift.caller.client`. Every method returns the payloads
    to send; outcomes go to `on_outcome`, once for each request.
    """

    random: Random
    on_outcome: OutcomeSink
    incarnation: int = 0
    agent: str = ''
    refusal: ResultCode | None = None
    _pending: dict[bytes, Pending] = field(factory=dict)
    _open_next_s: float = 0.0
    _open_until_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether an agent holds the flow."""
        return self.incarnation != 0

    def open(self, now_s: float) -> list[bytes]:
        """Returns the opening message."""
        self._open_next_s = now_s + OPEN_RETRY_S * (1 + self.random.random())
        if not self._open_until_s:
            self._open_until_s = now_s + OPEN_TIMEOUT_S
        return [encode_frame(opening, Open())]

    def close(self) -> list[bytes]:
        """Returns the closing message."""
        return [encode_frame(caller, CloseFlow())]

    def request(
        self,
        request: Request,
        deadline_s: float,
        now_s: float,
    ) -> list[bytes]:
        """Starts a request; it is sent at once if the flow is open.

        `request_id` is the caller's own and stays the same in retries;
        the fields incarnation and remaining_ms are filled in here.
        """
        pending = Pending(request, deadline_s, now_s)
        self._pending[request.request_id] = pending
        if not self.is_open:
            return []
        return [self._send_request(pending, now_s)]

    def cancel(self, request_id: bytes) -> list[bytes]:
        """Asks the agent to stop a request; the verdict tells the rest."""
        pending = self._pending.get(request_id)
        if pending is None:
            return []
        if not pending.is_sent:
            self._settle(request_id, NotRun(ResultCode.CANCELLED))
            return []
        pending.is_cancelled = True
        return [encode_frame(caller, Cancel(request_id, self.incarnation))]

    def receive(self, payload: bytes, now_s: float) -> list[bytes]:
        """Takes a datagram from an agent; strange ones change nothing."""
        try:
            message = decode_frame(payload)
        except WireError:
            return []
        if isinstance(message, OpenReply):
            return self._on_open_reply(message, now_s)
        if isinstance(message, Part):
            return self._on_part(message, now_s)
        if isinstance(message, Verdict):
            self._on_verdict(message, now_s)
        return []

    def tick(self, now_s: float) -> list[bytes]:
        """Repeats what went unanswered and ends what is out of time."""
        payloads: list[bytes] = []
        if not self.is_open and self.refusal is None:
            if now_s >= self._open_until_s:
                self._refuse_all(ResultCode.NO_SUCH_FLOW)
            elif now_s >= self._open_next_s:
                payloads.extend(self.open(now_s))
        for pending in list(self._pending.values()):
            payloads.extend(self._tick_pending(pending, now_s))
        return payloads

    @property
    def pending_count(self) -> int:
        """The number of requests without an outcome."""
        return len(self._pending)

    def _tick_pending(self, pending: Pending, now_s: float) -> list[bytes]:
        request_id = pending.request.request_id
        if now_s >= pending.deadline_s:
            self._settle(request_id, self._late(pending))
            if not pending.is_sent:
                return []
            return [encode_frame(caller, Cancel(request_id, self.incarnation))]
        if not self.is_open or now_s < pending.next_s:
            return []
        if pending.is_cancelled:
            pending.next_s = self._quiet_until(now_s)
            return self.cancel(request_id)
        if pending.assembly.status:
            return [self._ask(pending, now_s)]
        return [self._send_request(pending, now_s)]

    def _late(self, pending: Pending) -> Outcome:
        if pending.is_sent:
            return Unknown(ResultCode.DEADLINE_PASSED)
        return NotRun(ResultCode.TOO_LATE)

    def _quiet_until(self, now_s: float) -> float:
        return now_s + QUIET_S * (0.5 + self.random.random())

    def _send_request(self, pending: Pending, now_s: float) -> bytes:
        pending.is_sent = True
        pending.next_s = self._quiet_until(now_s)
        pending.request = evolve(
            pending.request,
            incarnation=pending.request.incarnation or self.incarnation,
            remaining_ms=int((pending.deadline_s - now_s) * _MS_PER_S),
            attempt=pending.request.attempt + 1,
        )
        return encode_frame(caller, pending.request)

    def _ask(self, pending: Pending, now_s: float) -> bytes:
        first = pending.assembly.next_number
        pending.asked_until = first + WINDOW_PARTS
        pending.next_s = self._quiet_until(now_s)
        ask = PartAsk(
            pending.request.request_id,
            pending.request.incarnation,
            first,
            WINDOW_PARTS,
        )
        return encode_frame(caller, ask)

    def _on_open_reply(self, reply: OpenReply, now_s: float) -> list[bytes]:
        if reply.code != ResultCode.DONE:
            if not self.is_open:
                self._refuse_all(ResultCode(reply.code))
            return []
        if self.is_open:
            return []
        self.incarnation = reply.incarnation
        self.agent = reply.agent
        return [
            self._send_request(pending, now_s)
            for pending in self._pending.values()
        ]

    def _on_part(self, part: Part, now_s: float) -> list[bytes]:
        pending = self._pending.get(part.request_id)
        if pending is None or not pending.assembly.add(part):
            return []
        pending.next_s = self._quiet_until(now_s)
        assembly = pending.assembly
        if assembly.is_whole:
            self._settle(part.request_id, Done(assembly.answer()))
            acknowledge = Acknowledge(
                part.request_id,
                pending.request.incarnation,
            )
            return [encode_frame(caller, acknowledge)]
        half = WINDOW_PARTS // 2
        if assembly.next_number + half >= max(pending.asked_until, half + 1):
            return [self._ask(pending, now_s)]
        return []

    def _on_verdict(self, verdict: Verdict, now_s: float) -> None:
        pending = self._pending.get(verdict.request_id)
        if pending is None:
            return
        code = ResultCode(verdict.code)
        if code is ResultCode.STILL_RUNNING:
            pending.next_s = self._quiet_until(now_s)
        elif code < ResultCode.OUTCOME_UNKNOWN:
            self._settle(verdict.request_id, NotRun(code))
        else:
            self._settle(verdict.request_id, Unknown(code))

    def _refuse_all(self, code: ResultCode) -> None:
        self.refusal = code
        for request_id in list(self._pending):
            self._settle(request_id, NotRun(code))

    def _settle(self, request_id: bytes, outcome: Outcome) -> None:
        self._pending.pop(request_id)
        self.on_outcome(request_id, outcome)


def make_request(
    random: Random,
    method: str,
    path: str,
    body: bytes = b'',
    *,
    is_idempotent: bool = False,
) -> Any:
    """Returns a request with a fresh id, ready for `Session.request`."""
    return Request(
        request_id=random.randbytes(REQUEST_ID_BYTES),
        incarnation=0,
        is_idempotent=is_idempotent,
        remaining_ms=0,
        attempt=0,
        method=method,
        path=path,
        body=body,
    )
