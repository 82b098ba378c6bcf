"""The request ledger: state and response of every recent request id."""

from collections import deque
from enum import Enum, unique
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import (
    INITIAL_WINDOW_PARTS,
    MS_PER_S,
    PART_BODY_BYTES,
    Request,
)
from cumindrift.code import ResultCode

ENTRY_RETENTION_S = 300.0
ENTRIES_MAX = 50_000
RESPONSE_BYTES_MAX = 16 * 1024 * 1024
# A request may claim to be created this much ahead of the agent's clock.
CLOCK_SLACK_S = 1.0
# Times of an imported incarnation are ahead by the duration of the handover,
# so more is allowed.
IMPORTED_CLOCK_SLACK_S = 60.0
INCARNATION_BITS = 64


@unique
class EntryState(Enum):
    """State of a request; it never goes back to an earlier one.

    ABORTED requests may have run, FORBIDDEN ones did not and never will.
    The values are logged with invariant violations.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    ABORTED = 'broken'
    FORBIDDEN = 'forbidden'


@define(slots=True)
class ResponseBuffer:
    """Buffers the parts of a response that the caller may still ask for.

    Parts are numbered from 0. The caller's window ends before
    `asked_until`; parts below `first_kept` were dropped.
    """

    status: int = 0
    first_kept: int = 0
    part_count: int = 0
    asked_until: int = INITIAL_WINDOW_PARTS
    parts: dict[int, bytes] = field(factory=dict)
    tail: bytes = b''

    def append(self, body: bytes) -> list[int]:
        """Splits body octets into parts; returns the numbers completed."""
        self.tail += body
        first = self.part_count
        while len(self.tail) > PART_BODY_BYTES:
            self._add(self.tail[:PART_BODY_BYTES])
            self.tail = self.tail[PART_BODY_BYTES:]
        return list(range(first, self.part_count))

    def finish(self) -> int:
        """Completes the last part and returns its number."""
        self._add(self.tail)
        self.tail = b''
        return self.part_count - 1

    def drop_before(self, number: int) -> int:
        """Drops the parts below `number`; returns the octets freed."""
        last = min(number, self.part_count)
        freed_bytes = sum(
            len(self.parts.pop(key)) for key in range(self.first_kept, last)
        )
        self.first_kept = max(self.first_kept, last)
        return freed_bytes

    def sendable(self, first: int, last: int) -> range:
        """Returns the numbers of buffered parts in [`first`, `last`)."""
        return range(max(first, self.first_kept), min(last, self.part_count))

    @property
    def size_bytes(self) -> int:
        """The number of octets buffered."""
        return sum(map(len, self.parts.values())) + len(self.tail)

    def _add(self, piece: bytes) -> None:
        self.parts[self.part_count] = piece
        self.part_count += 1


@define(slots=True)
class Entry:
    """One request id with its state, its caller and its response so far.

    `born_s` is the time at which the caller created the request, on the
    agent's clock.
    """

    request_id: bytes
    caller: Endpoint
    born_s: float
    admitted_s: float
    deadline_s: float
    # None once the request has ended.
    request: Request | None = None
    transmission: int = 0
    state: EntryState = EntryState.QUEUED
    code: ResultCode = ResultCode.STILL_RUNNING
    started_s: float | None = None
    ended_s: float = 0.0
    # When the caller last asked for parts, or the response began.
    asked_s: float = 0.0
    is_paused: bool = False
    response: ResponseBuffer | None = None

    @property
    def is_ended(self) -> bool:
        """Whether the request is neither queued nor running."""
        return self.state not in {EntryState.QUEUED, EntryState.RUNNING}

    def update_caller(self, caller: Endpoint, transmission: int) -> None:
        """Updates the caller's address, unless an old copy arrived late."""
        if transmission >= self.transmission:
            self.caller = caller
            self.transmission = transmission


