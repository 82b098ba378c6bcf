"""Messages of the membership supervisor between processes."""

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
    """Who sent a message, in which state, and where it takes answers."""

    claim: Claim
    endpoint: Endpoint


@define(frozen=True, slots=True)
class Updates:
    """What a message carries of other members besides its purpose."""

    claims: tuple[Claim, ...] = ()
    suspicions: tuple[Claim, ...] = ()


NO_UPDATES = Updates()


@membership.message('ping')
@define(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack`; a doubted member also announces itself anew.

    `origin` is the prober: a helper pings with the prober as origin and
    passes the answer on.
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
    """Answers a `Ping` of the same sequence number.

    `subject` is the member that was pinged, `origin` the prober.
    """

    sender: Sender
    origin: Endpoint
    sequence: int
    subject: Claim
    news: Updates = field(default=NO_UPDATES)


@membership.message('pingRequest')
@define(frozen=True, slots=True)
class PingRequest:
    """Asks a helper to ping a member that did not answer."""

    sender: Sender
    sequence: int
    target_id: int
    target: Endpoint
    is_doubted: bool


@membership.message('gossip')
@define(frozen=True, slots=True)
class Gossip:
    """Carries news only."""

    sender: Sender
    news: Updates


@membership.message('digest')
@define(frozen=True, slots=True)
class Digest:
    """Asks a peer to compare; one 64-bit sum for each bucket of ids."""

    sender: Sender
    sums: bytes
    wants_digest: bool


@membership.message('listing')
@define(frozen=True, slots=True)
class Listing:
    """All that the sender has of the ids from `first_id` to `last_id`."""

    sender: Sender
    first_id: int
    last_id: int
    claims: tuple[Claim, ...]


@membership.message('want')
@define(frozen=True, slots=True)
class RecordRequest:
    """Asks for the whole records of some members."""

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
