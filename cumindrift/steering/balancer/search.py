"""One search for the holder of a flow, as the balancer that asked sees it."""

from collections.abc import Iterator

from attrs import define, field

from cumindrift.steering.packet import FlowPacket

# A packet that comes this long after the last question asks again.
SEARCH_S = 0.15
WAITING_MAX = 8


@define(slots=True, eq=False, repr=False)
class Search:
    """Whom to ask next, and the packets that wait for the end.

    `scout_ips` yields the flow's homes first, then all other agents;
    `asked` are the agents that every scout was told to ask.
    """

    packet: FlowPacket
    started_s: float
    asked: frozenset[str]
    coordinator_ips: Iterator[str]
    sent_s: float = 0.0
    ask_count: int = 0
    waiting: list[FlowPacket] = field(factory=list)

    def is_running(self, now_s: float) -> bool:
        """Tells whether answers may still come."""
        return now_s - self.sent_s < SEARCH_S

    def wait(self, packet: FlowPacket) -> None:
        """Keeps a packet until the holder is known."""
        if len(self.waiting) < WAITING_MAX:
            self.waiting.append(packet)
