"""Flows that an agent holds, and records of flows held elsewhere."""

from attrs import define, field

from cumindrift.traffic.message import Candidate

FLOW_IDLE_TIMEOUT_S = 4 * 3600.0
CLOSED_LINGER_S = 30.0
NOTIFIED_MAX = 6
RECORDS_MAX = 65_536


@define(slots=True)
class Flow:
    """A held flow; kept small, since an agent has thousands."""

    opened_s: float
    last_used_s: float
    is_closing: bool = False
    # Ids of the members that were sent the holder record, oldest first.
    notified: tuple[int, ...] = ()

    @property
    def idle_timeout_s(self) -> float:
        """How long the flow is kept after its last packet."""
        return CLOSED_LINGER_S if self.is_closing else FLOW_IDLE_TIMEOUT_S

    def add_notified(self, member_id: int) -> None:
        """Notes that a member was sent the holder record."""
        if member_id not in self.notified:
            self.notified = (*self.notified, member_id)[-NOTIFIED_MAX:]


@define(slots=True)
class Record:
    """The stored copy of a holder record: which agent holds a flow."""

    holder: Candidate
    incarnation: int
    sequence: int
    opened_s: float
    # Since when the holder may be gone or this agent need not keep the
    # record any more; 0 if neither.
    doubtful_since_s: float = 0.0
    # Whether its next keepers have the record; set while draining.
    is_transferred: bool = False

    def version(self) -> tuple[int, int]:
        """Returns incarnation and sequence, which order a holder's records."""
        return (self.incarnation, self.sequence)


@define(slots=True)
class FlowTable:
    """The held flows and the stored records of one agent, by flow key."""

    held: dict[bytes, Flow] = field(factory=dict)
    records: dict[bytes, Record] = field(factory=dict)

    def expired_keys(self, now_s: float) -> list[bytes]:
        """Returns the keys of held flows past their idle timeout."""
        return [
            key
            for key, flow in self.held.items()
            if now_s - flow.last_used_s > flow.idle_timeout_s
        ]

    def store_record(self, flow_key: bytes, record: Record) -> bool:
        """Stores a record; returns False if the table is full."""
        is_new = flow_key not in self.records
        if is_new and len(self.records) >= RECORDS_MAX:
            return False
        self.records[flow_key] = record
        return True
