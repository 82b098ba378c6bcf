"""The object store's client without I/O: takes calls, returns actions."""

from collections import deque
from math import inf

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.objects.call import (
    AnswerKind,
    Call,
    CallAction,
    CallAnswer,
    CallKind,
    StartCall,
    StopCall,
)
from cumindrift.objects.rate_limiter import CallRateLimiter
from cumindrift.objects.store import StoreCallback, StoredObject
from cumindrift.outcome import Done, NotRun, Outcome, Refused, Unknown

CALL_TIMEOUT_S = 3.0
# Total time for a read or write, retries included.
DEADLINE_S = 10.0
WATCH_WAIT_S = 30.0
WATCH_TIMEOUT_S = WATCH_WAIT_S + CALL_TIMEOUT_S
QUEUED_MAX = 64


@define(slots=True, eq=False)
class _PendingCall:
    """A call without an outcome; `is_lost` if a write got no response."""

    call_id: int
    call: Call
    on_outcome: StoreCallback
    deadline_s: float
    timeout_s: float = inf
    is_running: bool = False
    is_resolving: bool = False
    is_lost: bool = False
    failure: ResultCode = ResultCode.PLATFORM_DOWN

    @property
    def is_writing(self) -> bool:
        """Whether the current attempt may change the object."""
        return self.call.kind is CallKind.WRITE and not self.is_resolving

    def next_request(self) -> Call:
        """Returns the original call, or the read that resolves it."""
        if self.is_resolving:
            return Call(CallKind.READ, self.call.key)
        return self.call


