"""Actions of the request core, and the replies that it sends."""

from collections.abc import Iterable
from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.caller.message import Part, Request, Verdict
from cumindrift.code import ResultCode
from cumindrift.traffic.ledger import Entry, EntryState

# Part number in a verdict that says that no part is buffered any more.
NO_PART_KEPT = 2**32 - 1
# The target is read this many parts ahead of the caller's window.
READ_AHEAD_PARTS = 32
# A paused response is aborted when its caller asks for no part for this long.
CALLER_QUIET_S = 30.0


@define(frozen=True, slots=True)
class Reply:
    """Send a message to a caller."""

    caller: Endpoint
    message: Any


@define(frozen=True, slots=True)
class Run:
    """Send a request to the target, with the time left to its deadline."""

    request: Request
    remaining_s: float


@define(frozen=True, slots=True)
class Stop:
    """Abort a request at the target by closing its connection."""

    request_id: bytes


@define(frozen=True, slots=True)
class Pause:
    """Stop reading the response to a request from the target."""

    request_id: bytes


@define(frozen=True, slots=True)
class Resume:
    """Resume reading the response to a request from the target."""

    request_id: bytes


@define(frozen=True, slots=True)
class Ended:
    """Record the metrics of a request that has ended."""

    entry: Entry


RequestAction = Reply | Run | Stop | Pause | Resume | Ended


def repeat_reply(
    entry: Entry,
    caller: Endpoint,
    wanted: int = 0,
) -> list[Reply]:
    """Replies to a repeated message with the parts or state of its request.

    `wanted` is the first part that the caller asked for.
    """
    response = entry.response
    if response is None:
        return [verdict_reply(entry, caller)]
    if wanted < response.first_kept:
        return [_dropped_reply(entry, caller, response.first_kept)]
    numbers = response.sendable(0, response.asked_until)
    return part_replies(entry, caller, numbers) or [
        verdict_reply(entry, caller)
    ]


def verdict_reply(
    entry: Entry,
    caller: Endpoint,
    retry_after_ms: int = 0,
) -> Reply:
    """Returns a verdict with the state of a request."""
    if entry.state is EntryState.DONE and entry.response is None:
        return _dropped_reply(entry, caller, NO_PART_KEPT)
    verdict = Verdict(entry.request_id, entry.code, retry_after_ms)
    return Reply(caller, verdict)


def part_replies(
    entry: Entry,
    caller: Endpoint,
    numbers: Iterable[int],
) -> list[Reply]:
    """Returns the parts with these numbers; all must be buffered."""
    response = entry.response
    last = response.part_count - 1
    is_done = entry.state is EntryState.DONE
    return [
        Reply(
            caller,
            Part(
                entry.request_id,
                number,
                is_done and number == last,
                response.status,
                response.parts[number],
            ),
        )
        for number in numbers
    ]


def _dropped_reply(entry: Entry, caller: Endpoint, first_kept: int) -> Reply:
    code = ResultCode.ANSWER_DROPPED
    return Reply(caller, Verdict(entry.request_id, code, 0, first_kept))


def overdue_code(entry: Entry, now_s: float) -> ResultCode | None:
    """Returns why a running request must be aborted now, or None."""
    if entry.deadline_s <= now_s:
        return ResultCode.DEADLINE_PASSED
    if entry.is_paused and now_s - entry.asked_s > CALLER_QUIET_S:
        return ResultCode.CALLER_QUIET
    return None


def resume_if_drained(entry: Entry) -> list[RequestAction]:
    """Resumes a paused response once the caller's window has moved on."""
    response = entry.response
    room = response.asked_until + READ_AHEAD_PARTS // 2 - response.part_count
    if not entry.is_paused or room <= 0:
        return []
    entry.is_paused = False
    return [Resume(entry.request_id)]
