"""Searches for the holder of a flow among all agents."""

from attrs import define, field

from cumindrift.steering.packet import FlowPacket

# A packet that comes this long after the last search starts another.
SEARCH_S = 0.15
WAITING_MAX = 8


@define(slots=True, eq=False, repr=False)
class Search:
    """One search: who was asked, who does not hold the flow.

    Packets of the flow that come meanwhile wait for its end.
    """

    packet: FlowPacket
    started_s: float
    asked: frozenset[str]
    absent: set[str] = field(factory=set)
    waiting: list[FlowPacket] = field(factory=list)

    def is_running(self, now_s: float) -> bool:
        """Tells whether answers may still come."""
        return now_s - self.started_s < SEARCH_S

    def wait(self, packet: FlowPacket) -> None:
        """Keeps a packet until the holder is known."""
        if len(self.waiting) < WAITING_MAX:
            self.waiting.append(packet)

    def is_absent_at(self, agent_ips: frozenset[str]) -> bool:
        """Tells whether each of these agents said that it has no such flow."""
        return agent_ips <= self.absent
