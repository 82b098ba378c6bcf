"""Messages of the membership supervisor between processes."""

from attrs import define

from cumindrift.membership.member import Member
from cumindrift.wire import Family

membership = Family(5, 'membership.capnp', 'MembershipMessage')


@membership.message('gossip')
@define(frozen=True, slots=True)
class Gossip:
    """What the sender believes of some members."""

    sender: Member
    members: tuple[Member, ...]
    wants_answer: bool


@membership.message('leave')
@define(frozen=True, slots=True)
class Leave:
    """Tells that the sender leaves in order."""

    sender: Member
