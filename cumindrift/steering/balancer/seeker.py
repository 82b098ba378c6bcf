"""Flows without a hint at a balancer: who of the agents holds them."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.roll import AgentRoll
from cumindrift.steering.balancer.search import Search
from cumindrift.steering.balancer.station import BalancerStation
from cumindrift.steering.frame import Carried, FrameKind
from cumindrift.steering.packet import FlowPacket

SEARCHES_MAX = 16_384
# A search that ended so long ago needs no memory.
KEPT_S = 5.0
# Agents that live answer within this, wherever they stand. A second one is
# asked then; later the client's own copies of the packet ask again.
ANSWER_WITHIN_S = 0.06
ASKS_AT_ONCE = 2


@define(slots=True, eq=False, repr=False)
class Seeker:
    """Searches for holders of flows, and proves that a flow has none."""

    station: BalancerStation
    roll: AgentRoll
    searches: dict[bytes, Search] = field(factory=dict)
    # Denied by every agent of a list that may be older than the search.
    unproved: dict[bytes, Search] = field(factory=dict)

    def search(self, packet: FlowPacket, now_s: float) -> None:
        """Has an agent find the holder of a flow."""
        key = packet.flow_key
        station = self.station
        search = self.searches.get(key)
        if search is not None:
            if search.is_running(now_s):
                search.wait(packet)
            else:
                search.packet = packet
                self._ask(search, now_s)
            return
        directory = station.directory
        agent_ips = directory.agent_ips()
        if not agent_ips or len(self.searches) >= SEARCHES_MAX:
            station.count(ResultCode.PACKET_NO_TARGET)
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
            if search.ask_count < ASKS_AT_ONCE:
                is_waiting = True
                if now_s - search.sent_s >= ANSWER_WITHIN_S:
                    self._ask(search, now_s)
        return is_waiting

    def _ask(self, search: Search, now_s: float) -> None:
        """Sends the search to the next agent that is not silent."""
        station = self.station
        scout_ip = self._next_scout(search)
        agent_ips = station.directory.agent_ips()
        # An earlier scout may be the one that answers.
        search.asked &= agent_ips
        search.sent_s = now_s
        search.ask_count += 1
        station.note(
            'flow-searched',
            search.packet.flow_key,
            scout=scout_ip,
            agents=len(agent_ips),
            asked=search.ask_count,
        )
        carried = Carried(
            FrameKind.SEEK,
            station.ip,
            search.packet.octets,
            candidate_ips=tuple(agent_ips),
        )
        station.outlet.carry(scout_ip, carried)

    def _next_scout(self, search: Search) -> str:
        """Returns the next agent to ask: a home, then any that answers."""
        for ip in search.scout_ips:
            if not self.roll.is_silent(ip):
                return ip
        # All were asked or are silent: once more from the first home.
        ring = self.station.directory.ring
        search.scout_ips = ring.order(search.packet.flow_key)
        return next(search.scout_ips, '')

    def on_held(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Takes note of a flow's holder, and sends on what waited for it."""
        station = self.station
        self.unproved.pop(key, None)
        search = self.searches.pop(key, None)
        if search is None:
            return
        station.note(
            'flow-found',
            key,
            agent=hint.agent_ip,
            took_s=round(now_s - search.started_s, 4),
        )
        for packet in search.waiting:
            station.carry_known(packet, hint)

    def on_nowhere(self, key: bytes) -> None:
        """Takes a scout's word that all agents asked deny a flow."""
        search = self.searches.pop(key, None)
        if search is not None:
            self.unproved[key] = search
            self.station.outlet.verify_agents()

    def on_agents_verified(self, asked_s: float) -> None:
        """Takes the news that the list of agents is as of `asked_s`.

        An agent takes no flow before it stands in the list, so a flow that
        every agent of the list denies has no holder.
        """
        station = self.station
        agent_ips = station.directory.agent_ips()
        for key, search in list(self.unproved.items()):
            if search.started_s > asked_s:
                continue
            self.unproved.pop(key)
            if agent_ips <= search.asked:
                station.note(
                    'flow-reset',
                    key,
                    reason='no-holder',
                    agents=len(agent_ips),
                    code=int(ResultCode.NO_SUCH_FLOW),
                )
                station.outlet.reset(key, search.packet.acknowledged)

    def on_ended(self, key: bytes) -> None:
        """Takes note that a flow has ended."""
        self.searches.pop(key, None)

    def expire(self, now_s: float) -> None:
        """Forgets searches that nobody answered."""
        for searches in (self.searches, self.unproved):
            ended = [
                key
                for key, search in searches.items()
                if now_s - search.started_s > KEPT_S
            ]
            for key in ended:
                searches.pop(key)
