"""Hints: which agent holds a flow, according to the last report."""

from attrs import define, field

from cumindrift.fleet.manifest import DEFAULT_LIMITS, RequestLimits
from cumindrift.steering.packet import OPEN_ATTEMPT_S, FlowPacket

HINTS_MAX = 65_536


@define(slots=True, eq=False, repr=False)
class Hint:
    """The assumed holder of a flow; a wrong one costs time, never the flow.

    Until an agent has confirmed the flow, `opening` is the SYN, `sent_s` the
    time since when it waits for an answer and `tried` the agents that got it.
    At `deadline_s`, a SYN that no agent has taken is refused.
    """

    agent_ip: str
    seen_s: float
    incarnation: int = 0
    is_confirmed: bool = False
    service: str = ''
    opening: FlowPacket | None = None
    sent_s: float = 0.0
    first_sent_s: float = 0.0
    deadline_s: float = 0.0
    # How many SYNs of the flow this balancer has received.
    syn_count: int = 1
    limits: RequestLimits = DEFAULT_LIMITS
    # Whether the client sent far more than the others when the SYN arrived.
    is_share_exceeded: bool = False
    tried: set[str] = field(factory=set)

    def is_of_attempt(self, now_s: float) -> bool:
        """Returns whether a SYN that arrives now may belong to this flow."""
        return now_s - self.first_sent_s <= OPEN_ATTEMPT_S


@define(slots=True, eq=False, repr=False)
class HintTable:
    """The hints of a balancer; evicts the oldest one when full."""

    hints: dict[bytes, Hint] = field(factory=dict)

    def keep(self, flow_key: bytes, hint: Hint) -> Hint:
        """Stores a hint; replaces the flow's earlier one."""
        if len(self.hints) >= HINTS_MAX and flow_key not in self.hints:
            self.hints.pop(next(iter(self.hints)))
        self.hints[flow_key] = hint
        return hint

    def get(self, flow_key: bytes) -> Hint | None:
        """Returns the hint of a flow, if any."""
        return self.hints.get(flow_key)

    def drop(self, flow_key: bytes) -> None:
        """Removes the hint of a flow."""
        self.hints.pop(flow_key, None)

    def expire(self, now_s: float, idle_s: float) -> None:
        """Removes the hints of flows without a packet for `idle_s`."""
        expired = [
            flow_key
            for flow_key, hint in self.hints.items()
            if now_s - hint.seen_s > idle_s
        ]
        for flow_key in expired:
            self.hints.pop(flow_key)
