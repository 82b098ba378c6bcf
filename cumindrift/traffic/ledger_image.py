"""Ledger images, which hand a ledger over at a planned agent restart."""

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.caller.message import MS_PER_S
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, Outcome, Refused
from cumindrift.traffic.ledger import (
    Entry,
    EntryState,
    Ledger,
)
from cumindrift.wire import Family, WireError

ledger_images = Family(40, 'ledger.capnp', 'LedgerMessage')

_NO_CALLER = Endpoint('0.0.0.0', 0)  # noqa: S104 - no address


@define(frozen=True, slots=True)
class IncarnationClock:
    """An incarnation whose requests the ledger covers.

    Its clock plus the offset gives the clock of the exporting agent.
    """

    incarnation: int
    offset_ms: int


@define(frozen=True, slots=True)
class EndedRequest:
    """The final state of one request."""

    request_id: bytes
    code: int
    born_ms: int
    ended_ms: int


@ledger_images.message('image')
@define(frozen=True, slots=True)
class LedgerImage:
    """A ledger without responses; times are on the exporting agent's clock."""

    clock_ms: int
    floor_ms: int
    epochs: list[IncarnationClock]
    rows: list[EndedRequest]


def export_ledger(ledger: Ledger, now_s: float) -> bytes:
    """Marks a ledger as exported and returns its image.

    Requests that still run are exported with an unknown outcome.
    """
    ledger.is_exported = True
    floor_s = ledger.floor_at(now_s)
    image = LedgerImage(
        clock_ms=_ms(now_s),
        floor_ms=_ms(floor_s) + 1,
        epochs=[
            IncarnationClock(incarnation, _ms(offset_s))
            for incarnation, offset_s in ledger.clock_offsets_s.items()
        ],
        rows=[
            _ended_request(entry, now_s) for entry in ledger.entries.values()
        ],
    )
    return ledger_images.encode(image)


def import_ledger(ledger: Ledger, octets: bytes, now_s: float) -> Outcome:
    """Imports an image into the ledger of a newly started agent.

    An image may be imported only once and by one agent; the handover code
    ensures that. Entries that the ledger already has are not changed.
    """
    try:
        image: LedgerImage = ledger_images.decode(octets)
    except WireError as error:
        return Refused(ResultCode.MESSAGE_MALFORMED, 'ledger', str(error))
    # The transfer took time, so the true offset is this one or less: requests
    # may look younger than they are, but never older.
    offset_s = now_s - image.clock_ms / MS_PER_S
    for epoch in image.epochs:
        epoch_offset_s = epoch.offset_ms / MS_PER_S + offset_s
        ledger.clock_offsets_s.setdefault(epoch.incarnation, epoch_offset_s)
    ledger.floor_s = max(
        ledger.floor_s,
        image.floor_ms / MS_PER_S + offset_s,
    )
    for row in sorted(image.rows, key=_ended_ms):
        if row.request_id not in ledger.entries:
            _add_ended(ledger, row, offset_s)
    return Done(len(image.rows))


def _ended_request(entry: Entry, now_s: float) -> EndedRequest:
    code = entry.code
    if entry.state is EntryState.DONE:
        code = ResultCode.ANSWER_DROPPED
    elif not entry.is_ended:
        code = ResultCode.OUTCOME_UNKNOWN
    ended_s = entry.ended_s if entry.is_ended else now_s
    return EndedRequest(entry.request_id, code, _ms(entry.born_s), _ms(ended_s))


def _add_ended(ledger: Ledger, row: EndedRequest, offset_s: float) -> None:
    born_s = row.born_ms / MS_PER_S + offset_s
    entry = Entry(row.request_id, _NO_CALLER, born_s, born_s, born_s)
    code = ResultCode(row.code)
    is_forbidden = code < ResultCode.OUTCOME_UNKNOWN
    state = EntryState.FORBIDDEN if is_forbidden else EntryState.ABORTED
    ledger.add(entry)
    ledger.end(entry, state, code, row.ended_ms / MS_PER_S + offset_s)


def _ended_ms(row: EndedRequest) -> int:
    return row.ended_ms


def _ms(moment_s: float) -> int:
    return int(moment_s * MS_PER_S)
