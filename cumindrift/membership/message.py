"""Messages of the membership protocol between processes."""

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Claim, Member
from cumindrift.membership.row import claim_columns, member_columns
from cumindrift.wire import Family, encode_as_columns

membership = Family(5, 'membership.capnp', 'MembershipMessage')

encode_as_columns(Claim, *claim_columns)
encode_as_columns(Member, *member_columns)


@define(frozen=True, slots=True)
class Sender:
    """The sender's state, and the endpoint for answers."""

    claim: Claim
    endpoint: Endpoint


@define(frozen=True, slots=True)
class Updates:
    """Updates on other members, piggybacked on a message (field `news`)."""

    claims: tuple[Claim, ...] = ()
    suspicions: tuple[Claim, ...] = ()


NO_UPDATES = Updates()


@membership.message('ping')
@define(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack`; with `is_doubted`, also to refute a suspicion.

    `origin` is the member that started the probe. In an indirect probe the
    ping comes from a helper, which forwards the ack to the origin.
    """

    sender: Sender
    origin: Endpoint
    sequence: int
    target_id: int
    is_doubted: bool
    news: Updates = field(default=NO_UPDATES)


@membership.message('ack')
@define(frozen=True, slots=True)
class Ack:
    """Answers the `Ping` with the same sequence number.

    `subject` is the member that was pinged, `origin` the member that
    started the probe.
    """

    sender: Sender
    origin: Endpoint
    sequence: int
    subject: Claim
    news: Updates = field(default=NO_UPDATES)


@membership.message('pingRequest')
@define(frozen=True, slots=True)
class PingRequest:
    """Asks a helper to ping a member that did not answer (indirect probe)."""

    sender: Sender
    sequence: int
    target_id: int
    target: Endpoint
    is_doubted: bool


@membership.message('gossip')
@define(frozen=True, slots=True)
class Gossip:
    """Carries updates only."""

    sender: Sender
    news: Updates


@membership.message('digest')
@define(frozen=True, slots=True)
class Digest:
    """Asks a peer to compare its table: one 64-bit checksum per bucket."""

    sender: Sender
    sums: bytes
    wants_digest: bool


@membership.message('listing')
@define(frozen=True, slots=True)
class Listing:
    """Claims on all live members with ids from `first_id` to `last_id`."""

    sender: Sender
    first_id: int
    last_id: int
    claims: tuple[Claim, ...]


@membership.message('want')
@define(frozen=True, slots=True)
class RecordRequest:
    """Requests the whole records of some members."""

    sender: Sender
    member_ids: tuple[int, ...]


@membership.message('records')
@define(frozen=True, slots=True)
class Records:
    """Whole records: answers a `Digest`, `Listing` or `RecordRequest`."""

    sender: Sender
    members: tuple[Member, ...]


Message = (
    Ping
    | Ack
    | PingRequest
    | Gossip
    | Digest
    | Listing
    | RecordRequest
    | Records
)
