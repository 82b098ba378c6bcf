"""Messages that balancers and agents exchange about flows."""

from enum import IntEnum, unique

from attrs import define, evolve

from cumindrift.address import Endpoint
from cumindrift.wire import Family

traffic = Family(2, 'traffic.capnp', 'TrafficMessage')


@unique
class PacketKind(IntEnum):
    """How a packet affects its flow."""

    OPEN = 1
    WITHIN = 2
    CLOSE = 3
    # UDP has no opening packet: the flow is placed if no holder is found.
    WITHIN_OR_OPEN = 4


@define(frozen=True, slots=True)
class Candidate:
    """A member that may hold a flow."""

    member_id: int
    ip: str
    port: int

    def endpoint(self) -> Endpoint:
        """Returns the address of the member's peer port."""
        return Endpoint(self.ip, self.port)


@traffic.message('flowRoute')
@define(frozen=True, slots=True)
class FlowRoute:
    """A flow's service and candidates; the same for all its packets."""

    team: str
    service: str
    flow_key: bytes
    view_version: int
    candidates: tuple[Candidate, ...]
    balancer: Candidate


@define(frozen=True, slots=True)
class SteeredPacket:
    """A packet that is forwarded along the candidates of its flow."""

    route: FlowRoute
    kind: PacketKind
    position: int
    hop_count: int
    packet: bytes
    # A record keeper forwarded the packet to the holder in its record;
    # `position` is the record keeper's.
    by_record: bool = False
    # An agent on the way could not rule out that its view was outdated, so the
    # last agent must not conclude that no agent holds the flow.
    is_unsure: bool = False

    def next_hop(
        self, position: int, *, by_record: bool = False
    ) -> 'SteeredPacket':
        """Returns a copy for the next hop with its candidate position."""
        return SteeredPacket(
            self.route,
            self.kind,
            position,
            self.hop_count + 1,
            self.packet,
            by_record,
            self.is_unsure,
        )

    def marked_unsure(self) -> 'SteeredPacket':
        """Returns a copy with `is_unsure` set."""
        return evolve(self, is_unsure=True)


@define(frozen=True, slots=True)
class LoadReport:
    """The load of one agent, for the candidates that decide after it."""

    member_id: int
    flow_count: int
    load_ppm: int
    can_take: bool


@traffic.message('openSearch')
@define(frozen=True, slots=True)
class OpenSearch:
    """An opening packet on its way to a target with free capacity."""

    route: FlowRoute
    position: int
    hop_count: int
    assigned: bool
    reports: tuple[LoadReport, ...]
    packet: bytes
    # All known candidates were searched: no agent holds the flow.
    searched: bool = False


@traffic.message('holderRecord')
@define(frozen=True, slots=True)
class HolderRecord:
    """Informs a record keeper whether `holder` still holds a flow.

    `held` is False if it no longer does. Records of one holder are ordered by
    incarnation and sequence. The acknowledgement goes to `teller`, the sender:
    the holder, or a record keeper that transfers or checks the record.
    """

    team: str
    service: str
    flow_key: bytes
    holder: Candidate
    incarnation: int
    sequence: int
    age_ms: int
    held: bool
    teller: Candidate


@traffic.message('recordAck')
@define(frozen=True, slots=True)
class RecordAck:
    """Acknowledges a holder record."""

    flow_key: bytes
    keeper_id: int
    sequence: int


@traffic.message('flowHint')
@define(frozen=True, slots=True)
class FlowHint:
    """Informs a balancer who holds a flow; a wrong hint costs one hop."""

    service: str
    flow_key: bytes
    holder: Candidate
    held: bool


@traffic.message('handoverPart')
@define(frozen=True, slots=True)
class HandoverPart:
    """A numbered part of an agent's state for its next incarnation.

    `keeper_ids` lists all members that may have a copy. `keeper_id` is the
    member that returns this copy, and 0 while the part is being stored. An
    answer with `part_count` 0 means that the sender has no copy.
    """

    owner: Candidate
    incarnation: int
    number: int
    part_count: int
    flow_keys: tuple[bytes, ...]
    is_closing: bool
    ledger: bytes
    keeper_ids: tuple[int, ...] = ()
    keeper_id: int = 0


@traffic.message('handoverAck')
@define(frozen=True, slots=True)
class HandoverAck:
    """Acknowledges one handover part."""

    keeper_id: int
    incarnation: int
    number: int


@traffic.message('handoverAsk')
@define(frozen=True, slots=True)
class HandoverRequest:
    """Requests the parts that the previous incarnation stored.

    With `is_done` set, the owner has received all parts, and the stored copy
    can be deleted.
    """

    owner: Candidate
    incarnation: int
    first_number: int
    is_done: bool
