"""Messages of the traffic supervisor between processes."""

from enum import IntEnum, unique

from attrs import define

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
class Steered:
    """A packet on its way along the candidates of its flow."""

    route: FlowRoute
    kind: PacketKind
    position: int
    hop_count: int
    packet: bytes


@define(frozen=True, slots=True)
class LoadReport:
    """The load of one agent, told to those after it in the list."""

    member_id: int
    flow_count: int
    load_permille: int
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


@traffic.message('holderRecord')
@define(frozen=True, slots=True)
class HolderRecord:
    """Tells a candidate who holds a flow, or with `held` unset no more."""

    team: str
    service: str
    flow_key: bytes
    holder: Candidate
    sequence: int
    held: bool


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
