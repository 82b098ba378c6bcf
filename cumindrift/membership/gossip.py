"""Gossip: how members learn of each other, without I/O."""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import Gossip, Leave
from cumindrift.membership.view import View
from cumindrift.traffic.action import SendMessage

GOSSIP_PERIOD_S = 0.5
GOSSIP_FANOUT = 2
SILENCE_DEAD_S = 4.0


@define(slots=True)
class MembershipCore:
    """Believes, tells and forgets members; one for each process.

    Used by the membership supervisor's beacon, which feeds it messages and
    ticks and hands each changed view to `on_view`.
    """

    me: Member
    seeds: tuple[Endpoint, ...]
    random: Random
    on_view: Callable[[View], None]
    view: View = field(factory=View)
    data_centres_out: frozenset[str] = frozenset()
    _members: dict[int, Member] = field(factory=dict)
    _heard_s: dict[int, float] = field(factory=dict)
    _next_s: float = 0.0

    def on_gossip(self, gossip: Gossip, now_s: float) -> list[SendMessage]:
        """Believes what is newer; answers when asked to."""
        self._heard_s[gossip.sender.member_id] = now_s
        changed = [
            self._believe(member, now_s)
            for member in (gossip.sender, *gossip.members)
        ]
        if any(changed):
            self._publish()
        if not gossip.wants_answer:
            return []
        return [self._tell(gossip.sender.endpoint, wants_answer=False)]

    def on_leave(self, leave: Leave, now_s: float) -> None:
        """Notes that a member left in order."""
        if self._believe(leave.sender, now_s):
            self._publish()

    def merge(self, members: Iterable[Member], now_s: float) -> None:
        """Takes members that a roster names; older records change nothing."""
        changed = [self._believe(member, now_s) for member in members]
        if any(changed):
            self._publish()

    def on_data_centres_out(self, names: frozenset[str]) -> None:
        """Takes the data centres that the settings put out."""
        if names != self.data_centres_out:
            self.data_centres_out = names
            self._publish()

    def change_state(self, state: MemberState) -> list[SendMessage]:
        """Changes the own state and tells it at once."""
        self.me = evolve(self.me, state=state, revision=self.me.revision + 1)
        self._publish()
        return [
            self._tell(endpoint, wants_answer=False)
            for endpoint in self._partners(GOSSIP_FANOUT * 2)
        ]

    def tick(self, now_s: float) -> list[SendMessage]:
        """Gossips once a period and buries the silent."""
        if now_s < self._next_s:
            return []
        self._next_s = now_s + GOSSIP_PERIOD_S
        self._bury(now_s)
        return [
            self._tell(endpoint, wants_answer=True)
            for endpoint in self._partners(GOSSIP_FANOUT)
        ]

    def _believe(self, member: Member, now_s: float) -> bool:
        if member.member_id == self.me.member_id:
            return False
        known = self._members.get(member.member_id)
        if known is not None and not member.newer_than(known):
            return False
        self._members[member.member_id] = member
        self._heard_s.setdefault(member.member_id, now_s)
        return True

    def _bury(self, now_s: float) -> None:
        silent = [
            member
            for member in self._members.values()
            if member.state < MemberState.LEFT
            and now_s - self._heard_s[member.member_id] > SILENCE_DEAD_S
        ]
        for member in silent:
            self._members[member.member_id] = evolve(
                member,
                state=MemberState.DEAD,
            )
        if silent:
            self._publish()

    def _partners(self, count: int) -> list[Endpoint]:
        alive = [
            member.endpoint
            for member in self._members.values()
            if member.state < MemberState.LEFT
        ]
        chosen = self.random.sample(alive, min(count, len(alive)))
        if self.seeds:
            chosen.append(self.random.choice(self.seeds))
        return [peer for peer in chosen if peer != self.me.endpoint]

    def _tell(self, peer: Endpoint, *, wants_answer: bool) -> SendMessage:
        gossip = Gossip(self.me, tuple(self._members.values()), wants_answer)
        return SendMessage(peer, gossip)

    def _publish(self) -> None:
        members = [*self._members.values(), self.me]
        self.view = View(
            (member for member in members if member.state < MemberState.LEFT),
            self.data_centres_out,
        )
        self.on_view(self.view)
