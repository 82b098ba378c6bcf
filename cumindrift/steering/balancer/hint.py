"""Hints: which agent holds a flow, as a balancer last heard."""

from attrs import define, field

from cumindrift.steering.packet import FlowPacket

HINTS_MAX = 65_536


@define(slots=True, eq=False, repr=False)
class Hint:
    """A guess that costs time when it is wrong, and never a flow.

    Until the agent confirmed the flow, `opening` is the SYN that waits for
    its answer since `sent_s`, and `tried` are the agents that had it.
    """

    agent_ip: str
    seen_s: float
    incarnation: int = 0
    is_confirmed: bool = False
    service: str = ''
    opening: FlowPacket | None = None
    sent_s: float = 0.0
    first_sent_s: float = 0.0
    tried: set[str] = field(factory=set)


@define(slots=True, eq=False, repr=False)
class HintTable:
    """The hints of a balancer, bounded; the oldest goes first."""

    hints: dict[bytes, Hint] = field(factory=dict)

    def keep(self, flow_key: bytes, hint: Hint) -> Hint:
        """Files a hint in place of an earlier one."""
        if len(self.hints) >= HINTS_MAX and flow_key not in self.hints:
            self.hints.pop(next(iter(self.hints)))
        self.hints[flow_key] = hint
        return hint

    def get(self, flow_key: bytes) -> Hint | None:
        """Returns the hint of a flow."""
        return self.hints.get(flow_key)

    def drop(self, flow_key: bytes) -> None:
        """Forgets a flow."""
        self.hints.pop(flow_key, None)

    def expire(self, now_s: float, idle_s: float) -> None:
        """Forgets flows that saw no packet for `idle_s`."""
        expired = [
            flow_key
            for flow_key, hint in self.hints.items()
            if now_s - hint.seen_s > idle_s
        ]
        for flow_key in expired:
            self.hints.pop(flow_key)