@define(slots=True)
class Ledger:
    """Deduplicates requests; bounded in time, entries and octets.

    Used by the request core. Entries of requests that were created at or
    before the floor may have been dropped, so an unknown id from that time
    must not run. The floor rises with time, and with each entry dropped.
    """

    incarnation: int
    retention_s: float = ENTRY_RETENTION_S
    entries_max: int = ENTRIES_MAX
    response_bytes_max: int = RESPONSE_BYTES_MAX
    entries: dict[bytes, Entry] = field(factory=dict)
    # Ids of complete responses that aren't acknowledged, oldest first.
    unacknowledged: dict[bytes, None] = field(factory=dict)
    # Incarnations that this ledger covers. Their clock plus the offset
    # gives the clock of this agent.
    clock_offsets_s: dict[int, float] = field(factory=dict)
    floor_s: float = float('-inf')
    # The ledger was handed over: from now on another process decides about
    # requests, and this one must not reply any more.
    is_exported: bool = False
    response_bytes: int = 0
    _ended: deque[bytes] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        """Adds the agent's own incarnation."""
        self.clock_offsets_s[self.incarnation] = 0.0

    def refusal_code(
        self,
        incarnation: int,
        born_ms: int,
        now_s: float,
    ) -> ResultCode | None:
        """Returns why a request without an entry must not run, or None."""
        if incarnation not in self.clock_offsets_s:
            return ResultCode.OTHER_INCARNATION
        born_s = self.born_s(incarnation, born_ms)
        floor_s = self.floor_at(now_s)
        is_own = incarnation == self.incarnation
        slack_s = CLOCK_SLACK_S if is_own else IMPORTED_CLOCK_SLACK_S
        if born_s <= floor_s or born_s > now_s + slack_s:
            return ResultCode.ID_EXPIRED
        return None

    def floor_at(self, now_s: float) -> float:
        """Returns the floor: entries created until then may be dropped."""
        return max(self.floor_s, now_s - self.retention_s)

    def born_s(self, incarnation: int, born_ms: int) -> float:
        """Converts a creation time to this agent's clock."""
        return born_ms / MS_PER_S + self.clock_offsets_s[incarnation]

    def update_born(
        self,
        entry: Entry,
        incarnation: int,
        born_ms: int,
    ) -> None:
        """Records a later creation time of a known request id.

        A caller that retries in a new flow keeps the id but takes a new
        creation time. Dropping the entry then raises the floor to the last
        of them, so none of the copies can run again.
        """
        if incarnation in self.clock_offsets_s:
            born_s = self.born_s(incarnation, born_ms)
            entry.born_s = max(entry.born_s, born_s)

    def add(self, entry: Entry) -> None:
        """Adds a new entry."""
        self.entries[entry.request_id] = entry

    def end(
        self,
        entry: Entry,
        state: EntryState,
        code: ResultCode,
        now_s: float,
    ) -> None:
        """Ends a request; only complete responses stay buffered."""
        entry.state = state
        entry.code = code
        entry.ended_s = now_s
        entry.request = None
        entry.is_paused = False
        self._ended.append(entry.request_id)
        if state is EntryState.DONE:
            self.unacknowledged[entry.request_id] = None
            self._evict_responses()
        else:
            self.drop_response(entry)

    def add_response_bytes(self, size_bytes: int) -> None:
        """Adds to the count of buffered octets.

        Drops the oldest responses if the count exceeds its bound.
        """
        self.response_bytes += size_bytes
        self._evict_responses()

    def drop_response(self, entry: Entry) -> None:
        """Drops the buffered response of an entry, if it has one."""
        self.unacknowledged.pop(entry.request_id, None)
        if entry.response is not None:
            self.response_bytes -= entry.response.size_bytes
            entry.response = None

    def expire(self, now_s: float) -> None:
        """Drops ended entries past the retention time or above the bound."""
        while self._ended:
            entry = self.entries[self._ended[0]]
            is_old = entry.ended_s <= now_s - self.retention_s
            if not is_old and len(self.entries) <= self.entries_max:
                return
            self._ended.popleft()
            self._forget(entry)

    def _forget(self, entry: Entry) -> None:
        self.drop_response(entry)
        self.entries.pop(entry.request_id)
        self.floor_s = max(self.floor_s, entry.born_s)

    def _evict_responses(self) -> None:
        while (
            self.response_bytes > self.response_bytes_max
            and self.unacknowledged
        ):
            self.drop_response(self.entries[next(iter(self.unacknowledged))])


def generate_incarnation(random: Random) -> int:
    """Returns a random, unique incarnation number for a new ledger.

    A start time isn't unique: agents that start in the same millisecond
    would accept each other's requests.
    """
    return random.getrandbits(INCARNATION_BITS) or 1
