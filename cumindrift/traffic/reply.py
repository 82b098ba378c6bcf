"""What the request core decides: its actions and its replies."""

from collections.abc import Iterable
from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.caller.message import Part, Request, Verdict
from cumindrift.code import ResultCode
from cumindrift.traffic.ledger import Entry, EntryState

ALL_PARTS = 2**32 - 1
READ_AHEAD_PARTS = 32
CALLER_QUIET_S = 30.0


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


@define(frozen=True, slots=True)
class Pause:
    """Stop reading the answer of a request from the target."""

    request_id: bytes


@define(frozen=True, slots=True)
class Resume:
    """Go on reading the answer of a request from the target."""

    request_id: bytes


@define(frozen=True, slots=True)
class Ended:
    """A request ended; for metrics."""

    entry: Entry


RequestAction = Reply | Run | Stop | Pause | Resume | Ended


def answer_again(
    entry: Entry,
    caller: Endpoint,
    wanted: int = 0,
) -> list[Reply]:
    """Repeats what is known of a request to a caller that asks again."""
    answer = entry.answer
    if answer is None:
        return [verdict_of(entry, caller)]
    if wanted < answer.first_kept:
        return [_dropped(entry, caller, answer.first_kept)]
    numbers = answer.sendable(0, answer.asked_until)
    return parts_of(entry, caller, numbers) or [verdict_of(entry, caller)]


def verdict_of(
    entry: Entry,
    caller: Endpoint,
    retry_after_ms: int = 0,
) -> Reply:
    """Tells a caller where its request stands."""
    if entry.state is EntryState.DONE and entry.answer is None:
        return _dropped(entry, caller, ALL_PARTS)
    verdict = Verdict(entry.request_id, entry.code, retry_after_ms)
    return Reply(caller, verdict)


def parts_of(
    entry: Entry,
    caller: Endpoint,
    numbers: Iterable[int],
) -> list[Reply]:
    """Returns the parts of these numbers; all of them must be kept."""
    answer = entry.answer
    last = answer.part_count - 1
    is_done = entry.state is EntryState.DONE
    return [
        Reply(
            caller,
            Part(
                entry.request_id,
                number,
                is_done and number == last,
                answer.status,
                answer.parts[number],
            ),
        )
        for number in numbers
    ]


def _dropped(entry: Entry, caller: Endpoint, first_kept: int) -> Reply:
    code = ResultCode.ANSWER_DROPPED
    return Reply(caller, Verdict(entry.request_id, code, 0, first_kept))


def overdue_code(entry: Entry, now_s: float) -> ResultCode | None:
    """Returns why a running request must end now, if it must."""
    if entry.deadline_s <= now_s:
        return ResultCode.DEADLINE_PASSED
    if entry.is_paused and now_s - entry.asked_s > CALLER_QUIET_S:
        return ResultCode.CALLER_QUIET
    return None


def resume_of(entry: Entry) -> list[RequestAction]:
    """Lets a paused answer go on when its caller has caught up."""
    answer = entry.answer
    room = answer.asked_until + READ_AHEAD_PARTS // 2 - answer.part_count
    if not entry.is_paused or room <= 0:
        return []
    entry.is_paused = False
    return [Resume(entry.request_id)]
