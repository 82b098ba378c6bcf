"""Sessions: protocol state of one flow and its requests, without I/O."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.caller.message import (
    MS_PER_S,
    REQUEST_ID_BYTES,
    CloseFlow,
    Open,
    OpenReply,
    Part,
    Request,
    Verdict,
    caller_messages,
    opening_messages,
)
from cumindrift.caller.pending import PendingRequest
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome, Unknown
from cumindrift.registry import Registry
from cumindrift.wire import WireError, decode_frame, encode_frame

OPEN_RETRY_S = 0.3
OPEN_TIMEOUT_S = 5.0
# Unanswered messages are sent again after half to one and a half of this.
RESEND_PERIOD_S = 0.4

# After these verdicts the flow must be opened again.
_AGENT_LOST_CODES = frozenset(
    (ResultCode.FLOW_LOST, ResultCode.OTHER_INCARNATION)
)

OutcomeCallback = Callable[[bytes, Outcome], None]


@define(slots=True)
class Session:
    """Opens a flow, sends requests in it and assembles their responses.

    Used by `cumindrift.caller.client`. Methods return the payloads to send.
    The outcome of each request is passed to `on_outcome` once.
    """

    random: Random
    on_outcome: OutcomeCallback
    incarnation: int = 0
    agent: str = ''
    refusal: ResultCode | None = None
    # The agent's hint how long to wait before a retry.
    retry_after_s: float = 0.0
    _pending: dict[bytes, PendingRequest] = field(factory=dict)
    _open_next_s: float = 0.0
    _open_until_s: float = 0.0
    # The agent's clock minus the caller's, or slightly less.
    _clock_offset_s: float = 0.0
    _abandoned_incarnation: int = 0

    @property
    def is_open(self) -> bool:
        """Whether an agent has accepted the flow."""
        return self.incarnation != 0

    @property
    def pending_count(self) -> int:
        """The number of requests without an outcome."""
        return len(self._pending)

    def open(self, now_s: float) -> list[bytes]:
        """Returns the message that opens the flow."""
        self._open_next_s = now_s + OPEN_RETRY_S * (1 + self.random.random())
        if not self._open_until_s:
            self._open_until_s = now_s + OPEN_TIMEOUT_S
        return [encode_frame(opening_messages, Open())]

    def close(self) -> list[bytes]:
        """Returns the message that closes the flow."""
        return [encode_frame(caller_messages, CloseFlow())]

    def request(
        self,
        request: Request,
        deadline_s: float,
        now_s: float,
    ) -> list[bytes]:
        """Starts a request; sends it at once if the flow is open.

        `request_id` is chosen by the caller and stays the same in retries.
        The fields that depend on the agent and on time are set here.
        """
        pending = PendingRequest(request, deadline_s, now_s)
        self._pending[request.request_id] = pending
        if self.refusal is not None:
            self._complete(request.request_id, NotRun(self.refusal))
            return []
        if not self.is_open:
            return []
        return [self._send_request(pending, now_s)]

    def cancel(self, request_id: bytes) -> list[bytes]:
        """Cancels a request; the agent's reply decides its outcome."""
        pending = self._pending.get(request_id)
        if pending is None:
            return []
        if not pending.is_sent:
            self._complete(request_id, NotRun(ResultCode.CANCELLED))
            return []
        pending.is_cancelled = True
        return [encode_frame(caller_messages, pending.make_cancel())]

    def receive(self, payload: bytes, now_s: float) -> list[bytes]:
        """Processes a datagram from an agent; ignores unknown ones."""
        try:
            message = decode_frame(payload)
        except WireError:
            return []
        if isinstance(message, OpenReply):
            return self._on_open_reply(message, now_s)
        if isinstance(message, Part):
            return self._on_part(message, now_s)
        if isinstance(message, Verdict):
            self._on_verdict(message)
        return []

    def tick(self, now_s: float) -> list[bytes]:
        """Resends unanswered messages and times out requests."""
        payloads: list[bytes] = []
        if not self.is_open and self.refusal is None:
            if not self._open_until_s or now_s < self._open_until_s:
                if now_s >= self._open_next_s:
                    payloads.extend(self.open(now_s))
            else:
                self._refuse(ResultCode.NO_SUCH_FLOW)
        for pending in list(self._pending.values()):
            payloads.extend(self._tick_pending(pending, now_s))
        return payloads

    def _tick_pending(
        self, pending: PendingRequest, now_s: float
    ) -> list[bytes]:
        request_id = pending.request.request_id
        if now_s >= pending.deadline_s:
            self._complete(request_id, pending.timeout_outcome())
            if not pending.is_sent:
                return []
            return [encode_frame(caller_messages, pending.make_cancel())]
        is_idle = not self.is_open and not pending.is_sent
        if is_idle or now_s < pending.next_send_s:
            return []
        if pending.is_cancelled:
            pending.next_send_s = self._resend_time(now_s)
            return self.cancel(request_id)
        if pending.assembler.status:
            return [self._ask_parts(pending, now_s)]
        return [self._send_request(pending, now_s)]

    def _resend_time(self, now_s: float) -> float:
        return now_s + RESEND_PERIOD_S * (0.5 + self.random.random())

    def _send_request(self, pending: PendingRequest, now_s: float) -> bytes:
        pending.next_send_s = self._resend_time(now_s)
        born_ms = int((now_s + self._clock_offset_s) * MS_PER_S)
        message = pending.next_transmission(
            self.incarnation,
            max(0, born_ms),
            now_s,
        )
        return encode_frame(caller_messages, message)

    def _ask_parts(self, pending: PendingRequest, now_s: float) -> bytes:
        pending.next_send_s = self._resend_time(now_s)
        return encode_frame(caller_messages, pending.make_part_ask())

    def _on_open_reply(self, reply: OpenReply, now_s: float) -> list[bytes]:
        if self.is_open:
            return []
        if reply.code != ResultCode.DONE:
            self._refuse(ResultCode(reply.code))
            return []
        if reply.incarnation == self._abandoned_incarnation:
            return []
        self.incarnation = reply.incarnation
        self.agent = reply.agent
        self.refusal = None
        # The reply took some time to arrive, so the offset is slightly low:
        # creation times are never later than the true ones.
        self._clock_offset_s = reply.clock_ms / MS_PER_S - now_s
        return [
            self._send_request(pending, now_s)
            for pending in self._pending.values()
            if not pending.is_sent
        ]

    def _on_part(self, part: Part, now_s: float) -> list[bytes]:
        pending = self._pending.get(part.request_id)
        if pending is None or not pending.assembler.add(part):
            return []
        pending.next_send_s = self._resend_time(now_s)
        assembler = pending.assembler
        if assembler.is_complete:
            self._complete(part.request_id, Done(assembler.response()))
            return [encode_frame(caller_messages, pending.make_acknowledge())]
        if pending.is_window_low():
            return [self._ask_parts(pending, now_s)]
        return []

    def _on_verdict(self, verdict: Verdict) -> None:
        pending = self._pending.get(verdict.request_id)
        if pending is None or not pending.is_sent:
            return
        code = ResultCode(verdict.code)
        if code.name in verdict_handlers:
            outcome = verdict_handlers.get(code.name)(pending, verdict)
        elif code < ResultCode.OUTCOME_UNKNOWN:
            self.retry_after_s = verdict.retry_after_ms / MS_PER_S
            outcome = NotRun(code)
        else:
            outcome = Unknown(code)
        if outcome is None:
            return
        if code in _AGENT_LOST_CODES:
            self._abandon_agent(pending.request.incarnation)
        self._complete(verdict.request_id, outcome)

    def _abandon_agent(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self._abandoned_incarnation = incarnation
            self.incarnation = 0
            self._open_until_s = 0.0

    def _refuse(self, code: ResultCode) -> None:
        self.refusal = code
        for request_id, pending in list(self._pending.items()):
            if not pending.is_sent:
                self._complete(request_id, NotRun(code))

    def _complete(self, request_id: bytes, outcome: Outcome) -> None:
        self._pending.pop(request_id)
        self.on_outcome(request_id, outcome)


def make_request(
    random: Random,
    method: str,
    path: str,
    body: bytes = b'',
    *,
    is_idempotent: bool = False,
) -> Request:
    """Returns a request with a fresh id, ready for `Session.request`."""
    return Request(
        request_id=random.randbytes(REQUEST_ID_BYTES),
        incarnation=0,
        is_idempotent=is_idempotent,
        remaining_ms=0,
        attempt=1,
        method=method,
        path=path,
        body=body,
    )


VerdictHandler = Callable[[PendingRequest, Verdict], Outcome | None]

# Handlers by the name of the verdict's code. One that returns None leaves the
# request pending.
verdict_handlers: Registry[VerdictHandler] = Registry('verdict handler')


@verdict_handlers.register('STILL_RUNNING')
def _handle_still_running(_pending: PendingRequest, _verdict: Verdict) -> None:
    """Leaves the request pending; it is sent again later."""


@verdict_handlers.register('FLOW_LOST')
def _handle_flow_lost(
    pending: PendingRequest, verdict: Verdict
) -> Outcome | None:
    # The reply may come from an agent that got a misrouted copy.
    return (
        Unknown(ResultCode(verdict.code))
        if pending.record_flow_lost()
        else None
    )


@verdict_handlers.register('ANSWER_DROPPED')
def _handle_dropped(
    pending: PendingRequest, verdict: Verdict
) -> Outcome | None:
    # A delayed PartAsk may ask for parts that arrived and were dropped since.
    if pending.assembler.next_number >= verdict.part_number:
        return None
    return Unknown(ResultCode(verdict.code))
