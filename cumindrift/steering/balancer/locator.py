"""Flows without a hint at a balancer: who of the agents holds them."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.search import Search
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket

SEARCHES_MAX = 16_384
# A search that ended so long ago needs no memory.
SEARCH_KEPT_S = 5.0
# Agents that live answer within this, wherever they stand. A second one is
# asked then; later the client's own copies of the packet ask again.
ANSWER_TIMEOUT_S = 0.06
TIMED_ASKS_MAX = 2


@define(slots=True, eq=False, repr=False)
class HolderLocator:
    """Searches for holders of flows, and proves that a flow has none."""

    state: BalancerState
    agent_monitor: AgentMonitor
    searches: dict[bytes, Search] = field(factory=dict)
    # Denied by every agent of a list that may be older than the search.
    unverified: dict[bytes, Search] = field(factory=dict)

    def search(self, packet: FlowPacket, now_s: float) -> None:
        """Has an agent find the holder of a flow."""
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
        """Asks another agent for the flows that nobody answered for.

        True while an answer may come.
        """
        is_waiting = False
        for search in self.searches.values():
            if search.ask_count < TIMED_ASKS_MAX:
                is_waiting = True
                if now_s - search.sent_s >= ANSWER_TIMEOUT_S:
                    self._ask(search, now_s)
        return is_waiting

    def _ask(self, search: Search, now_s: float) -> None:
        """Sends the search to the next agent that is not silent."""
        state = self.state
        coordinator_ip = self._next_coordinator(search)
        agent_ips = state.directory.agent_ips()
        # An earlier scout may be the one that answers.
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
        state.output.forward(coordinator_ip, forwarded)

    def _next_coordinator(self, search: Search) -> str:
        """Returns the next agent to ask: a home, then any that answers."""
        for ip in search.coordinator_ips:
            if not self.agent_monitor.is_silent(ip):
                return ip
        # All were asked or are silent: once more from the first home.
        ring = self.state.directory.ring
        search.coordinator_ips = ring.order(search.packet.flow_key)
        return next(search.coordinator_ips, '')

    def on_held(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Takes note of a flow's holder, and sends on what waited for it."""
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
        """Takes a scout's word that all agents asked deny a flow."""
        search = self.searches.pop(key, None)
        if search is not None:
            self.unverified[key] = search
            self.state.output.verify_agents()

    def on_agents_verified(self, asked_s: float) -> None:
        """Takes the news that the list of agents is as of `asked_s`.

        An agent takes no flow before it stands in the list, so a flow that
        every agent of the list denies has no holder.
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
        """Takes note that a flow has ended."""
        self.searches.pop(key, None)

    def expire(self, now_s: float) -> None:
        """Forgets searches that nobody answered."""
        for searches in (self.searches, self.unverified):
            ended = [
                key
                for key, search in searches.items()
                if now_s - search.started_s > SEARCH_KEPT_S
            ]
            for key in ended:
                searches.pop(key)
