"""Homes: agents that know who holds a flow, and are told by the holder."""

from collections import deque

from attrs import define, field

from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.frame import FrameKind

# A shorter flow is over before anybody would search for it.
REGISTERED_AFTER_S = 0.3
RECORDS_MAX = 65_536


@define(slots=True, eq=False, repr=False)
class HolderRecords:
    """Tells the homes of this target's flows; keeps what others tell.

    A record that is wrong or missing costs a longer search, never a flow.
    """

    state: AgentState
    # Which agent said that it holds a flow, and when; the oldest first.
    _holders: dict[bytes, tuple[str, float]] = field(factory=dict)
    _unregistered: deque[tuple[float, bytes, Flow]] = field(factory=deque)

    def on_opened(self, key: bytes, flow: Flow, now_s: float) -> None:
        """Takes note of a flow that its homes shall hear of if it lasts."""
        if flow.keeper_ips:
            self._unregistered.append((now_s + REGISTERED_AFTER_S, key, flow))

    def record(self, key: bytes, ip: str, now_s: float) -> None:
        """Takes an agent's word that it holds a flow."""
        self._holders.pop(key, None)
        if len(self._holders) >= RECORDS_MAX:
            self._holders.pop(next(iter(self._holders)))
        self._holders[key] = (ip, now_s)

    def holder_of(self, key: bytes) -> str:
        """Returns the agent that said it holds a flow; empty if none did."""
        return self._holders.get(key, ('', 0.0))[0]

    def drop(self, key: bytes) -> None:
        """Forgets a record that was wrong."""
        self._holders.pop(key, None)

    def tick(self, now_s: float) -> None:
        """Tells the homes of the flows that have lasted."""
        state = self.state
        while self._unregistered and self._unregistered[0][0] <= now_s:
            _, key, flow = self._unregistered.popleft()
            is_kept = state.table.flows.get(key) is flow
            if is_kept and not flow.is_closed:
                for ip in flow.keeper_ips:
                    state.send_report(ip, FrameKind.HOLDER_RECORD, key)
        self._expire(now_s - state.table.lifetime_s * 2)

    def _expire(self, before_s: float) -> None:
        """Forgets the flows that may not live any more."""
        while self._holders:
            key = next(iter(self._holders))
            if self._holders[key][1] >= before_s:
                return
            self._holders.pop(key)
