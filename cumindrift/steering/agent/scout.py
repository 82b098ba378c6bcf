"""Searches among agents on behalf of balancers, which may be weak."""

from attrs import define, evolve, field

from cumindrift.steering.agent.homes import HomeBook
from cumindrift.steering.agent.station import AgentStation
from cumindrift.steering.frame import Carried, FrameKind
from cumindrift.steering.packet import FlowPacket

# A balancer has asked elsewhere long before.
QUEST_S = 2.0
QUESTS_MAX = 16_384


@define(slots=True, eq=False, repr=False)
class Quest:
    """One search: for whom, whom to ask, who has denied the flow."""

    carried: Carried
    started_s: float
    absent: set[str] = field(factory=set)
    # Whether all were asked, or only the agent that a record names.
    is_wide: bool = False


@define(slots=True, eq=False, repr=False)
class Scout:
    """Asks the agent that a record names, else all that a balancer lists.

    The holder answers the balancer itself; the scout tells it only when
    everybody asked has denied the flow for sure.
    """

    station: AgentStation
    book: HomeBook
    _quests: dict[bytes, Quest] = field(factory=dict)

    def seek(self, carried: Carried, packet: FlowPacket, now_s: float) -> None:
        """Starts a search; a later one for the same flow replaces it."""
        key = packet.flow_key
        if len(self._quests) >= QUESTS_MAX:
            self._quests.pop(next(iter(self._quests)))
        quest = Quest(carried, now_s)
        self._quests[key] = quest
        holder = self.book.holder_of(key)
        if holder in carried.candidate_ips:
            self._ask(carried, (holder,))
        else:
            self._widen(quest)

    def on_absent(self, ip: str, key: bytes) -> None:
        """Takes an agent's word that it does not hold a flow."""
        quest = self._quests.get(key)
        if quest is None:
            return
        quest.absent.add(ip)
        if not quest.is_wide:
            self.book.drop(key)
            self._widen(quest)
        asked = quest.carried.candidate_ips
        if quest.absent.issuperset(asked):
            self._quests.pop(key)
            self.station.tell(
                quest.carried.origin_ip,
                FrameKind.NOWHERE,
                key,
                is_certain=True,
            )

    def expire(self, now_s: float) -> None:
        """Forgets the searches that are over."""
        ended = [
            key
            for key, quest in self._quests.items()
            if now_s - quest.started_s > QUEST_S
        ]
        for key in ended:
            self._quests.pop(key)

    def _widen(self, quest: Quest) -> None:
        quest.is_wide = True
        asked = quest.carried.candidate_ips
        self._ask(
            quest.carried,
            tuple(ip for ip in asked if ip not in quest.absent),
        )

    def _ask(self, carried: Carried, ips: tuple[str, ...]) -> None:
        question = evolve(
            carried,
            kind=FrameKind.SEARCH,
            candidate_ips=(),
        )
        for ip in ips:
            self.station.outlet.carry(ip, question)
