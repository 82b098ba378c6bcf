"""The request core: runs requests at most once, returns responses in parts."""

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
    Ended,
    Reply,
    RequestAction,
    Run,
    Stop,
    overdue_code,
    part_replies,
    repeat_reply,
    verdict_reply,
)
from cumindrift.traffic.request_queue import QUEUE_MAX, RequestQueue
from cumindrift.traffic.response_sender import ResponseSender

# A planned stop waits this long for the acknowledgement of a response.
DELIVERY_TIMEOUT_S = 10.0
# HTTP status by which a target says that it did not run a request.
STATUS_SHED = 503


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
    _queue: RequestQueue = field(init=False)
    _responses: ResponseSender = field(init=False)
    _running: dict[bytes, Entry] = field(factory=dict)
    _stopping_since_s: float | None = None

    def __attrs_post_init__(self) -> None:
        """Builds the parts, which share ledger and admission."""
        self._responses = ResponseSender(self.ledger)
        self._queue = RequestQueue(
            self.admission,
            self.random,
            self.checks_deadlines,
            self.queue_max,
        )

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
        if not self._queue.can_take(entry, now_s):
            return self._forbid(entry, ResultCode.NO_ROOM, now_s)
        self._queue.add(entry)
        return self.start_next(now_s)

    def on_part_ask(
        self,
        ask: PartAsk,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Sends the parts asked for; drops those before them as received."""
        return self._responses.on_part_ask(ask, caller, now_s)

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
        self._responses.on_acknowledge(message)

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
        """Sends a piece of the response body as soon as a part is complete."""
        entry = self._running.get(request_id)
        if entry is None or entry.response is None:
            return []
        return self._responses.on_body(entry, body)

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
        for request_id in list(self._queue.ids):
            entry = self.ledger.entries[request_id]
            if self._queue.is_too_late(entry, now_s):
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
        queue = self._queue
        while queue.ids and self.admission.may_start(now_s):
            entry = self.ledger.entries[queue.ids[0]]
            if queue.is_too_late(entry, now_s):
                actions.extend(
                    self._forbid(entry, ResultCode.TOO_LATE, now_s),
                )
                continue
            queue.remove(entry)
            actions.append(self._start(entry, now_s))
        return actions

    @property
    def open_count(self) -> int:
        """The number of requests that are queued or running."""
        return len(self._queue.ids) + len(self._running)

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
        for request_id in list(self._queue.ids):
            entry = self.ledger.entries[request_id]
            actions.extend(self._forbid(entry, code, now_s))
        return actions

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
        verdict = verdict_reply(
            entry, entry.caller, self._queue.retry_after_ms()
        )
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
        self._queue.remove(entry)
        self.ledger.end(entry, EntryState.FORBIDDEN, code, now_s)
        return [
            verdict_reply(entry, entry.caller, self._queue.retry_after_ms()),
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
