"""Beliefs: what is taken from claims, and what is passed on of it."""

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Claim, Member, MemberState
from cumindrift.membership.message import News
from cumindrift.membership.rumour import RumourQueue
from cumindrift.membership.suspicion import FreezeGuard
from cumindrift.membership.table import MemberTable, Taken

# How long a record that was asked for is not asked for again.
WANT_RETRY_S = 0.3

# How often a doubted process announces itself anew.
REFUTE_PERIOD_S = 0.5


@define(slots=True, eq=False)
class Beliefs:
    """Weighs claims and records against what is known; one a process.

    An owner's own newer word always wins. What others say of this process
    is refuted by a higher revision.
    """

    me: Member
    table: MemberTable = field(factory=MemberTable)
    guard: FreezeGuard = field(factory=FreezeGuard)
    rumours: RumourQueue = field(factory=RumourQueue)
    is_superseded: bool = False
    _wanted_s: dict[int, float] = field(factory=dict)
    _now_s: float = 0.0
    _refuted_s: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Announces this process."""
        self._renew(self.me)

    def take_news(self, news: News, now_s: float) -> list[int]:
        """Takes what a message carried; returns the records to ask for."""
        for suspicion in news.suspicions:
            self.suspect(suspicion, now_s)
        return self.take_claims(news.claims, now_s)

    def take_claims(
        self,
        claims: tuple[Claim, ...],
        now_s: float,
    ) -> list[int]:
        """Takes claims; returns the members whose records are missing."""
        missing = [
            claim.member_id
            for claim in claims
            if self.take_claim(claim, now_s) is Taken.MISSING
        ]
        return [
            member_id
            for member_id in missing
            if self._may_want(member_id, now_s)
        ]

    def take_claim(self, claim: Claim, now_s: float) -> Taken:
        """Takes one claim, unless the removal that it asks for is frozen."""
        self._now_s = now_s
        if claim.member_id == self.me.member_id:
            return self._hear_of_me(claim, None)
        if claim.state is MemberState.DEAD and self._hold(claim, now_s):
            return Taken.OLD
        taken = self.table.take_claim(claim, now_s)
        if taken is Taken.NEW:
            self._pass_on(claim, now_s)
        return taken

    def take_record(self, member: Member, now_s: float) -> Taken:
        """Takes one whole record."""
        self._now_s = now_s
        self._wanted_s.pop(member.member_id, None)
        if member.member_id == self.me.member_id:
            return self._hear_of_me(member.claim(), member.endpoint)
        taken = self.table.take_record(member, now_s)
        if taken is Taken.NEW:
            self._pass_on(member.claim(), now_s)
        return taken

    def suspect(self, claim: Claim, now_s: float) -> None:
        """Notes that a member does not answer, and passes it on."""
        self._now_s = now_s
        if claim.member_id == self.me.member_id:
            self._hear_of_me(evolve(claim, state=MemberState.DEAD), None)
            return
        member = self.table.live.get(claim.member_id)
        if member is None or member.rank > claim.rank:
            return
        if self.guard.suspect(member, now_s):
            self.rumours.suspect(claim, len(self.table.live), now_s)

    def change_me(self, state: MemberState) -> None:
        """Announces this process anew, under a higher revision."""
        revision = self.me.revision + 1
        self._renew(evolve(self.me, state=state, revision=revision))

    def refute(self, now_s: float) -> None:
        """Announces this process anew because a peer doubts it."""
        self._now_s = now_s
        if now_s >= self._refuted_s + REFUTE_PERIOD_S and not self.me.is_gone:
            self._refuted_s = now_s
            self.change_me(self.me.state)

    def expire(self, now_s: float) -> None:
        """Removes the held members that are due; forgets what is old."""
        self._now_s = now_s
        for member in self.guard.review(self.table, now_s):
            claim = evolve(member.claim(), state=MemberState.DEAD)
            if self.table.take_claim(claim, now_s) is Taken.NEW:
                self._pass_on(claim, now_s)
        self.table.forget(now_s)

    def _hold(self, claim: Claim, now_s: float) -> bool:
        member = self.table.live.get(claim.member_id)
        if member is None or claim.rank <= member.rank:
            return False
        self.suspect(claim, now_s)
        if not self.guard.is_frozen(member, self.table.group_sizes):
            return False
        self.guard.hold(member, now_s)
        return True

    def _pass_on(self, claim: Claim, now_s: float) -> None:
        # A death goes on to count as a suspicion; any other news ends it.
        if claim.state is not MemberState.DEAD:
            self.guard.clear(claim.member_id)
        self.rumours.spread(claim, len(self.table.live), now_s)

    def _may_want(self, member_id: int, now_s: float) -> bool:
        if now_s < self._wanted_s.get(member_id, 0):
            return False
        self._wanted_s[member_id] = now_s + WANT_RETRY_S
        return True

    def _hear_of_me(self, claim: Claim, endpoint: Endpoint | None) -> Taken:
        if claim.rank <= self.me.rank or self.me.is_gone:
            return Taken.OLD
        if claim.incarnation == self.me.incarnation:
            renewed = evolve(self.me, revision=claim.revision + 1)
            self._renew(renewed)
            return Taken.OLD
        if endpoint is None:
            return Taken.MISSING
        if endpoint == self.me.endpoint:
            # A former process at this address had a clock ahead of ours.
            self._renew(evolve(self.me, incarnation=claim.incarnation + 1))
            return Taken.OLD
        self.is_superseded = True
        return Taken.OLD

    def _renew(self, member: Member) -> None:
        self.me = member
        self.table.take_record(member, self._now_s)
        peer_count = len(self.table.live)
        self.rumours.spread(member.claim(), peer_count, self._now_s)
