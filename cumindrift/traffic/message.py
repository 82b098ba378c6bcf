"""Messages of the traffic supervisor between processes."""

from enum import IntEnum, unique

from attrs import define, evolve

from cumindrift.address import Endpoint
from cumindrift.wire import Family

traffic = Family(2, 'traffic.capnp', 'TrafficMessage')


@unique
class PacketKind(IntEnum):
    """What a packet does to its flow."""

    OPEN = 1
    WITHIN = 2
    CLOSE = 3
    # UDP has no opening packet: placed when no holder is found.
    WITHIN_OR_OPEN = 4


@define(frozen=True, slots=True)
class Candidate:
    """A member at which a flow may be held."""

    member_id: int
    ip: str
    port: int

    def endpoint(self) -> Endpoint:
        """Returns the member's peer address."""
        return Endpoint(self.ip, self.port)


@traffic.message('flowRoute')
@define(frozen=True, slots=True)
class FlowRoute:
    """What a balancer knows of a flow; the same for all its packets."""

    team: str
    service: str
    flow_key: bytes
    view_version: int
    candidates: tuple[Candidate, ...]
    balancer: Candidate


@define(frozen=True, slots=True)
class SteeredPacket:
    """A packet on its way along the candidates of its flow."""

    route: FlowRoute
    kind: PacketKind
    position: int
    hop_count: int
    packet: bytes
    # Sent by a keeper's record; the receiver is not the next candidate.
    by_record: bool = False
    # Some agent on the way could not tell; the end must not refuse.
    is_unsure: bool = False

    def next_hop(
        self, position: int, *, by_record: bool = False
    ) -> 'SteeredPacket':
        """Returns the packet one hop on, with its place in the list."""
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
        """Returns the packet with its search marked as unsure."""
        return evolve(self, is_unsure=True)


@define(frozen=True, slots=True)
class LoadReport:
    """The load of one agent, told to those after it in the list."""

    member_id: int
    flow_count: int
    load_ppm: int
    can_take: bool


@traffic.message('openSearch')
@define(frozen=True, slots=True)
class OpenSearch:
    """An opening packet that looks for a target with room."""

    route: FlowRoute
    position: int
    hop_count: int
    assigned: bool
    reports: tuple[LoadReport, ...]
    packet: bytes
    # All known candidates were asked: no agent holds the flow.
    searched: bool = False


@traffic.message('holderRecord')
@define(frozen=True, slots=True)
class HolderRecord:
    """Tells a candidate who holds a flow, or with `held` unset no more.

    Records of one holder order by incarnation and sequence. `teller` is
    the one to confirm to: the holder, or a keeper that hands records on.
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
    """Confirms a holder record."""

    flow_key: bytes
    keeper_id: int
    sequence: int


@traffic.message('flowHint')
@define(frozen=True, slots=True)
class FlowHint:
    """Tells a balancer who holds a flow; wrong hints cost a hop."""

    service: str
    flow_key: bytes
    holder: Candidate
    held: bool


@traffic.message('handoverPart')
@define(frozen=True, slots=True)
class HandoverPart:
    """A numbered part of what an agent leaves to its next incarnation.

    `keeper_ids` names all that may have a copy, `keeper_id` the one that
    gives this copy back; it is 0 on the way there.
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
    """Confirms one part."""

    keeper_id: int
    incarnation: int
    number: int


@traffic.message('handoverAsk')
@define(frozen=True, slots=True)
class HandoverRequest:
    """Asks for the parts that the former incarnation left.

    With `is_done` set they were taken back and must be forgotten.
    """

    owner: Candidate
    incarnation: int
    first_number: int
    is_done: bool
