"""The request ledger: what an agent knows of each request id."""

from enum import Enum, unique

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import Request
from cumindrift.code import ResultCode

ENTRY_KEPT_S = 300.0
ENTRIES_MAX = 200_000


@unique
class EntryState(Enum):
    """Where a request stands; it only moves down this list."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    BROKEN = 'broken'
    FORBIDDEN = 'forbidden'


@define(slots=True)
class Entry:
    """One request id, its answer as far as it is there, and who asked."""

    request: Request
    caller: Endpoint
    admitted_s: float
    deadline_s: float
    state: EntryState = EntryState.QUEUED
    code: ResultCode = ResultCode.STILL_RUNNING
    started_s: float = 0.0
    changed_s: float = 0.0
    status: int = 0
    parts: dict[int, bytes] = field(factory=dict)
    tail: bytes = b''
    part_count: int = 0
    asked_until: int = 0


@define(slots=True)
class Ledger:
    """Remembers request ids for ENTRY_KEPT_S; used by the request core."""

    entries: dict[bytes, Entry] = field(factory=dict)

    def expire(self, now_s: float) -> None:
        """Forgets ended entries whose time is over."""
        over = [
            request_id
            for request_id, entry in self.entries.items()
            if entry.state not in {EntryState.QUEUED, EntryState.RUNNING}
            and now_s - entry.changed_s > ENTRY_KEPT_S
        ]
        for request_id in over:
            self.entries.pop(request_id)
