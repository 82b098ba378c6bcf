"""Anti-entropy: what two members send each other to become equal."""

from collections.abc import Iterable
from struct import error as struct_error
from struct import pack, unpack

from cumindrift.membership.member import Claim, Member
from cumindrift.membership.message import Listing, Records, Sender
from cumindrift.membership.rumour import NEWS_COUNT_MAX
from cumindrift.membership.table import (
    BUCKET_COUNT,
    MemberTable,
    bucket_range,
)

# One answer is at most this many messages; the next digest asks for more.
ANSWER_MESSAGES_MAX = 12

RECORDS_BYTES_MAX = 1080
RECORD_BYTES_BASE = 112

_SUMS_FORMAT = f'<{BUCKET_COUNT}Q'
_WORD_BYTES = 8


def pack_sums(table: MemberTable) -> bytes:
    """Returns the table's sums as a `Digest` carries them."""
    return pack(_SUMS_FORMAT, *table.sums)


def unpack_sums(octets: bytes) -> list[int]:
    """Returns the sums of a `Digest`; none when it is of another form."""
    try:
        return list(unpack(_SUMS_FORMAT, octets))
    except struct_error:
        return []


def differing_buckets(table: MemberTable, sums: list[int]) -> list[int]:
    """Returns the buckets in which a peer does not have what we have."""
    return [
        bucket
        for bucket, theirs in enumerate(sums)
        if theirs != table.sums[bucket]
    ]


def answer_digest(
    table: MemberTable,
    sender: Sender,
    sums: list[int],
    start: int,
) -> list[Records | Listing]:
    """Returns what a peer with these sums needs, from bucket `start` on.

    Where the peer has nothing it gets whole records, else a listing that
    it compares itself.
    """
    differing = differing_buckets(table, sums)
    ordered = [bucket for bucket in differing if bucket >= start]
    ordered += [bucket for bucket in differing if bucket < start]
    bare = [bucket for bucket in ordered if not sums[bucket]]
    answers: list[Records | Listing] = []
    for bucket in bare:
        answers += records_of(sender, table.between(*bucket_range(bucket)))
        if len(answers) >= ANSWER_MESSAGES_MAX:
            return _joined(sender, answers)
    answers = _joined(sender, answers)
    for bucket in ordered:
        if len(answers) >= ANSWER_MESSAGES_MAX:
            return answers
        if sums[bucket]:
            answers += _listings(table, sender, bucket)
    return answers


def newer_here(
    table: MemberTable,
    listing: Listing,
) -> tuple[list[Member], list[Claim]]:
    """Returns the records and deaths that the listing's sender lacks."""
    theirs = {claim.member_id: claim for claim in listing.claims}
    records = [
        member
        for member in table.between(listing.first_id, listing.last_id)
        if member.member_id not in theirs
        or member.rank > theirs[member.member_id].rank
    ]
    tombstones = (table.gone.get(member_id) for member_id in theirs)
    deaths = [
        tombstone.member.claim()
        for tombstone in tombstones
        if tombstone is not None
        and tombstone.member.rank > theirs[tombstone.member.member_id].rank
    ]
    return records, deaths


def records_of(sender: Sender, members: Iterable[Member]) -> list[Records]:
    """Parts records into messages of bounded size."""
    parts: list[list[Member]] = []
    room_bytes = 0
    for member in members:
        size_bytes = record_bytes(member)
        room_bytes -= size_bytes
        if room_bytes < 0:
            parts.append([])
            room_bytes = RECORDS_BYTES_MAX - size_bytes
        parts[-1].append(member)
    return [Records(sender, tuple(part)) for part in parts]


def record_bytes(member: Member) -> int:
    """Returns about what a record takes in a message."""
    texts = (
        member.name,
        member.role,
        member.region,
        member.data_centre,
        member.team,
        member.service,
        member.endpoint.ip,
    )
    return RECORD_BYTES_BASE + sum(
        _WORD_BYTES * (len(text) // _WORD_BYTES + 1) for text in texts if text
    )


def _joined(sender: Sender, answers: list[Records]) -> list[Records]:
    """Fills messages up that hold one small bucket each."""
    return records_of(
        sender,
        (member for records in answers for member in records.members),
    )


def _listings(
    table: MemberTable,
    sender: Sender,
    bucket: int,
) -> list[Listing]:
    first_id, last_id = bucket_range(bucket)
    members = table.between(first_id, last_id)
    listings: list[Listing] = []
    while len(members) > NEWS_COUNT_MAX:
        part, members = members[:NEWS_COUNT_MAX], members[NEWS_COUNT_MAX:]
        end_id = part[-1].member_id
        listings.append(_listing(sender, first_id, end_id, part))
        first_id = end_id + 1
    listings.append(_listing(sender, first_id, last_id, members))
    return listings


def _listing(
    sender: Sender,
    first_id: int,
    last_id: int,
    members: list[Member],
) -> Listing:
    claims = tuple(member.claim() for member in members)
    return Listing(sender, first_id, last_id, claims)
