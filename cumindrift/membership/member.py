"""Members: every process of the system that others can reach."""

from enum import IntEnum, unique

from attrs import define, field
from xxhash import xxh3_64_intdigest

from cumindrift.address import Endpoint


@unique
class MemberState(IntEnum):
    """The life of a member, in the order in which it may pass."""

    ANNOUNCED = 1
    WARMING = 2
    SERVING = 3
    DRAINING = 4
    LEFT = 5
    DEAD = 6


# States in which a target is a candidate: its records and flows are there.
CANDIDATE_STATES = frozenset(
    (
        MemberState.WARMING,
        MemberState.SERVING,
        MemberState.DRAINING,
    )
)


# States in which a member is in no view any more.
GONE_STATES = frozenset((MemberState.LEFT, MemberState.DEAD))


def member_id_of(name: str) -> int:
    """Returns the 64-bit id of a member's name."""
    return xxh3_64_intdigest(name.encode())


@define(frozen=True, slots=True)
class Claim:
    """A member's state at one revision, without what never changes.

    What a member announces besides stays the same for an incarnation, so
    most news of it is a claim.
    """

    member_id: int
    incarnation: int
    revision: int
    state: MemberState

    @property
    def rank(self) -> tuple[int, int, int]:
        """Returns what orders claims on one member, the newest last."""
        return (self.incarnation, self.revision, self.state)


@define(frozen=True, slots=True)
class Member:
    """What one process announces of itself; views are made of these.

    `incarnation` is the time of the process's start in milliseconds, so a
    later start of the same name always has a higher one. `revision` counts
    what the member itself changed since.
    """

    name: str
    role: str
    region: str
    data_centre: str
    endpoint: Endpoint
    incarnation: int
    revision: int = 0
    state: MemberState = MemberState.SERVING
    team: str = ''
    service: str = ''
    member_id: int = field(default=0)

    def __attrs_post_init__(self) -> None:
        """Derives the id from the name when it is not given."""
        if not self.member_id:
            object.__setattr__(self, 'member_id', member_id_of(self.name))

    @property
    def rank(self) -> tuple[int, int, int]:
        """Returns what orders records of one member, the newest last."""
        return (self.incarnation, self.revision, self.state)

    @property
    def is_gone(self) -> bool:
        """Tells whether the member left or died."""
        return self.state in GONE_STATES

    def claim(self) -> Claim:
        """Returns the part of the record that changes."""
        return Claim(
            self.member_id,
            self.incarnation,
            self.revision,
            self.state,
        )

    def newer_than(self, other: 'Member') -> bool:
        """Tells whether this record replaces `other`."""
        return self.rank > other.rank
