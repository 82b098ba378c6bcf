"""The membership protocol of one process, without I/O."""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.invariant import require
from cumindrift.membership.anti_entropy import pack_bucket_sums
from cumindrift.membership.detector import (
    MONITORED_COUNT,
    FailureDetector,
    ProbeStep,
)
from cumindrift.membership.handlers import message_handlers
from cumindrift.membership.local_state import LocalState
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import (
    NO_UPDATES,
    Digest,
    Gossip,
    Message,
    Ping,
    PingRequest,
    Sender,
)
from cumindrift.membership.view import View
from cumindrift.traffic.action import SendMessage

GOSSIP_FANOUT = 3
ANNOUNCE_FANOUT = 6
INDIRECT_PROBE_COUNT = 3

# Up to this many queued updates are gossiped on arrival. More of them wait
# for the next tick, so that one message carries many.
EAGER_UPDATES_MAX = 4
EAGER_GOSSIP_GAP_S = 0.05

# Mean time between two digest exchanges (anti-entropy), after and before
# this process has joined.
SYNC_PERIOD_S = 5.0
JOIN_PERIOD_S = 0.5

# Every third exchange (before joining: each) also goes to a seed and to a
# member that is gone, so that a partition heals once the network does.
_FAR_SYNC_INTERVAL = 3

# A process that has received nothing for this long assumes that it is
# isolated, and suspects nobody. With at most three members this is not
# checked: silence may just mean that the one or two others are dead.
ISOLATION_TIMEOUT_S = 1.5
_ISOLATION_MEMBERS_MAX = 3


