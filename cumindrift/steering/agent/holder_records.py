"""Holder records: a flow's record keepers know which agent holds it."""

from collections import deque

from attrs import define, field

from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.frame import FrameKind

# The age at which a flow's holder record is sent. Shorter flows end before any
# balancer has to search for them.
RECORD_SENT_AFTER_S = 0.3
RECORDS_MAX = 65_536


@define(slots=True, eq=False, repr=False)
class HolderRecords:
    """Sends holder records to record keepers; stores those of other agents.

    A wrong or missing record makes a search longer but never loses a flow.
    """

    state: AgentState
    # By flow: the agent that holds it, and when its record was stored; oldest
    # first.
    _holders: dict[bytes, tuple[str, float]] = field(factory=dict)
    # When to send the records of each new flow; earliest first.
    _unsent_records: deque[tuple[float, bytes, Flow]] = field(factory=deque)

    def on_opened(self, key: bytes, flow: Flow, now_s: float) -> None:
        """Schedules the holder record of a new flow."""
        if flow.keeper_ips:
            self._unsent_records.append(
                (now_s + RECORD_SENT_AFTER_S, key, flow)
            )

    def record(self, key: bytes, ip: str, now_s: float) -> None:
        """Stores that the agent at `ip` holds a flow."""
        self._holders.pop(key, None)
        if len(self._holders) >= RECORDS_MAX:
            self._holders.pop(next(iter(self._holders)))
        self._holders[key] = (ip, now_s)

    def holder_of(self, key: bytes) -> str:
        """Returns the agent recorded as holder of a flow, or an empty text."""
        return self._holders.get(key, ('', 0.0))[0]

    def drop(self, key: bytes) -> None:
        """Removes a wrong record."""
        self._holders.pop(key, None)

    def tick(self, now_s: float) -> None:
        """Sends the holder records that are due."""
        state = self.state
        while self._unsent_records and self._unsent_records[0][0] <= now_s:
            _, key, flow = self._unsent_records.popleft()
            is_kept = state.table.flows.get(key) is flow
            if is_kept and not flow.is_closed:
                for ip in flow.keeper_ips:
                    state.send_report(ip, FrameKind.HOLDER_RECORD, key)
        self._expire(now_s - state.table.lifetime_s * 2)

    def _expire(self, before_s: float) -> None:
        """Removes records of flows beyond their maximum lifetime."""
        while self._holders:
            key = next(iter(self._holders))
            if self._holders[key][1] >= before_s:
                return
            self._holders.pop(key)