@define(slots=True, eq=False)
class StoreCore:
    """Starts, times out, retries and resolves calls; one per process.

    A write without a response is resolved by a read: the stored write id
    shows whether the write took effect. If the expected version is still
    stored, the write is sent again, which is safe because it is conditional.
    """

    rate_limiter: CallRateLimiter
    started_count: int = 0
    _last_id: int = 0
    _pending: dict[int, _PendingCall] = field(factory=dict)
    _queue: deque[int] = field(factory=deque)

    def submit(
        self,
        call: Call,
        on_outcome: StoreCallback,
        now_s: float,
    ) -> list[CallAction]:
        """Queues a call; its outcome goes to `on_outcome`, exactly once."""
        if len(self._queue) >= QUEUED_MAX:
            on_outcome(NotRun(ResultCode.PLATFORM_BUDGET, call.key))
            return []
        self._last_id += 1
        call_id = self._last_id
        deadline_s = now_s + DEADLINE_S
        if call.kind is CallKind.WATCH:
            deadline_s = inf
        pending = _PendingCall(call_id, call, on_outcome, deadline_s)
        self._pending[call_id] = pending
        self._queue.append(call_id)
        return self._start_due(now_s)

    def on_answer(
        self,
        call_id: int,
        answer: CallAnswer,
        now_s: float,
    ) -> list[CallAction]:
        """Handles a response; ignored if the call is no longer running."""
        pending = self._pending.get(call_id)
        if pending is None or not pending.is_running:
            return []
        is_malformed = answer.kind is AnswerKind.MALFORMED or (
            answer.stored is None and pending.call.kind is not CallKind.WATCH
        )
        if is_malformed or answer.kind is AnswerKind.FAILED:
            if is_malformed:
                pending.failure = ResultCode.PLATFORM_MALFORMED
            return self.on_failure(call_id, now_s, was_sent=True)
        pending.is_running = False
        self.rate_limiter.on_success()
        outcome = self._resolve(pending, answer)
        if outcome is None:
            self._queue.append(call_id)
        else:
            self._complete(pending, outcome)
        return self._start_due(now_s)

    def on_failure(
        self,
        call_id: int,
        now_s: float,
        *,
        was_sent: bool,
    ) -> list[CallAction]:
        """Handles the end of a call without a usable response."""
        pending = self._pending.get(call_id)
        if pending is None or not pending.is_running:
            return []
        pending.is_running = False
        self.rate_limiter.on_failure(now_s)
        if pending.is_writing and was_sent:
            pending.is_lost = True
            pending.is_resolving = True
        if pending.call.kind is CallKind.WATCH:
            self._complete(pending, NotRun(pending.failure, pending.call.key))
        else:
            self._queue.append(call_id)
        return self._start_due(now_s)

    def tick(self, now_s: float) -> list[CallAction]:
        """Ends calls that have timed out and starts those that are due."""
        actions: list[CallAction] = []
        for pending in list(self._pending.values()):
            if pending.is_running and now_s >= pending.timeout_s:
                pending.failure = ResultCode.PLATFORM_SLOW
                actions.append(StopCall(pending.call_id))
                actions.extend(
                    self.on_failure(pending.call_id, now_s, was_sent=True),
                )
            if now_s >= pending.deadline_s:
                actions.extend(self._expire(pending))
        return actions + self._start_due(now_s)

    @property
    def is_busy(self) -> bool:
        """Whether calls are queued, or calls other than watches are running."""
        return bool(self._queue) or len(self._pending) > self.watch_count

    @property
    def watch_count(self) -> int:
        """The number of running watches."""
        return sum(
            pending.is_running and pending.call.kind is CallKind.WATCH
            for pending in self._pending.values()
        )

    def _start_due(self, now_s: float) -> list[CallAction]:
        actions: list[CallAction] = []
        while self._queue and self.rate_limiter.allow(now_s, self.watch_count):
            pending = self._pending.get(self._queue.popleft())
            if pending is None:
                continue
            pending.is_running = True
            is_watch = pending.call.kind is CallKind.WATCH
            limit_s = WATCH_TIMEOUT_S if is_watch else CALL_TIMEOUT_S
            pending.timeout_s = now_s + limit_s
            self.started_count += 1
            actions.append(StartCall(pending.call_id, pending.next_request()))
        return actions

    def _expire(self, pending: _PendingCall) -> list[CallAction]:
        if pending.call_id not in self._pending:
            return []
        is_unknown = pending.is_lost or (
            pending.is_running and pending.is_writing
        )
        stops = [StopCall(pending.call_id)] if pending.is_running else []
        if is_unknown:
            lost = ResultCode.PLATFORM_ANSWER_LOST
            self._complete(pending, Unknown(lost, pending.call.key))
        else:
            self._complete(pending, NotRun(pending.failure, pending.call.key))
        return stops

    def _complete(self, pending: _PendingCall, outcome: Outcome) -> None:
        self._pending.pop(pending.call_id)
        pending.on_outcome(outcome)

    def _resolve(
        self, pending: _PendingCall, answer: CallAnswer
    ) -> Outcome | None:
        """Returns the outcome, or None if the call has to be sent again."""
        stored = answer.stored
        if pending.call.kind is CallKind.READ:
            return Done(stored)
        if pending.call.kind is CallKind.WATCH:
            is_newer = stored is not None
            is_newer = is_newer and stored.version > pending.call.version
            return Done(stored) if is_newer else None
        if answer.kind is AnswerKind.WRITTEN:
            return Done(stored)
        return _resolve_write(pending, stored, answer.write_id)


def _resolve_write(
    pending: _PendingCall,
    stored: StoredObject,
    write_id: str,
) -> Outcome | None:
    """Returns the outcome of a write by comparing what is stored now.

    None if the write has to be sent again.
    """
    call = pending.call
    if write_id == call.write_id:
        return Done(StoredObject(call.key, stored.version, call.body))
    if stored.version == call.version:
        pending.is_resolving = False
        return None
    if pending.is_lost and stored.version > call.version + 1:
        # The write may have taken effect and then been overwritten.
        return Unknown(ResultCode.PLATFORM_ANSWER_LOST, call.key)
    return Refused(ResultCode.PLATFORM_CONFLICT, call.key)
