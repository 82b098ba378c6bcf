"""Member table: the newest record of each member, and tombstones."""

from bisect import bisect_left, insort
from collections import Counter
from enum import Enum, auto
from struct import pack

from attrs import define, evolve, field
from xxhash import xxh3_64_intdigest

from cumindrift.invariant import require
from cumindrift.membership.member import GONE_STATES, Claim, Member

# Anti-entropy compares one checksum for each range (bucket) of member ids.
BUCKET_COUNT = 128
TOMBSTONE_S = 900.0
TOMBSTONES_MAX = 20_000

_BUCKET_SHIFT = 64 - BUCKET_COUNT.bit_length() + 1


class ApplyResult(Enum):
    """Outcome of applying a claim or record."""

    STALE = auto()
    APPLIED = auto()
    # The claim is newer, but the record that it belongs to is not known.
    RECORD_MISSING = auto()


@define(frozen=True, slots=True)
class Tombstone:
    """A member that left or died, kept to recognise late gossip as stale."""

    member: Member
    until_s: float


@define(slots=True, eq=False)
class MemberTable:
    """Holds the newest record of each member.

    `ring` holds the sorted ids of the live members, `sums` one checksum for
    each bucket of ids, `domain_sizes` the number of live members in each
    data centre and region, and `changed` the ids that changed since the
    last view. There is one instance per process.
    """

    live: dict[int, Member] = field(factory=dict)
    tombstones: dict[int, Tombstone] = field(factory=dict)
    ring: list[int] = field(factory=list)
    sums: list[int] = field(factory=lambda: list(bytes(BUCKET_COUNT)))
    domain_sizes: Counter[tuple[str, str]] = field(factory=Counter)
    changed: set[int] = field(factory=set)

    def known(self, member_id: int) -> Member | None:
        """Returns the newest record of a member, live or gone."""
        member = self.live.get(member_id)
        if member is not None:
            return member
        tombstone = self.tombstones.get(member_id)
        return None if tombstone is None else tombstone.member

    def apply_record(self, member: Member, now_s: float) -> ApplyResult:
        """Stores a record if it is newer than the known one."""
        known = self.known(member.member_id)
        if known is not None and member.rank <= known.rank:
            return ApplyResult.STALE
        if known is None and member.is_gone:
            return ApplyResult.STALE
        self._put(member, now_s)
        return ApplyResult.APPLIED

    def apply_claim(self, claim: Claim, now_s: float) -> ApplyResult:
        """Applies a newer claim to the known record of its member."""
        is_gone = claim.state in GONE_STATES
        known = self.known(claim.member_id)
        if known is None:
            return ApplyResult.STALE if is_gone else ApplyResult.RECORD_MISSING
        if claim.rank <= known.rank:
            return ApplyResult.STALE
        if claim.incarnation != known.incarnation and not is_gone:
            return ApplyResult.RECORD_MISSING
        member = evolve(
            known,
            incarnation=claim.incarnation,
            revision=claim.revision,
            state=claim.state,
        )
        self._put(member, now_s)
        return ApplyResult.APPLIED

    def expire_tombstones(self, now_s: float) -> None:
        """Drops expired and surplus tombstones, oldest first."""
        while self.tombstones:
            oldest = next(iter(self.tombstones))
            is_due = self.tombstones[oldest].until_s <= now_s
            if not is_due and len(self.tombstones) <= TOMBSTONES_MAX:
                return
            self.tombstones.pop(oldest)

    def successors(self, member_id: int, count: int) -> list[int]:
        """Returns the live members that follow `member_id` on the ring."""
        size = len(self.ring)
        start = bisect_left(self.ring, member_id)
        chosen = [
            self.ring[(start + step) % size]
            for step in range(min(count + 1, size))
        ]
        return [other for other in chosen if other != member_id][:count]

    def in_range(self, first_id: int, last_id: int) -> list[Member]:
        """Returns the live members in a range of ids, both ends included."""
        start = bisect_left(self.ring, first_id)
        end = bisect_left(self.ring, last_id + 1)
        return [self.live[member_id] for member_id in self.ring[start:end]]

    def _put(self, member: Member, now_s: float) -> None:
        member_id = member.member_id
        known = self.known(member_id)
        require(
            known is None or member.rank > known.rank,
            'records go up only',
            known=known,
            taken=member,
        )
        self.changed.add(member_id)
        former = self.live.pop(member_id, None)
        if former is not None:
            self._account(former, -1)
        # Removed first, so that the newest tombstone always comes last.
        self.tombstones.pop(member_id, None)
        if member.is_gone:
            until_s = now_s + TOMBSTONE_S
            self.tombstones[member_id] = Tombstone(member, until_s)
            self._leave_ring(member_id, was_live=former is not None)
            return
        self.live[member_id] = member
        self._account(member, 1)
        if former is None:
            insort(self.ring, member_id)

    def _leave_ring(self, member_id: int, *, was_live: bool) -> None:
        if was_live:
            self.ring.pop(bisect_left(self.ring, member_id))

    def _account(self, member: Member, change: int) -> None:
        for domain in failure_domains_of(member):
            self.domain_sizes[domain] += change
        self.sums[bucket_of(member.member_id)] ^= digest_of(member)


def failure_domains_of(
    member: Member,
) -> tuple[tuple[str, str], tuple[str, str]]:
    """Returns the failure domains of a member: they may fail as a whole."""
    return (
        ('data centre', member.data_centre),
        ('region', member.region),
    )


def bucket_of(member_id: int) -> int:
    """Returns the number of the bucket of an id."""
    return member_id >> _BUCKET_SHIFT


def bucket_range(bucket: int) -> tuple[int, int]:
    """Returns the first and the last id of a bucket."""
    return (
        bucket << _BUCKET_SHIFT,
        ((bucket + 1) << _BUCKET_SHIFT) - 1,
    )


def digest_of(member: Member) -> int:
    """Returns the 64-bit digest of a record's rank."""
    return xxh3_64_intdigest(
        pack('<QQIB', member.member_id, *member.rank),
    )
