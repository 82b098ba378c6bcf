"""The request core: runs requests at most once, returns responses in parts."""

from collections import deque
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import (
    MS_PER_S,
    REQUEST_ID_BYTES,
    Acknowledge,
    Cancel,
    PartAsk,
    Request,
    Verdict,
)
from cumindrift.code import ResultCode
from cumindrift.invariant import require
from cumindrift.traffic.admission import AdmissionController
from cumindrift.traffic.ledger import (
    Entry,
    EntryState,
    Ledger,
    ResponseBuffer,
)
from cumindrift.traffic.request_action import (
    READ_AHEAD_PARTS,
    Ended,
    Pause,
    Reply,
    RequestAction,
    Run,
    Stop,
    overdue_code,
    part_replies,
    repeat_reply,
    resume_if_drained,
    verdict_reply,
)

QUEUE_MAX = 16
# A planned stop waits this long for the acknowledgement of a response.
DELIVERY_TIMEOUT_S = 10.0
# HTTP status by which a target says that it did not run a request.
STATUS_SHED = 503
RETRY_AFTER_MIN_S = 0.05


@define(slots=True)
class RequestCore:
    """Decides about each caller message and target event, without I/O.

    Used by `RequestFrontEnd`, which carries out the actions returned.
    """

    ledger: Ledger
    admission: AdmissionController
    random: Random
    checks_deadlines: bool = True
    queue_max: int = QUEUE_MAX
    _queue: deque[bytes] = field(factory=deque)
    _running: dict[bytes, Entry] = field(factory=dict)
    _stopping_since_s: float | None = None

    def on_request(
        self,
        request: Request,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Queues a new request; repeats the reply to a known one."""
        if self.ledger.is_exported:
            return []
        entry = self.ledger.entries.get(request.request_id)
        if entry is not None:
            entry.update_caller(caller, request.transmission)
            self.ledger.update_born(entry, request.incarnation, request.born_ms)
            return repeat_reply(entry, caller)
        code = self._refusal_code(request, now_s)
        if code is not None:
            return [Reply(caller, Verdict(request.request_id, code))]
        entry = self._admit(request, caller, now_s)
        if self._stopping_since_s is not None:
            return self._forbid(entry, ResultCode.STOPPING, now_s)
        if not self._can_queue(entry, now_s):
            return self._forbid(entry, ResultCode.NO_ROOM, now_s)
        self._queue.append(request.request_id)
        return self.start_next(now_s)

    def on_part_ask(
        self,
        ask: PartAsk,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Sends the parts asked for; drops those before them as received."""
        entry = self.ledger.entries.get(ask.request_id)
        if self.ledger.is_exported:
            return []
        if entry is None:
            code = ResultCode.OUTCOME_UNKNOWN
            if ask.incarnation not in self.ledger.clock_offsets_s:
                code = ResultCode.OTHER_INCARNATION
            return [Reply(caller, Verdict(ask.request_id, code))]
        response = entry.response
        if response is None or ask.first_number < response.first_kept:
            return repeat_reply(entry, caller, ask.first_number)
        entry.caller = caller
        entry.asked_s = now_s
        until = ask.first_number + ask.part_count
        self.ledger.add_response_bytes(-response.drop_before(ask.first_number))
        response.asked_until = max(response.asked_until, until)
        actions = part_replies(entry, caller, response.sendable(0, until))
        return [*actions, *resume_if_drained(entry)] or [
            verdict_reply(entry, caller)
        ]

    def on_cancel(
        self,
        cancel: Cancel,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Cancels a request: forbids it, or aborts it if it runs.

        An unknown id is forbidden too, so that a copy of the request that
        arrives after its cancellation does not run.
        """
        if self.ledger.is_exported:
            return []
        entry = self.ledger.entries.get(cancel.request_id)
        if entry is None:
            return self._cancel_unknown(cancel, caller, now_s)
        self.ledger.update_born(entry, cancel.incarnation, cancel.born_ms)
        if entry.state is EntryState.QUEUED:
            return self._forbid(entry, ResultCode.CANCELLED, now_s)
        if entry.state is EntryState.RUNNING:
            return [
                *self._abort(entry, ResultCode.OUTCOME_UNKNOWN, now_s),
                *self.start_next(now_s),
            ]
        return repeat_reply(entry, caller)

    def on_acknowledge(self, message: Acknowledge) -> None:
        """Drops a response that its caller has received completely."""
        entry = self.ledger.entries.get(message.request_id)
        if entry is not None and entry.state is EntryState.DONE:
            self.ledger.drop_response(entry)

    def on_head(
        self,
        request_id: bytes,
        status: int,
        now_s: float,
    ) -> list[RequestAction]:
        """Processes the status of the target's response.

        With 503 the target says that it did not run the request.
        """
        entry = self._running.get(request_id)
        if entry is None:
            return []
        if status == STATUS_SHED:
            actions = self._shed(entry, ResultCode.TARGET_SHED, now_s)
            return [Stop(request_id), *actions]
        self.admission.on_head(request_id, now_s)
        entry.response = ResponseBuffer(status)
        entry.asked_s = now_s
        return []

    def on_body(self, request_id: bytes, body: bytes) -> list[RequestAction]:
        """Buffers a piece of the response body and sends complete parts.

        Reading from the target pauses when too many parts wait for the
        caller.
        """
        entry = self._running.get(request_id)
        if entry is None or entry.response is None:
            return []
        response = entry.response
        numbers = response.append(body)
        self.ledger.add_response_bytes(len(body))
        actions = part_replies(
            entry,
            entry.caller,
            [number for number in numbers if number < response.asked_until],
        )
        is_ahead = (
            response.part_count >= response.asked_until + READ_AHEAD_PARTS
        )
        if is_ahead and not entry.is_paused:
            entry.is_paused = True
            actions.append(Pause(request_id))
        return actions

    def on_end(self, request_id: bytes, now_s: float) -> list[RequestAction]:
        """Completes the response to a request."""
        entry = self._running.get(request_id)
        if entry is None or entry.response is None:
            return []
        last = entry.response.finish()
        caller = entry.caller
        wanted = [last] if last < entry.response.asked_until else []
        self._finish(entry, EntryState.DONE, ResultCode.DONE, now_s)
        parts = part_replies(entry, caller, wanted) if entry.response else []
        return [*parts, Ended(entry), *self.start_next(now_s)]

    def on_failure(
        self,
        request_id: bytes,
        now_s: float,
        *,
        was_sent: bool,
    ) -> list[RequestAction]:
        """Ends a request whose target failed or could not be reached."""
        entry = self._running.get(request_id)
        if entry is None:
            return []
        if not was_sent:
            return self._shed(entry, ResultCode.NOT_SENT, now_s)
        self.admission.on_failure(now_s)
        actions = self._abort(entry, ResultCode.TARGET_FAILED, now_s)
        return [*actions[1:], *self.start_next(now_s)]

    def tick(self, now_s: float) -> list[RequestAction]:
        """Refuses queued and aborts running requests past their deadline."""
        actions: list[RequestAction] = []
        self.admission.check_overdue(now_s)
        for entry in list(self._running.values()):
            code = overdue_code(entry, now_s)
            if code is not None and self.checks_deadlines:
                actions.extend(self._abort(entry, code, now_s))
        for request_id in list(self._queue):
            entry = self.ledger.entries[request_id]
            if self._is_too_late(entry, now_s):
                actions.extend(
                    self._forbid(entry, ResultCode.TOO_LATE, now_s),
                )
        self.ledger.expire(now_s)
        return [*actions, *self.start_next(now_s)]

    def stop(self, now_s: float) -> list[RequestAction]:
        """Begins a planned stop: refuses new and all queued requests."""
        if self._stopping_since_s is not None:
            return []
        self._stopping_since_s = now_s
        return self._refuse_queue(ResultCode.STOPPING, now_s)

    def abort_all(self, now_s: float) -> list[RequestAction]:
        """Aborts all work because the data centre was taken out.

        Queued requests are refused as not run. Running ones are aborted, so
        that no request reaches the target any more. Afterwards the target
        counts as cold.
        """
        actions = self._refuse_queue(ResultCode.DATA_CENTRE_OUT, now_s)
        for entry in list(self._running.values()):
            broken = self._abort(entry, ResultCode.OUTCOME_UNKNOWN, now_s)
            actions.extend(broken)
        self.admission.on_failure(now_s)
        return actions

    def has_stopped(self, now_s: float) -> bool:
        """Returns whether a planned stop is complete.

        That is so when no request runs and every response is acknowledged
        or has waited DELIVERY_TIMEOUT_S for it.
        """
        if self._stopping_since_s is None or self._running:
            return False
        ledger = self.ledger
        return not any(
            now_s - ledger.entries[request_id].ended_s < DELIVERY_TIMEOUT_S
            for request_id in ledger.unacknowledged
        )

    def start_next(self, now_s: float) -> list[RequestAction]:
        """Starts queued requests while the target has free slots.

        Requests that can't meet their deadline any more are refused.
        """
        actions: list[RequestAction] = []
        while self._queue and self.admission.may_start(now_s):
            entry = self.ledger.entries[self._queue[0]]
            if self._is_too_late(entry, now_s):
                actions.extend(
                    self._forbid(entry, ResultCode.TOO_LATE, now_s),
                )
                continue
            self._queue.popleft()
            actions.append(self._start(entry, now_s))
        return actions

    @property
    def open_count(self) -> int:
        """The number of requests that are queued or running."""
        return len(self._queue) + len(self._running)

    def _refusal_code(
        self, request: Request, now_s: float
    ) -> ResultCode | None:
        if len(request.request_id) != REQUEST_ID_BYTES:
            return ResultCode.BAD_REQUEST
        return self.ledger.refusal_code(
            request.incarnation,
            request.born_ms,
            now_s,
        )

    def _admit(
        self,
        request: Request,
        caller: Endpoint,
        now_s: float,
    ) -> Entry:
        entry = Entry(
            request.request_id,
            caller,
            self.ledger.born_s(request.incarnation, request.born_ms),
            now_s,
            now_s + request.remaining_ms / MS_PER_S,
            request,
            request.transmission,
        )
        self.ledger.add(entry)
        return entry

    def _refuse_queue(
        self,
        code: ResultCode,
        now_s: float,
    ) -> list[RequestAction]:
        actions: list[RequestAction] = []
        for request_id in list(self._queue):
            entry = self.ledger.entries[request_id]
            actions.extend(self._forbid(entry, code, now_s))
        return actions

    def _can_queue(self, entry: Entry, now_s: float) -> bool:
        if len(self._queue) >= self.queue_max:
            return False
        return not self.checks_deadlines or (
            now_s + self._expected_wait_s() < entry.deadline_s
        )

    def _expected_wait_s(self) -> float:
        admission = self.admission
        turns = (len(self._queue) + 1) / admission.limit
        return turns * admission.expected_response_s()

    def _is_too_late(self, entry: Entry, now_s: float) -> bool:
        due_s = now_s + self.admission.expected_response_s()
        return self.checks_deadlines and due_s >= entry.deadline_s

    def _start(self, entry: Entry, now_s: float) -> Run:
        require(
            entry.state is EntryState.QUEUED and entry.started_s is None,
            'request-runs-once',
            request_id=entry.request_id.hex(),
            state=entry.state.value,
        )
        entry.state = EntryState.RUNNING
        entry.started_s = now_s
        self._running[entry.request_id] = entry
        self.admission.on_start(entry.request_id, now_s)
        return Run(entry.request, entry.deadline_s - now_s)

    def _cancel_unknown(
        self,
        cancel: Cancel,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        request_id = cancel.request_id
        code = self.ledger.refusal_code(
            cancel.incarnation, cancel.born_ms, now_s
        )
        if code is not None:
            return [Reply(caller, Verdict(request_id, code))]
        born_s = self.ledger.born_s(cancel.incarnation, cancel.born_ms)
        entry = Entry(request_id, caller, born_s, now_s, now_s)
        self.ledger.add(entry)
        return self._forbid(entry, ResultCode.CANCELLED, now_s)

    def _shed(
        self,
        entry: Entry,
        code: ResultCode,
        now_s: float,
    ) -> list[RequestAction]:
        # The only place where a request sent to the target ends as "not run":
        # the target refused it or was never reached.
        require(
            entry.response is None,
            'shed-before-answer',
            request_id=entry.request_id.hex(),
        )
        self.admission.on_failure(now_s)
        self._finish(entry, EntryState.FORBIDDEN, code, now_s)
        verdict = verdict_reply(entry, entry.caller, self._retry_after_ms())
        return [verdict, Ended(entry), *self.start_next(now_s)]

    def _forbid(
        self,
        entry: Entry,
        code: ResultCode,
        now_s: float,
    ) -> list[RequestAction]:
        require(
            entry.started_s is None,
            'not-run-is-true',
            request_id=entry.request_id.hex(),
        )
        if entry.request_id in self._queue:
            self._queue.remove(entry.request_id)
        self.ledger.end(entry, EntryState.FORBIDDEN, code, now_s)
        return [
            verdict_reply(entry, entry.caller, self._retry_after_ms()),
            Ended(entry),
        ]

    def _abort(
        self,
        entry: Entry,
        code: ResultCode,
        now_s: float,
    ) -> list[RequestAction]:
        if code is ResultCode.DEADLINE_PASSED:
            self.admission.on_timeout(entry.request_id, now_s)
        self._finish(entry, EntryState.ABORTED, code, now_s)
        verdict = verdict_reply(entry, entry.caller)
        return [Stop(entry.request_id), verdict, Ended(entry)]

    def _finish(
        self,
        entry: Entry,
        state: EntryState,
        code: ResultCode,
        now_s: float,
    ) -> None:
        self._running.pop(entry.request_id)
        self.admission.on_finished(entry.request_id)
        self.ledger.end(entry, state, code, now_s)

    def _retry_after_ms(self) -> int:
        wait_s = max(RETRY_AFTER_MIN_S, self._expected_wait_s())
        return int(wait_s * MS_PER_S * (0.5 + self.random.random()))
