"""Members: the processes that take part in the membership protocol."""

from enum import IntEnum, unique

from attrs import define, field
from xxhash import xxh3_64_intdigest

from cumindrift.address import Endpoint


@unique
class MemberState(IntEnum):
    """Lifecycle of a member; at one revision, the later state wins."""

    ANNOUNCED = 1
    WARMING = 2
    SERVING = 3
    DRAINING = 4
    LEFT = 5
    DEAD = 6


# States in which a target is a candidate for flows: it has its flows and
# records, also while it drains.
CANDIDATE_STATES = frozenset(
    (
        MemberState.WARMING,
        MemberState.SERVING,
        MemberState.DRAINING,
    )
)


# States in which a member is removed from all views.
GONE_STATES = frozenset((MemberState.LEFT, MemberState.DEAD))


def member_id_of(name: str) -> int:
    """Returns the 64-bit id of a member's name."""
    return xxh3_64_intdigest(name.encode())


@define(frozen=True, slots=True)
class Claim:
    """A statement about a member: its state at one revision.

    The other fields of a record never change within an incarnation, so most
    updates are claims.
    """

    member_id: int
    incarnation: int
    revision: int
    state: MemberState

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of the claims on one member; the newest is highest."""
        return (self.incarnation, self.revision, self.state)


@define(frozen=True, slots=True)
class Member:
    """The record that a process announces about itself; views hold these.

    `incarnation` is the start time of the process in milliseconds, so that
    a later process of the same name has a higher one. `revision` counts the
    changes that the member itself announced since its start; it also rises
    to refute a suspicion, as the incarnation number does in SWIM.
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
        """Derives the id from the name if it is not given."""
        if not self.member_id:
            object.__setattr__(self, 'member_id', member_id_of(self.name))

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of the records of one member; the newest is highest."""
        return (self.incarnation, self.revision, self.state)

    @property
    def is_gone(self) -> bool:
        """Whether the member left or died."""
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
        """Returns whether this record replaces `other`."""
        return self.rank > other.rank
