"""Requests at an agent: admitted, run at most once, answered in parts."""

from collections import deque
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import (
    PART_BODY_BYTES,
    Acknowledge,
    Cancel,
    Part,
    PartAsk,
    Request,
    Verdict,
)
from cumindrift.code import ResultCode
from cumindrift.traffic.admission import Admission
from cumindrift.traffic.ledger import Entry, EntryState, Ledger

PUSH_PARTS = 16
QUEUE_MAX = 16
_MS_PER_S = 1000


@define(frozen=True, slots=True)
class Reply:
    """Send a message to a caller."""

    caller: Endpoint
    message: Any


@define(frozen=True, slots=True)
class Run:
    """Hand a request to the target, with the time that is left for it."""

    request: Request
    remaining_s: float


@define(frozen=True, slots=True)
class Stop:
    """Break off a request at the target by closing its connection."""

    request_id: bytes


RequestAction = Reply | Run | Stop


@define(slots=True)
class RequestCore:
    """Decides for each request message; used by the requests front end."""

    incarnation: int
    admission: Admission
    ledger: Ledger = field(factory=Ledger)
    _queue: deque[bytes] = field(factory=deque)

    def on_request(
        self,
        request: Request,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Runs a request whose id is new; answers again for a known one."""
        entry = self.ledger.entries.get(request.request_id)
        if entry is not None:
            entry.caller = caller
            return self._answer_again(entry)
        if request.incarnation != self.incarnation:
            return [_verdict(request, caller, ResultCode.OTHER_INCARNATION)]
        deadline_s = now_s + request.remaining_ms / _MS_PER_S
        entry = Entry(
            request, caller, now_s, deadline_s, asked_until=PUSH_PARTS
        )
        self.ledger.entries[request.request_id] = entry
        if len(self._queue) >= QUEUE_MAX:
            return [self._forbid(entry, ResultCode.NO_ROOM, now_s)]
        self._queue.append(request.request_id)
        return self._start_next(now_s)

    def on_part_ask(
        self, ask: PartAsk, caller: Endpoint
    ) -> list[RequestAction]:
        """Sends the parts asked for; those before them are dropped."""
        entry = self.ledger.entries.get(ask.request_id)
        if entry is None:
            code = ResultCode.OUTCOME_UNKNOWN
            if ask.incarnation != self.incarnation:
                code = ResultCode.OTHER_INCARNATION
            return [Reply(caller, Verdict(ask.request_id, code, 0))]
        entry.caller = caller
        for number in [key for key in entry.parts if key < ask.first_number]:
            entry.parts.pop(number)
        entry.asked_until = max(
            entry.asked_until,
            ask.first_number + ask.part_count,
        )
        last = min(ask.first_number + ask.part_count, entry.part_count)
        return [
            _part(entry, number)
            for number in range(ask.first_number, last)
            if number in entry.parts
        ]

    def on_cancel(
        self,
        cancel: Cancel,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Forbids an id that has not started, stops one that runs."""
        entry = self.ledger.entries.get(cancel.request_id)
        if entry is None:
            code = ResultCode.OTHER_INCARNATION
            if cancel.incarnation == self.incarnation:
                request = Request(
                    cancel.request_id,
                    self.incarnation,
                    False,
                    0,
                    0,
                    '',
                    '',
                    b'',
                )
                entry = Entry(request, caller, now_s, now_s)
                self.ledger.entries[cancel.request_id] = entry
                return [self._forbid(entry, ResultCode.CANCELLED, now_s)]
            return [Reply(caller, Verdict(cancel.request_id, code, 0))]
        if entry.state is EntryState.QUEUED:
            return [self._forbid(entry, ResultCode.CANCELLED, now_s)]
        if entry.state is EntryState.RUNNING:
            self._end(
                entry, EntryState.BROKEN, ResultCode.OUTCOME_UNKNOWN, now_s
            )
            self.admission.in_flight -= 1
            return [
                Stop(cancel.request_id),
                _verdict(entry.request, caller, entry.code),
                *self._start_next(now_s),
            ]
        return self._answer_again(entry)

    def on_acknowledge(self, message: Acknowledge) -> None:
        """Drops the parts of an answer that its caller has whole."""
        entry = self.ledger.entries.get(message.request_id)
        if entry is not None and entry.state is EntryState.DONE:
            entry.parts.clear()

    def on_body(
        self,
        request_id: bytes,
        status: int,
        body: bytes,
    ) -> list[RequestAction]:
        """Takes a piece of the target's answer."""
        entry = self.ledger.entries.get(request_id)
        if entry is None or entry.state is not EntryState.RUNNING:
            return []
        entry.status = status
        entry.tail += body
        actions: list[RequestAction] = []
        while len(entry.tail) > PART_BODY_BYTES:
            piece = entry.tail[:PART_BODY_BYTES]
            entry.tail = entry.tail[PART_BODY_BYTES:]
            actions.extend(self._add_part(entry, piece))
        return actions

    def on_end(self, request_id: bytes, now_s: float) -> list[RequestAction]:
        """Completes the answer of a request."""
        entry = self.ledger.entries.get(request_id)
        if entry is None or entry.state is not EntryState.RUNNING:
            return []
        self._end(entry, EntryState.DONE, ResultCode.DONE, now_s)
        self.admission.on_good()
        return [
            *self._add_part(entry, entry.tail),
            *self._start_next(now_s),
        ]

    def on_failure(
        self,
        request_id: bytes,
        now_s: float,
        *,
        was_sent: bool,
    ) -> list[RequestAction]:
        """Notes that the target broke off, or was never reached."""
        entry = self.ledger.entries.get(request_id)
        if entry is None or entry.state is not EntryState.RUNNING:
            return []
        self.admission.on_bad()
        if was_sent:
            self._end(entry, EntryState.BROKEN, ResultCode.TARGET_FAILED, now_s)
            verdict = _verdict(entry.request, entry.caller, entry.code)
        else:
            verdict = self._forbid(entry, ResultCode.NO_ROOM, now_s)
        return [verdict, *self._start_next(now_s)]

    def tick(self, now_s: float) -> list[RequestAction]:
        """Refuses what waited too long, stops what runs past its time."""
        actions: list[RequestAction] = []
        for request_id, entry in list(self.ledger.entries.items()):
            if entry.deadline_s > now_s:
                continue
            if entry.state is EntryState.RUNNING:
                self._end(
                    entry,
                    EntryState.BROKEN,
                    ResultCode.DEADLINE_PASSED,
                    now_s,
                )
                self.admission.in_flight -= 1
                actions.append(Stop(request_id))
                actions.append(
                    _verdict(entry.request, entry.caller, entry.code),
                )
        self.ledger.expire(now_s)
        return [*actions, *self._start_next(now_s)]

    @property
    def open_count(self) -> int:
        """Returns the requests that are queued or running."""
        return len(self._queue) + self.admission.in_flight

    def _start_next(self, now_s: float) -> list[RequestAction]:
        actions: list[RequestAction] = []
        while self._queue and self.admission.may_start():
            entry = self.ledger.entries[self._queue.popleft()]
            if entry.state is not EntryState.QUEUED:
                continue
            if entry.deadline_s <= now_s:
                actions.append(self._forbid(entry, ResultCode.TOO_LATE, now_s))
                continue
            entry.state = EntryState.RUNNING
            entry.started_s = now_s
            self.admission.on_start()
            actions.append(Run(entry.request, entry.deadline_s - now_s))
        return actions

    def _answer_again(self, entry: Entry) -> list[RequestAction]:
        if entry.state is EntryState.DONE:
            last = min(entry.asked_until, entry.part_count)
            return [
                _part(entry, number)
                for number in range(last)
                if number in entry.parts
            ]
        return [_verdict(entry.request, entry.caller, entry.code)]

    def _add_part(self, entry: Entry, piece: bytes) -> list[RequestAction]:
        number = entry.part_count
        entry.parts[number] = piece
        entry.part_count += 1
        if number < entry.asked_until:
            return [_part(entry, number)]
        return []

    def _forbid(self, entry: Entry, code: ResultCode, now_s: float) -> Reply:
        self._end(entry, EntryState.FORBIDDEN, code, now_s)
        return _verdict(entry.request, entry.caller, code)

    def _end(
        self,
        entry: Entry,
        state: EntryState,
        code: ResultCode,
        now_s: float,
    ) -> None:
        entry.state = state
        entry.code = code
        entry.changed_s = now_s


def _verdict(request: Request, caller: Endpoint, code: ResultCode) -> Reply:
    return Reply(caller, Verdict(request.request_id, code, 0))


def _part(entry: Entry, number: int) -> Reply:
    is_last = entry.state is EntryState.DONE and number == entry.part_count - 1
    part = Part(
        entry.request.request_id,
        number,
        is_last,
        entry.status,
        entry.parts[number],
    )
    return Reply(entry.caller, part)
