"""Flows that an agent holds, and records of flows held elsewhere."""

from attrs import define, field

from cumindrift.traffic.message import Candidate

FLOW_IDLE_TIMEOUT_S = 4 * 3600.0
CLOSED_LINGER_S = 30.0
NOTIFIED_MAX = 6
RECORDS_MAX = 65_536


@define(slots=True)
class Flow:
    """One held flow; kept small, an agent has thousands."""

    opened_s: float
    last_used_s: float
    is_closing: bool = False
    # Ids of the members that were told who holds the flow, oldest first.
    notified: tuple[int, ...] = ()

    @property
    def idle_timeout_s(self) -> float:
        """How long the flow is kept after its last packet."""
        return CLOSED_LINGER_S if self.is_closing else FLOW_IDLE_TIMEOUT_S

    def add_notified(self, member_id: int) -> None:
        """Notes that a member was told."""
        if member_id not in self.notified:
            self.notified = (*self.notified, member_id)[-NOTIFIED_MAX:]


@define(slots=True)
class Record:
    """Who holds a flow, as told by its holder."""

    holder: Candidate
    incarnation: int
    sequence: int
    opened_s: float
    # Since when its holder may be gone, or this agent no keeper; or 0.
    doubtful_since_s: float = 0.0
    # Whether its next keepers were told, by an agent that is leaving.
    is_transferred: bool = False

    def version(self) -> tuple[int, int]:
        """Returns what orders the records of one holder."""
        return (self.incarnation, self.sequence)


@define(slots=True)
class FlowTable:
    """The flows of one agent, by key; used by its finder and its records."""

    held: dict[bytes, Flow] = field(factory=dict)
    records: dict[bytes, Record] = field(factory=dict)

    def expired_keys(self, now_s: float) -> list[bytes]:
        """Returns the held keys that were idle too long."""
        return [
            key
            for key, flow in self.held.items()
            if now_s - flow.last_used_s > flow.idle_timeout_s
        ]

    def store_record(self, flow_key: bytes, record: Record) -> bool:
        """Keeps a record; False when there are too many."""
        is_new = flow_key not in self.records
        if is_new and len(self.records) >= RECORDS_MAX:
            return False
        self.records[flow_key] = record
        return True
