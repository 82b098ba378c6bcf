"""Anti-entropy: how two members find and send what the other lacks."""

from collections.abc import Iterable, Iterator
from itertools import chain, islice
from struct import error as struct_error
from struct import pack, unpack

from cumindrift.membership.dissemination import UPDATE_COUNT_MAX
from cumindrift.membership.member import Claim, Member
from cumindrift.membership.message import Listing, Records, Sender
from cumindrift.membership.table import (
    BUCKET_COUNT,
    MemberTable,
    bucket_range,
)

# Limit on the messages in answer to one digest; the next exchange sends more.
ANSWER_MESSAGES_MAX = 12

# Limit on the estimated size of the records in one message, and the estimated
# size of a record without its strings.
RECORDS_BYTES_MAX = 1080
RECORD_BYTES_BASE = 112

_SUMS_FORMAT = f'<{BUCKET_COUNT}Q'
_WORD_BYTES = 8


def pack_bucket_sums(table: MemberTable) -> bytes:
    """Returns the checksums of the table's buckets, as sent in a `Digest`."""
    return pack(_SUMS_FORMAT, *table.sums)


def unpack_bucket_sums(octets: bytes) -> list[int]:
    """Returns the checksums of a `Digest`; empty if it is malformed."""
    try:
        return list(unpack(_SUMS_FORMAT, octets))
    except struct_error:
        return []


def differing_buckets(table: MemberTable, sums: list[int]) -> list[int]:
    """Returns the buckets whose checksum differs from the peer's."""
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
    """Returns the messages that a peer with these checksums needs.

    For a differing bucket that is empty at the peer these are its records,
    else a listing, which the peer compares with its own table. At most
    ANSWER_MESSAGES_MAX messages are returned. The caller draws `start`, the
    first bucket, at random, so that no bucket is always left out.
    """
    differing = differing_buckets(table, sums)
    differing.sort(key=lambda bucket: (bucket - start) % BUCKET_COUNT)
    empty = [bucket for bucket in differing if not sums[bucket]]
    wanted = chain.from_iterable(
        table.in_range(*bucket_range(bucket)) for bucket in empty
    )
    listings = chain.from_iterable(
        _listings(table, sender, bucket) for bucket in differing if sums[bucket]
    )
    answers = chain(batch_records(sender, wanted), listings)
    return list(islice(answers, ANSWER_MESSAGES_MAX))


def missing_at_peer(
    table: MemberTable,
    listing: Listing,
) -> tuple[list[Member], list[Claim]]:
    """Returns the records and deaths that the sender of a listing lacks."""
    theirs = {claim.member_id: claim for claim in listing.claims}
    records = [
        member
        for member in table.in_range(listing.first_id, listing.last_id)
        if member.member_id not in theirs
        or member.rank > theirs[member.member_id].rank
    ]
    tombstones = (table.tombstones.get(member_id) for member_id in theirs)
    deaths = [
        tombstone.member.claim()
        for tombstone in tombstones
        if tombstone is not None
        and tombstone.member.rank > theirs[tombstone.member.member_id].rank
    ]
    return records, deaths


def batch_records(
    sender: Sender,
    members: Iterable[Member],
) -> Iterator[Records]:
    """Splits records into messages of bounded size."""
    part: list[Member] = []
    room_bytes = RECORDS_BYTES_MAX
    for member in members:
        room_bytes -= estimated_record_bytes(member)
        if room_bytes < 0 and part:
            yield Records(sender, tuple(part))
            part = []
            room_bytes = RECORDS_BYTES_MAX - estimated_record_bytes(member)
        part.append(member)
    if part:
        yield Records(sender, tuple(part))


def estimated_record_bytes(member: Member) -> int:
    """Returns the approximate encoded size of a record."""
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


def _listings(
    table: MemberTable,
    sender: Sender,
    bucket: int,
) -> list[Listing]:
    first_id, last_id = bucket_range(bucket)
    members = table.in_range(first_id, last_id)
    listings: list[Listing] = []
    while len(members) > UPDATE_COUNT_MAX:
        part, members = members[:UPDATE_COUNT_MAX], members[UPDATE_COUNT_MAX:]
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
