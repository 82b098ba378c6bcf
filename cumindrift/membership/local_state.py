"""Local state of one process: merges claims and records from peers."""

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.membership.dissemination import DisseminationQueue
from cumindrift.membership.member import Claim, Member, MemberState
from cumindrift.membership.message import Updates
from cumindrift.membership.suspicion import FreezeGuard
from cumindrift.membership.table import ApplyResult, MemberTable

# A missing record is requested again no sooner than this.
RECORD_REQUEST_RETRY_S = 0.3
# With more entries than this, the request times are dropped altogether.
RECORD_REQUESTS_MAX = 4096

# Minimum interval between two refutations of a suspicion.
REFUTE_PERIOD_S = 0.5


@define(slots=True, eq=False)
class LocalState:
    """Member table of this process, and the rules that merge updates into it.

    The claim or record with the highest rank wins (see `Claim.rank`). Only
    the member itself raises its incarnation and revision, so it can refute
    whatever other members claim about it. There is one instance per process.
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
        """Stores the record of this process and queues it to disseminate."""
        self._set_own_record(self.me)

    def apply_updates(self, updates: Updates, now_s: float) -> list[int]:
        """Applies piggybacked updates; returns the ids of missing records."""
        for suspicion in updates.suspicions:
            self.suspect(suspicion, now_s)
        return self.apply_claims(updates.claims, now_s)

    def apply_claims(
        self,
        claims: tuple[Claim, ...],
        now_s: float,
    ) -> list[int]:
        """Applies claims; returns the ids of the records to request."""
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
        """Applies one claim, except for a death while removals are frozen."""
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
        """Applies one whole record."""
        self._now_s = now_s
        self._requested_s.pop(member.member_id, None)
        if member.member_id == self.me.member_id:
            return self._apply_own_claim(member.claim(), member.endpoint)
        outcome = self.table.apply_record(member, now_s)
        if outcome is ApplyResult.APPLIED:
            self._disseminate(member.claim(), now_s)
        return outcome

    def suspect(self, claim: Claim, now_s: float) -> None:
        """Starts or renews a suspicion; queues a new one for dissemination."""
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
        """Announces this process in a state, under the next revision."""
        revision = self.me.revision + 1
        self._set_own_record(evolve(self.me, state=state, revision=revision))

    def refute(self, now_s: float) -> None:
        """Refutes a suspicion of this process with the next revision."""
        self._now_s = now_s
        if now_s >= self._refuted_s + REFUTE_PERIOD_S and not self.me.is_gone:
            self._refuted_s = now_s
            self.announce(self.me.state)

    def expire(self, now_s: float) -> None:
        """Removes the held members that are due, and drops expired entries."""
        self._now_s = now_s
        for member in self.guard.expire(self.table, now_s):
            claim = evolve(member.claim(), state=MemberState.DEAD)
            if self.table.apply_claim(claim, now_s) is ApplyResult.APPLIED:
                self._disseminate(claim, now_s)
        self.table.expire_tombstones(now_s)
        if len(self._requested_s) > RECORD_REQUESTS_MAX:
            self._requested_s.clear()

    def _withhold_death(self, claim: Claim, now_s: float) -> bool:
        """Returns whether a death is not applied: removals are frozen.

        Unless the claim is stale, the member is suspected; if its removal
        is frozen, it is also held.
        """
        member = self.table.live.get(claim.member_id)
        if member is None or claim.rank <= member.rank:
            return False
        self.suspect(claim, now_s)
        if not self.guard.is_frozen(member, self.table.domain_sizes):
            return False
        self.guard.hold(member, now_s)
        return True

    def _disseminate(self, claim: Claim, now_s: float) -> None:
        # A dead member still counts towards the freeze threshold; any other
        # state ends the suspicion.
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
            # An earlier process at this address had a clock ahead of ours:
            # its incarnation, a start time, is higher than that of this one.
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
