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


def member_id_of(name: str) -> int:
    """Returns the 64-bit id of a member's name."""
    return xxh3_64_intdigest(name.encode())


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

    def newer_than(self, other: 'Member') -> bool:
        """Tells whether this record replaces `other`."""
        mine = (self.incarnation, self.revision, self.state)
        return mine > (other.incarnation, other.revision, other.state)
