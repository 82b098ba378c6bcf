"""The membership core: who is there, without I/O."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.invariant import require
from cumindrift.membership.belief import Beliefs
from cumindrift.membership.detector import WATCH_COUNT, Detector, Step
from cumindrift.membership.exchange import pack_sums
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import (
    NO_NEWS,
    Digest,
    Gossip,
    Message,
    Ping,
    PingRequest,
    Sender,
)
from cumindrift.membership.receive import receivers
from cumindrift.membership.view import View
from cumindrift.traffic.action import SendMessage

GOSSIP_FANOUT = 3
ANNOUNCE_FANOUT = 6
HELPER_COUNT = 3
SYNC_PERIOD_S = 5.0
JOIN_PERIOD_S = 0.5

# Each so many comparisons also one with a seed and with a lost member.
_FAR_SYNC = 3

# Who heard nobody for so long is cut off itself and judges nobody.
HEARD_S = 1.5
_PEER_COUNT_TO_HEAR = 3


@define(slots=True, eq=False)
class MembershipCore:
    """Believes, probes, tells and forgets members; one for each process.

    Used by the membership supervisor's beacon, which feeds it messages and
    ticks and hands each changed view to `on_view`.
    """

    me: Member
    seeds: tuple[Endpoint, ...]
    random: Random
    on_view: Callable[[View], None]
    view: View = field(factory=View)
    data_centres_out: frozenset[str] = frozenset()
    beliefs: Beliefs = field(init=False)
    detector: Detector = field(init=False)
    # True once a comparison with a peer found next to no difference.
    is_joined: bool = False
    heard_s: float = float('-inf')
    _sync_s: float = 0.0
    _sync_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Starts with the own record only."""
        self.beliefs = Beliefs(self.me)
        self.detector = Detector(self.random)

    @property
    def is_superseded(self) -> bool:
        """Tells whether a later process of the same name was met."""
        return self.beliefs.is_superseded

    @property
    def sender(self) -> Sender:
        """Returns how this process names itself in messages."""
        return Sender(self.me.claim(), self.me.endpoint)

    def members(self) -> list[Member]:
        """Returns the members that are not gone, this process included."""
        return list(self.beliefs.table.live.values())

    def merge(self, members: Iterable[Member], now_s: float) -> None:
        """Takes records from the platform's roster; the newer one wins.

        Idempotent. A record that says that a member is gone is left out:
        only its own word or a failed probe removes a member.
        """
        for member in members:
            if not member.is_gone:
                self.beliefs.take_record(member, now_s)
        self._follow_me()

    def receive(self, message: Message, now_s: float) -> list[SendMessage]:
        """Takes one message of a peer; returns the answers."""
        if self.is_superseded:
            return []
        self.heard_s = now_s
        handle = receivers.get(type(message).__name__)
        actions = handle(self, message, now_s)
        self._follow_me()
        return actions

    def on_data_centres_out(self, names: frozenset[str]) -> None:
        """Takes the data centres that the settings put out."""
        if names != self.data_centres_out:
            self.data_centres_out = names
            self._publish()

    def change_state(self, state: MemberState) -> list[SendMessage]:
        """Changes the own state and tells it at once."""
        self.beliefs.change_me(state)
        self._follow_me()
        self._publish()
        return self._tell(ANNOUNCE_FANOUT, self.detector.ticked_s)

    def tick(self, now_s: float) -> list[SendMessage]:
        """Probes, passes on news, compares, and publishes what changed."""
        if self.is_superseded:
            return []
        self.beliefs.expire(now_s)
        if self.detector.has_paused(now_s):
            self.beliefs.change_me(self.me.state)
        self._follow_me()
        self._watch(now_s)
        actions = self._probe(now_s)
        actions += self._tell(GOSSIP_FANOUT, now_s)
        actions += self._compare(now_s)
        self._publish_changes()
        return actions

    def send(self, peer: Endpoint, message: Any) -> SendMessage:
        """Returns the action that sends a message to a peer."""
        return SendMessage(peer, message)

    def digest(self, *, wants_digest: bool) -> Digest:
        """Returns the digest of what this process believes."""
        sums = pack_sums(self.beliefs.table)
        return Digest(self.sender, sums, wants_digest)

    def _follow_me(self) -> None:
        if self.beliefs.me is not self.me:
            require(
                self.beliefs.me.rank > self.me.rank,
                'own record goes up only',
                former=self.me,
                next=self.beliefs.me,
            )
            self.me = self.beliefs.me

    def _watch(self, now_s: float) -> None:
        detector = self.detector
        table = self.beliefs.table
        for member_id in list(detector.watches):
            if member_id not in table.live:
                detector.forget(member_id)
        watched = table.successors(self.me.member_id, WATCH_COUNT)
        detector.watch(watched, now_s)

    def _probe(self, now_s: float) -> list[SendMessage]:
        actions: list[SendMessage] = []
        for member_id, step in self.detector.due(now_s):
            member = self.beliefs.table.live.get(member_id)
            if member is None:
                self.detector.forget(member_id)
                continue
            self._judge(member, step, now_s)
            actions.append(self._ping(member, now_s))
            if step is not Step.PING:
                actions += self._ask_helpers(member)
        return actions

    def _judge(self, member: Member, step: Step, now_s: float) -> None:
        if step is Step.SUSPECT:
            self.beliefs.suspect(member.claim(), now_s)
        if step is Step.DECLARE_DEAD and self._may_judge(now_s):
            claim = evolve(member.claim(), state=MemberState.DEAD)
            self.beliefs.take_claim(claim, now_s)

    def _may_judge(self, now_s: float) -> bool:
        if len(self.beliefs.table.live) <= _PEER_COUNT_TO_HEAR:
            return True
        return now_s - self.heard_s <= HEARD_S

    def _ping(self, member: Member, now_s: float) -> SendMessage:
        watch = self.detector.watches[member.member_id]
        ping = Ping(
            self.sender,
            self.me.endpoint,
            watch.sequence,
            member.member_id,
            watch.is_doubted,
            self.beliefs.rumours.take(now_s),
        )
        return self.send(member.endpoint, ping)

    def _ask_helpers(self, member: Member) -> list[SendMessage]:
        watch = self.detector.watches[member.member_id]
        request = PingRequest(
            self.sender,
            watch.sequence,
            member.member_id,
            member.endpoint,
            watch.is_doubted,
        )
        return [
            self.send(helper.endpoint, request)
            for helper in self._partners(HELPER_COUNT)
            if helper.member_id != member.member_id
        ]

    def _tell(self, fanout: int, now_s: float) -> list[SendMessage]:
        actions: list[SendMessage] = []
        if not self.beliefs.rumours:
            return actions
        for partner in self._partners(fanout):
            news = self.beliefs.rumours.take(now_s)
            if news is NO_NEWS:
                return actions
            gossip = Gossip(self.sender, news)
            actions.append(self.send(partner.endpoint, gossip))
        return actions

    def _compare(self, now_s: float) -> list[SendMessage]:
        if now_s < self._sync_s or self.me.is_gone:
            return []
        period_s = SYNC_PERIOD_S if self.is_joined else JOIN_PERIOD_S
        self._sync_s = now_s + period_s * (0.5 + self.random.random())
        self._sync_count += 1
        peers = [partner.endpoint for partner in self._partners(1)]
        if not self.is_joined or not self._sync_count % _FAR_SYNC:
            peers += self._far_peers()
        digest = self.digest(wants_digest=not self.is_joined)
        return [
            self.send(peer, digest)
            for peer in peers
            if peer != self.me.endpoint
        ]

    def _far_peers(self) -> list[Endpoint]:
        peers: list[Endpoint] = []
        if self.seeds:
            peers.append(self.random.choice(self.seeds))
        gone = list(self.beliefs.table.gone.values())
        if gone:
            peers.append(self.random.choice(gone).member.endpoint)
        return peers

    def _partners(self, count: int) -> list[Member]:
        table = self.beliefs.table
        size = len(table.ring)
        numbers = self.random.sample(range(size), min(count + 1, size))
        chosen = [table.live[table.ring[number]] for number in numbers]
        return [
            member for member in chosen if member.member_id != self.me.member_id
        ][:count]

    def _publish_changes(self) -> None:
        has_changed = self.beliefs.table.changed
        if has_changed or self.beliefs.guard.held != self.view.suspects:
            self._publish()

    def _publish(self) -> None:
        table = self.beliefs.table
        changes = {
            member_id: table.live.get(member_id) for member_id in table.changed
        }
        table.changed.clear()
        self.view = self.view.successor(
            changes,
            self.data_centres_out,
            self.beliefs.guard.held,
        )
        self.on_view(self.view)
