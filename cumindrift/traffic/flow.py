"""Flows that an agent holds, and records of flows held elsewhere."""

from attrs import define, field

from cumindrift.traffic.message import Candidate

FLOW_IDLE_S = 4 * 3600.0
CLOSED_LINGER_S = 30.0
RECORD_IDLE_S = 6 * 3600.0


@define(slots=True)
class Flow:
    """One held flow; kept small, an agent has thousands."""

    opened_s: float
    used_s: float
    is_closing: bool = False

    @property
    def kept_s(self) -> float:
        """How long the flow is kept after its last packet."""
        return CLOSED_LINGER_S if self.is_closing else FLOW_IDLE_S


@define(slots=True)
class Record:
    """Who holds a flow, as told by its holder."""

    holder: Candidate
    sequence: int
    told_s: float


@define(slots=True)
class FlowTable:
    """The flows of one agent, by key; used by its finder."""

    held: dict[bytes, Flow] = field(factory=dict)
    records: dict[bytes, Record] = field(factory=dict)

    def expire(self, now_s: float) -> list[bytes]:
        """Forgets what was idle too long; returns the held keys among it."""
        ended = [
            key
            for key, flow in self.held.items()
            if now_s - flow.used_s > flow.kept_s
        ]
        for key in ended:
            self.held.pop(key)
        stale = [
            key
            for key, record in self.records.items()
            if now_s - record.told_s > RECORD_IDLE_S
        ]
        for key in stale:
            self.records.pop(key)
        return ended
