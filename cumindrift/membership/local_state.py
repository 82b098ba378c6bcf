"""Local state: how claims and records from peers are merged."""

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.membership.dissemination import DisseminationQueue
from cumindrift.membership.member import Claim, Member, MemberState
from cumindrift.membership.message import Updates
from cumindrift.membership.suspicion import FreezeGuard
from cumindrift.membership.table import ApplyResult, MemberTable

# How long a record that was asked for is not asked for again.
RECORD_REQUEST_RETRY_S = 0.3
RECORD_REQUESTS_MAX = 4096

# How often a doubted process announces itself anew.
REFUTE_PERIOD_S = 0.5


@define(slots=True, eq=False)
class LocalState:
    """Weighs claims and records against what is known; one a process.

    An owner's own newer word always wins. What others say of this process
    is refuted by a higher revision.
    """

    me: Member
    table: MemberTable = field(factory=MemberTable)
    guard: FreezeGuard = field(factory=FreezeGuard)
    dissemination: DisseminationQueue = field(factory=DisseminationQueue)
    is_superseded: bool = False
    _requested_s: dict[int, float] = field(factory=dict)
    _now_s: float = 0.0
    _refuted_s: float = float('-inf')

    def __attrs_post_init__(self) -> None:
        """Announces this process."""
        self._set_own_record(self.me)

    def apply_updates(self, news: Updates, now_s: float) -> list[int]:
        """Takes what a message carried; returns the records to ask for."""
        for suspicion in news.suspicions:
            self.suspect(suspicion, now_s)
        return self.apply_claims(news.claims, now_s)

    def apply_claims(
        self,
        claims: tuple[Claim, ...],
        now_s: float,
    ) -> list[int]:
        """Takes claims; returns the members whose records are missing."""
        missing = [
            claim.member_id
            for claim in claims
            if self.apply_claim(claim, now_s) is ApplyResult.RECORD_MISSING
        ]
        return [
            member_id
            for member_id in missing
            if self._may_request(member_id, now_s)
        ]

    def apply_claim(self, claim: Claim, now_s: float) -> ApplyResult:
        """Takes one claim, unless the removal that it asks for is frozen."""
        self._now_s = now_s
        if claim.member_id == self.me.member_id:
            return self._apply_own_claim(claim, None)
        if claim.state is MemberState.DEAD and self._withhold_death(
            claim, now_s
        ):
            return ApplyResult.STALE
        outcome = self.table.apply_claim(claim, now_s)
        if outcome is ApplyResult.APPLIED:
            self._disseminate(claim, now_s)
        return outcome

    def apply_record(self, member: Member, now_s: float) -> ApplyResult:
        """Takes one whole record."""
        self._now_s = now_s
        self._requested_s.pop(member.member_id, None)
        if member.member_id == self.me.member_id:
            return self._apply_own_claim(member.claim(), member.endpoint)
        outcome = self.table.apply_record(member, now_s)
        if outcome is ApplyResult.APPLIED:
            self._disseminate(member.claim(), now_s)
        return outcome

    def suspect(self, claim: Claim, now_s: float) -> None:
        """Notes that a member does not answer, and passes it on."""
        self._now_s = now_s
        if claim.member_id == self.me.member_id:
            self._apply_own_claim(evolve(claim, state=MemberState.DEAD), None)
            return
        member = self.table.live.get(claim.member_id)
        if member is None or member.rank > claim.rank:
            return
        if self.guard.suspect(member, now_s):
            self.dissemination.add_suspicion(claim, len(self.table.live), now_s)

    def announce(self, state: MemberState) -> None:
        """Announces this process anew, under a higher revision."""
        revision = self.me.revision + 1
        self._set_own_record(evolve(self.me, state=state, revision=revision))

    def refute(self, now_s: float) -> None:
        """Announces this process anew because a peer doubts it."""
        self._now_s = now_s
        if now_s >= self._refuted_s + REFUTE_PERIOD_S and not self.me.is_gone:
            self._refuted_s = now_s
            self.announce(self.me.state)

    def expire(self, now_s: float) -> None:
        """Removes the held members that are due; forgets what is old."""
        self._now_s = now_s
        for member in self.guard.expire(self.table, now_s):
            claim = evolve(member.claim(), state=MemberState.DEAD)
            if self.table.apply_claim(claim, now_s) is ApplyResult.APPLIED:
                self._disseminate(claim, now_s)
        self.table.expire_tombstones(now_s)
        if len(self._requested_s) > RECORD_REQUESTS_MAX:
            self._requested_s.clear()

    def _withhold_death(self, claim: Claim, now_s: float) -> bool:
        member = self.table.live.get(claim.member_id)
        if member is None or claim.rank <= member.rank:
            return False
        self.suspect(claim, now_s)
        if not self.guard.is_frozen(member, self.table.domain_sizes):
            return False
        self.guard.hold(member, now_s)
        return True

    def _disseminate(self, claim: Claim, now_s: float) -> None:
        # A death goes on to count as a suspicion; any other news ends it.
        if claim.state is not MemberState.DEAD:
            self.guard.clear(claim.member_id)
        self.dissemination.add_state(claim, len(self.table.live), now_s)

    def _may_request(self, member_id: int, now_s: float) -> bool:
        if now_s < self._requested_s.get(member_id, 0):
            return False
        self._requested_s[member_id] = now_s + RECORD_REQUEST_RETRY_S
        return True

    def _apply_own_claim(
        self, claim: Claim, endpoint: Endpoint | None
    ) -> ApplyResult:
        if claim.rank <= self.me.rank or self.me.is_gone:
            return ApplyResult.STALE
        if claim.incarnation == self.me.incarnation:
            renewed = evolve(self.me, revision=claim.revision + 1)
            self._set_own_record(renewed)
            return ApplyResult.STALE
        if endpoint is None:
            return ApplyResult.RECORD_MISSING
        if endpoint == self.me.endpoint:
            # A former process at this address had a clock ahead of ours.
            self._set_own_record(
                evolve(self.me, incarnation=claim.incarnation + 1)
            )
            return ApplyResult.STALE
        self.is_superseded = True
        return ApplyResult.STALE

    def _set_own_record(self, member: Member) -> None:
        self.me = member
        self.table.apply_record(member, self._now_s)
        peer_count = len(self.table.live)
        self.dissemination.add_state(member.claim(), peer_count, self._now_s)
