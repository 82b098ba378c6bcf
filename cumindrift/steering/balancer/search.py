"""One search for the holder of a flow, as the balancer tracks it."""

from collections.abc import Iterator

from attrs import define, field

from cumindrift.steering.packet import FlowPacket

# Packets of the flow that arrive within this time after the last request to a
# coordinator are queued. A later one causes a request to the next coordinator.
SEARCH_TIMEOUT_S = 0.15
WAITING_MAX = 8


@define(slots=True, eq=False, repr=False)
class Search:
    """The state of a search and the packets that wait for its result.

    `coordinator_ips` yields the agents to request the search from: the flow's
    record keepers first, then all others. `asked` are the agents that were
    on the candidate list of every coordinator so far.
    """

    packet: FlowPacket
    started_s: float
    asked: frozenset[str]
    coordinator_ips: Iterator[str]
    sent_s: float = 0.0
    ask_count: int = 0
    waiting: list[FlowPacket] = field(factory=list)

    def is_running(self, now_s: float) -> bool:
        """Returns whether answers may still arrive."""
        return now_s - self.sent_s < SEARCH_TIMEOUT_S

    def wait(self, packet: FlowPacket) -> None:
        """Queues a packet until the holder is known; drops it if full."""
        if len(self.waiting) < WAITING_MAX:
            self.waiting.append(packet)
