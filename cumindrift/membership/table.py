"""The member table: the newest record of each member, and tombstones."""

from bisect import bisect_left, insort
from collections import Counter
from enum import Enum, auto
from struct import pack

from attrs import define, evolve, field
from xxhash import xxh3_64_intdigest

from cumindrift.membership.member import GONE_STATES, Claim, Member

BUCKET_COUNT = 128
TOMBSTONE_S = 900.0
TOMBSTONES_MAX = 20_000

_BUCKET_SHIFT = 64 - BUCKET_COUNT.bit_length() + 1


class Taken(Enum):
    """What became of a claim or record."""

    OLD = auto()
    NEW = auto()
    # The claim is newer, but the record that it belongs to is not here.
    MISSING = auto()


@define(frozen=True, slots=True)
class Tombstone:
    """A member that left or died, kept so that old gossip stays old."""

    member: Member
    until_s: float


@define(slots=True, eq=False)
class MemberTable:
    """Holds the newest record of each member; one for each process.

    `ring` are the ids of the live members in order, `sums` one digest for
    each bucket of ids, `group_sizes` the live members by data centre and
    region, `changed` the ids that the next view must look at.
    """

    live: dict[int, Member] = field(factory=dict)
    gone: dict[int, Tombstone] = field(factory=dict)
    ring: list[int] = field(factory=list)
    sums: list[int] = field(factory=lambda: list(bytes(BUCKET_COUNT)))
    group_sizes: Counter[tuple[str, str]] = field(factory=Counter)
    changed: set[int] = field(factory=set)

    def known(self, member_id: int) -> Member | None:
        """Returns the newest record, of a member that is gone too."""
        member = self.live.get(member_id)
        if member is not None:
            return member
        tombstone = self.gone.get(member_id)
        return None if tombstone is None else tombstone.member

    def take_record(self, member: Member, now_s: float) -> Taken:
        """Takes a whole record when it is newer than what is known."""
        known = self.known(member.member_id)
        if known is not None and member.rank <= known.rank:
            return Taken.OLD
        if known is None and member.is_gone:
            return Taken.OLD
        self._put(member, now_s)
        return Taken.NEW

    def take_claim(self, claim: Claim, now_s: float) -> Taken:
        """Takes a claim on a member whose record is known."""
        is_gone = claim.state in GONE_STATES
        known = self.known(claim.member_id)
        if known is None:
            return Taken.OLD if is_gone else Taken.MISSING
        if claim.rank <= known.rank:
            return Taken.OLD
        if claim.incarnation != known.incarnation and not is_gone:
            return Taken.MISSING
        member = evolve(
            known,
            incarnation=claim.incarnation,
            revision=claim.revision,
            state=claim.state,
        )
        self._put(member, now_s)
        return Taken.NEW

    def forget(self, now_s: float) -> None:
        """Forgets tombstones that are old or too many, oldest first."""
        while self.gone:
            oldest = next(iter(self.gone))
            is_due = self.gone[oldest].until_s <= now_s
            if not is_due and len(self.gone) <= TOMBSTONES_MAX:
                return
            self.gone.pop(oldest)

    def successors(self, member_id: int, count: int) -> list[int]:
        """Returns the next live members on the ring after `member_id`."""
        size = len(self.ring)
        start = bisect_left(self.ring, member_id)
        chosen = [
            self.ring[(start + step) % size]
            for step in range(min(count + 1, size))
        ]
        return [other for other in chosen if other != member_id][:count]

    def between(self, first_id: int, last_id: int) -> list[Member]:
        """Returns the live members of a range of ids, both ends included."""
        start = bisect_left(self.ring, first_id)
        end = bisect_left(self.ring, last_id + 1)
        return [self.live[member_id] for member_id in self.ring[start:end]]

    def _put(self, member: Member, now_s: float) -> None:
        member_id = member.member_id
        self.changed.add(member_id)
        former = self.live.pop(member_id, None)
        if former is not None:
            self._account(former, -1)
        # Taken out first, so that the newest tombstone always stands last.
        self.gone.pop(member_id, None)
        if member.is_gone:
            until_s = now_s + TOMBSTONE_S
            self.gone[member_id] = Tombstone(member, until_s)
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
        for group in groups_of(member):
            self.group_sizes[group] += change
        self.sums[bucket_of(member.member_id)] ^= digest_of(member)


def groups_of(member: Member) -> tuple[tuple[str, str], tuple[str, str]]:
    """Returns the groups whose members may fail together."""
    return (
        ('data centre', member.data_centre),
        ('region', member.region),
    )


def bucket_of(member_id: int) -> int:
    """Returns the number of the bucket that an id falls into."""
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
