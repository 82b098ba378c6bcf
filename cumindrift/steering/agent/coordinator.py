"""Searches among agents on behalf of balancers.

Balancers may run on weak hosts: they send one frame per search, however many
agents are asked.
"""

from attrs import define, evolve, field

from cumindrift.steering.agent.holder_records import HolderRecords
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket

# Longer than a balancer waits before it asks another coordinator.
SEARCH_LIFETIME_S = 2.0
COORDINATED_SEARCHES_MAX = 16_384


@define(slots=True, eq=False, repr=False)
class CoordinatedSearch:
    """A search in progress, with the agents that do not hold the flow."""

    forwarded: ForwardedPacket
    started_s: float
    denied_by: set[str] = field(factory=set)
    # Whether all candidates were asked, or only the recorded holder.
    is_broadcast: bool = False


@define(slots=True, eq=False, repr=False)
class SearchCoordinator:
    """Asks the recorded holder of a flow, else all candidates.

    The holder reports to the balancer itself. The coordinator reports only
    that the flow was not found, once every candidate has reported
    authoritatively that it does not hold it.
    """

    state: AgentState
    holder_records: HolderRecords
    _searches: dict[bytes, CoordinatedSearch] = field(factory=dict)

    def start(
        self, forwarded: ForwardedPacket, packet: FlowPacket, now_s: float
    ) -> None:
        """Starts a search; replaces an earlier one for the same flow."""
        key = packet.flow_key
        if len(self._searches) >= COORDINATED_SEARCHES_MAX:
            self._searches.pop(next(iter(self._searches)))
        search = CoordinatedSearch(forwarded, now_s)
        self._searches[key] = search
        holder = self.holder_records.holder_of(key)
        if holder in forwarded.candidate_ips:
            self._ask(forwarded, (holder,))
        else:
            self._ask_all(search)

    def on_absent(self, ip: str, key: bytes) -> None:
        """Handles an agent's report that it does not hold a flow."""
        search = self._searches.get(key)
        if search is None:
            return
        search.denied_by.add(ip)
        if not search.is_broadcast:
            self.holder_records.drop(key)
            self._ask_all(search)
        asked = search.forwarded.candidate_ips
        if search.denied_by.issuperset(asked):
            self._searches.pop(key)
            self.state.send_report(
                search.forwarded.origin_ip,
                FrameKind.NOT_FOUND,
                key,
                is_authoritative=True,
            )

    def expire(self, now_s: float) -> None:
        """Removes the searches whose lifetime is over."""
        ended = [
            key
            for key, search in self._searches.items()
            if now_s - search.started_s > SEARCH_LIFETIME_S
        ]
        for key in ended:
            self._searches.pop(key)

    def _ask_all(self, search: CoordinatedSearch) -> None:
        search.is_broadcast = True
        asked = search.forwarded.candidate_ips
        self._ask(
            search.forwarded,
            tuple(ip for ip in asked if ip not in search.denied_by),
        )

    def _ask(self, forwarded: ForwardedPacket, ips: tuple[str, ...]) -> None:
        query = evolve(
            forwarded,
            kind=FrameKind.SEARCH,
            candidate_ips=(),
        )
        for ip in ips:
            self.state.output.forward(ip, query)
