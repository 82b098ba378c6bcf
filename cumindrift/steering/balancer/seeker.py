"""Flows without a hint at a balancer: who of the agents holds them."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.search import Search
from cumindrift.steering.balancer.station import BalancerStation
from cumindrift.steering.frame import FrameKind
from cumindrift.steering.packet import FlowPacket

SEARCHES_MAX = 16_384
# A search that ended so long ago needs no memory.
KEPT_S = 5.0


@define(slots=True, eq=False, repr=False)
class Seeker:
    """Searches for holders of flows, and proves that a flow has none."""

    station: BalancerStation
    searches: dict[bytes, Search] = field(factory=dict)
    # Denied by every agent of a list that may be older than the search.
    unproved: dict[bytes, Search] = field(factory=dict)

    def search(self, packet: FlowPacket, now_s: float) -> None:
        """Asks every agent for the holder of a flow."""
        key = packet.flow_key
        station = self.station
        search = self.searches.get(key)
        if search is not None and search.is_running(now_s):
            search.wait(packet)
            return
        agent_ips = station.directory.agent_ips()
        if not agent_ips or len(self.searches) >= SEARCHES_MAX:
            station.count(ResultCode.PACKET_NO_TARGET)
            return
        station.note('flow-searched', key, agents=len(agent_ips))
        self.searches[key] = Search(packet, now_s, agent_ips)
        for ip in agent_ips:
            station.carry_within(FrameKind.SEARCH, ip, packet, None)

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
            station.carry_within(
                FrameKind.KNOWN,
                hint.agent_ip,
                packet,
                hint,
            )

    def on_absent(self, ip: str, key: bytes) -> None:
        """Takes an agent's word that it does not hold a flow."""
        search = self.searches.get(key)
        if search is None:
            return
        search.absent.add(ip)
        if search.is_absent_at(self.station.directory.agent_ips()):
            self.searches.pop(key)
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
            if search.is_absent_at(agent_ips):
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