@define(slots=True, eq=False)
class MembershipCore:
    """Runs the membership protocol for one process.

    It combines the failure detector, gossip and anti-entropy. The membership
    supervisor calls `receive` and `tick` and sends the messages that they
    return; each changed view goes to `on_view`.
    """

    me: Member
    seeds: tuple[Endpoint, ...]
    random: Random
    on_view: Callable[[View], None]
    view: View = field(factory=View)
    data_centres_out: frozenset[str] = frozenset()
    local_state: LocalState = field(init=False)
    detector: FailureDetector = field(init=False)
    # Set once a digest exchange showed next to no difference to a peer.
    is_joined: bool = False
    last_received_s: float = float('-inf')
    _eager_gossip_s: float = float('-inf')
    _next_sync_s: float = 0.0
    _sync_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Starts with only the record of this process."""
        self.local_state = LocalState(self.me)
        self.detector = FailureDetector(self.random)

    @property
    def is_superseded(self) -> bool:
        """Whether a newer process has taken the name of this one."""
        return self.local_state.is_superseded

    @property
    def is_busy(self) -> bool:
        """Whether there are updates to send or acks to wait for."""
        return bool(self.local_state.dissemination) or self.detector.is_waiting

    @property
    def sender(self) -> Sender:
        """The sender part of the messages of this process."""
        return Sender(self.me.claim(), self.me.endpoint)

    def members(self) -> list[Member]:
        """Returns the live members, including this process."""
        return list(self.local_state.table.live.values())

    def merge(self, members: Iterable[Member], now_s: float) -> None:
        """Merges records from the platform's roster; the newer one wins.

        Idempotent. Records of members that are gone are ignored: a
        member is removed only by its own announcement or a failed probe.
        """
        for member in members:
            if not member.is_gone:
                self.local_state.apply_record(member, now_s)
        self._adopt_own_record()

    def receive(self, message: Message, now_s: float) -> list[SendMessage]:
        """Handles a message from a peer; returns the messages to send."""
        if self.is_superseded:
            return []
        self.last_received_s = now_s
        added_count = self.local_state.dissemination.added_count
        handle = message_handlers.get(type(message).__name__)
        actions = handle(self, message, now_s)
        self._adopt_own_record()
        if self.local_state.dissemination.added_count > added_count:
            actions += self._gossip_eagerly(now_s)
        return actions

    def on_data_centres_out(self, names: frozenset[str]) -> None:
        """Sets the data centres that the settings take out of service."""
        if names != self.data_centres_out:
            self.data_centres_out = names
            self._publish()

    def change_state(self, state: MemberState) -> list[SendMessage]:
        """Changes the state of this process and gossips it at once."""
        self.local_state.announce(state)
        self._adopt_own_record()
        self._publish()
        if not self.detector.has_ticked:
            # The time is not known yet; the first tick sends the gossip.
            return []
        return self._gossip(ANNOUNCE_FANOUT, self.detector.ticked_s)

    def tick(self, now_s: float) -> list[SendMessage]:
        """Runs what is due: expiry, probes, gossip, sync, and the new view."""
        if self.is_superseded:
            return []
        if not self._may_suspect(now_s):
            self.local_state.guard.clear_all()
        self.local_state.expire(now_s)
        if self.detector.detect_pause(now_s):
            self.local_state.announce(self.me.state)
        self._adopt_own_record()
        self._monitor_successors(now_s)
        actions = self._probe(now_s)
        actions += self._gossip(GOSSIP_FANOUT, now_s)
        actions += self._sync(now_s)
        self._publish_changes()
        return actions

    def digest(self, *, wants_digest: bool) -> Digest:
        """Returns the digest of the member table for a peer to compare."""
        sums = pack_bucket_sums(self.local_state.table)
        return Digest(self.sender, sums, wants_digest)

    def _adopt_own_record(self) -> None:
        if self.local_state.me is not self.me:
            require(
                self.local_state.me.rank > self.me.rank,
                'own record goes up only',
                former=self.me,
                next=self.local_state.me,
            )
            self.me = self.local_state.me

    def _monitor_successors(self, now_s: float) -> None:
        detector = self.detector
        table = self.local_state.table
        for member_id in list(detector.probes):
            if member_id not in table.live:
                detector.forget(member_id)
        monitored = table.successors(self.me.member_id, MONITORED_COUNT)
        detector.monitor(monitored, now_s)

    def _probe(self, now_s: float) -> list[SendMessage]:
        actions: list[SendMessage] = []
        for member_id, step in self.detector.due_steps(now_s):
            member = self.local_state.table.live.get(member_id)
            if member is None:
                self.detector.forget(member_id)
                continue
            self._apply_step(member, step, now_s)
            actions.append(self._ping(member, now_s))
            if step is not ProbeStep.PING:
                actions += self._request_indirect_pings(member)
        return actions

    def _apply_step(
        self, member: Member, step: ProbeStep, now_s: float
    ) -> None:
        if not self._may_suspect(now_s):
            self.detector.reset_rounds(member.member_id)
        elif step is ProbeStep.SUSPECT:
            self.local_state.suspect(member.claim(), now_s)
        elif step is ProbeStep.DECLARE_DEAD:
            claim = evolve(member.claim(), state=MemberState.DEAD)
            self.local_state.apply_claim(claim, now_s)

    def _may_suspect(self, now_s: float) -> bool:
        if len(self.local_state.table.live) <= _ISOLATION_MEMBERS_MAX:
            return True
        return now_s - self.last_received_s <= ISOLATION_TIMEOUT_S

    def _ping(self, member: Member, now_s: float) -> SendMessage:
        probe = self.detector.probes[member.member_id]
        ping = Ping(
            self.sender,
            self.me.endpoint,
            probe.sequence,
            member.member_id,
            probe.is_suspected,
            self.local_state.dissemination.next_updates(now_s),
        )
        return SendMessage(member.endpoint, ping)

    def _request_indirect_pings(self, member: Member) -> list[SendMessage]:
        probe = self.detector.probes[member.member_id]
        request = PingRequest(
            self.sender,
            probe.sequence,
            member.member_id,
            member.endpoint,
            probe.is_suspected,
        )
        return [
            SendMessage(helper.endpoint, request)
            for helper in self._random_members(INDIRECT_PROBE_COUNT)
            if helper.member_id != member.member_id
        ]

    def _gossip(self, fanout: int, now_s: float) -> list[SendMessage]:
        actions: list[SendMessage] = []
        if not self.local_state.dissemination:
            return actions
        for partner in self._random_members(fanout):
            updates = self.local_state.dissemination.next_updates(now_s)
            if updates is NO_UPDATES:
                return actions
            gossip = Gossip(self.sender, updates)
            actions.append(SendMessage(partner.endpoint, gossip))
        return actions

    def _gossip_eagerly(self, now_s: float) -> list[SendMessage]:
        is_soon = now_s < self._eager_gossip_s + EAGER_GOSSIP_GAP_S
        if is_soon or len(self.local_state.dissemination) > EAGER_UPDATES_MAX:
            return []
        self._eager_gossip_s = now_s
        return self._gossip(GOSSIP_FANOUT, now_s)

    def _sync(self, now_s: float) -> list[SendMessage]:
        if now_s < self._next_sync_s or self.me.is_gone:
            return []
        period_s = SYNC_PERIOD_S if self.is_joined else JOIN_PERIOD_S
        self._next_sync_s = now_s + period_s * (0.5 + self.random.random())
        self._sync_count += 1
        peers = [partner.endpoint for partner in self._random_members(1)]
        if not self.is_joined or not self._sync_count % _FAR_SYNC_INTERVAL:
            peers += self._far_peers()
        digest = self.digest(wants_digest=not self.is_joined)
        return [
            SendMessage(peer, digest)
            for peer in peers
            if peer != self.me.endpoint
        ]

    def _far_peers(self) -> list[Endpoint]:
        peers: list[Endpoint] = []
        if self.seeds:
            peers.append(self.random.choice(self.seeds))
        gone = list(self.local_state.table.tombstones.values())
        if gone:
            peers.append(self.random.choice(gone).member.endpoint)
        return peers

    def _random_members(self, count: int) -> list[Member]:
        table = self.local_state.table
        size = len(table.ring)
        numbers = self.random.sample(range(size), min(2 * count + 1, size))
        chosen = [table.ring[number] for number in numbers]
        # Suspected members come last: messages to them are probably lost.
        chosen.sort(key=self.local_state.guard.suspicions.__contains__)
        return [
            table.live[member_id]
            for member_id in chosen
            if member_id != self.me.member_id
        ][:count]

    def _publish_changes(self) -> None:
        has_changed = self.local_state.table.changed
        if has_changed or self.local_state.guard.held != self.view.suspects:
            self._publish()

    def _publish(self) -> None:
        table = self.local_state.table
        changes = {
            member_id: table.live.get(member_id) for member_id in table.changed
        }
        table.changed.clear()
        self.view = self.view.successor(
            changes,
            self.data_centres_out,
            self.local_state.guard.held,
        )
        self.on_view(self.view)
