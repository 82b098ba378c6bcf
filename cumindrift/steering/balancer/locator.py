"""Locates the holders of flows for which a balancer has no hint."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.search import Search
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket

SEARCHES_MAX = 16_384
# Searches without a result are dropped after this time.
SEARCH_KEPT_S = 5.0
# Live agents answer within this time, in whatever data centre they are. After
# it, a second coordinator is asked. Further requests are sent only when the
# client retransmits.
ANSWER_TIMEOUT_S = 0.06
TIMED_ASKS_MAX = 2


@define(slots=True, eq=False, repr=False)
class HolderLocator:
    """Searches for the holders of flows, and proves that a flow has none."""

    state: BalancerState
    agent_monitor: AgentMonitor
    searches: dict[bytes, Search] = field(factory=dict)
    # Searches that found no holder. The list of agents that they used may be
    # older than the search.
    unverified: dict[bytes, Search] = field(factory=dict)

    def search(self, packet: FlowPacket, now_s: float) -> None:
        """Has a coordinator find the holder of a packet's flow."""
        key = packet.flow_key
        state = self.state
        search = self.searches.get(key)
        if search is not None:
            if search.is_running(now_s):
                search.wait(packet)
            else:
                search.packet = packet
                self._ask(search, now_s)
            return
        directory = state.directory
        agent_ips = directory.agent_ips()
        if not agent_ips or len(self.searches) >= SEARCHES_MAX:
            state.count_drop(ResultCode.PACKET_NO_TARGET)
            return
        order = directory.ring.order(key)
        search = Search(packet, now_s, agent_ips, order)
        self.searches[key] = search
        self._ask(search, now_s)

    def tick(self, now_s: float) -> bool:
        """Asks another coordinator for each search that timed out.

        Returns True while another one may have to be asked.
        """
        is_waiting = False
        for search in self.searches.values():
            if search.ask_count < TIMED_ASKS_MAX:
                is_waiting = True
                if now_s - search.sent_s >= ANSWER_TIMEOUT_S:
                    self._ask(search, now_s)
        return is_waiting

    def _ask(self, search: Search, now_s: float) -> None:
        """Sends the search to the next coordinator that is not silent."""
        state = self.state
        coordinator_ip = self._next_coordinator(search)
        agent_ips = state.directory.agent_ips()
        # The answer may come from an earlier coordinator, which was given an
        # earlier list of agents.
        search.asked &= agent_ips
        search.sent_s = now_s
        search.ask_count += 1
        state.log_decision(
            'flow-searched',
            search.packet.flow_key,
            scout=coordinator_ip,
            agents=len(agent_ips),
            asked=search.ask_count,
        )
        forwarded = ForwardedPacket(
            FrameKind.DELEGATED_SEARCH,
            state.ip,
            search.packet.octets,
            candidate_ips=tuple(agent_ips),
        )
        state.forward(coordinator_ip, forwarded)

    def _next_coordinator(self, search: Search) -> str:
        """Returns the next coordinator: record keepers, then other agents."""
        for ip in search.coordinator_ips:
            if not self.agent_monitor.is_silent(ip):
                return ip
        # All were asked or are silent: start again at the first one.
        ring = self.state.directory.ring
        search.coordinator_ips = ring.order(search.packet.flow_key)
        return next(search.coordinator_ips, '')

    def on_held(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Ends the search of a flow, and forwards the queued packets."""
        state = self.state
        self.unverified.pop(key, None)
        search = self.searches.pop(key, None)
        if search is None:
            return
        state.log_decision(
            'flow-found',
            key,
            agent=hint.agent_ip,
            took_s=round(now_s - search.started_s, 4),
        )
        for packet in search.waiting:
            state.forward_to_holder(packet, hint)

    def on_not_found(self, key: bytes) -> None:
        """Handles a coordinator's report that no agent holds the flow."""
        search = self.searches.pop(key, None)
        if search is not None:
            self.unverified[key] = search
            self.state.output.request_agents()

    def on_agents_listed(self, asked_s: float) -> None:
        """Handles a list of agents that was requested at `asked_s`.

        An agent takes no flow before it is in the list. If every agent of a
        list that is newer than the search has reported that it does not hold
        a flow, then the flow has no holder, and its client is reset.
        """
        state = self.state
        agent_ips = state.directory.agent_ips()
        for key, search in list(self.unverified.items()):
            if search.started_s > asked_s:
                continue
            self.unverified.pop(key)
            if agent_ips <= search.asked:
                state.log_decision(
                    'flow-reset',
                    key,
                    reason='no-holder',
                    agents=len(agent_ips),
                    code=int(ResultCode.NO_SUCH_FLOW),
                )
                state.output.reset(key, search.packet.acknowledged)

    def on_ended(self, key: bytes) -> None:
        """Ends the search of a flow that is over."""
        self.searches.pop(key, None)

    def expire(self, now_s: float) -> None:
        """Drops the searches that got no result."""
        for searches in (self.searches, self.unverified):
            ended = [
                key
                for key, search in searches.items()
                if now_s - search.started_s > SEARCH_KEPT_S
            ]
            for key in ended:
                searches.pop(key)
