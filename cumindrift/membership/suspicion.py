"""Suspicions, and the freeze of removals when there are too many."""

from collections import Counter

from attrs import define, field
from xxhash import xxh3_64_intdigest

from cumindrift.membership.member import Member
from cumindrift.membership.table import MemberTable, failure_domains_of

# Removals in a data centre or region are frozen once this many of its members
# are suspected, because the fault is then probably on our side. The number is
# a share of the members, within two bounds.
FREEZE_SHARE = 0.3
FREEZE_COUNT_MIN = 3
FREEZE_COUNT_MAX = 256

# How long a suspicion lasts when it is not renewed.
SUSPICION_S = 10.0

REVIEW_PERIOD_S = 0.4

# How long a held member is kept, and the time over which removals are spread.
HOLD_S = 30.0
HOLD_JITTER_S = 30.0

_JITTER_STEPS = 1024


@define(slots=True)
class Suspicion:
    """One suspected member, and when the suspicion ends.

    `is_held` is set once its removal was frozen; `until_s` is then the time
    of its removal.
    """

    member: Member
    until_s: float
    is_held: bool = False

    @property
    def member_id(self) -> int:
        """The id of the suspected member."""
        return self.member.member_id


@define(slots=True, eq=False)
class FreezeGuard:
    """Counts suspected members by failure domain and freezes removals.

    While too many members of a domain are suspected, they are held: kept in
    the view and marked as suspects. A freeze ends by itself, because each
    held member is removed after HOLD_S and a jitter derived from its name,
    so that all processes remove it at nearly the same time. There is one
    instance per process.
    """

    suspicions: dict[int, Suspicion] = field(factory=dict)
    _domain_counts: Counter[tuple[str, str]] = field(factory=Counter)
    # Cached until the next change, as it may have thousands of members.
    _held: frozenset[int] | None = None
    _reviewed_s: float = float('-inf')

    @property
    def held(self) -> frozenset[int]:
        """The ids of the members that are kept although they are suspected."""
        if self._held is None:
            self._held = frozenset(
                member_id
                for member_id, suspicion in self.suspicions.items()
                if suspicion.is_held
            )
        return self._held

    def suspect(self, member: Member, now_s: float) -> bool:
        """Starts or renews a suspicion; True when it is new."""
        known = self.suspicions.get(member.member_id)
        if known is not None:
            if not known.is_held:
                known.until_s = now_s + SUSPICION_S
            return False
        suspicion = Suspicion(member, now_s + SUSPICION_S)
        self.suspicions[member.member_id] = suspicion
        self._domain_counts.update(failure_domains_of(member))
        return True

    def hold(self, member: Member, now_s: float) -> None:
        """Keeps a suspected member while removals are frozen."""
        self.suspect(member, now_s)
        suspicion = self.suspicions[member.member_id]
        if not suspicion.is_held:
            suspicion.is_held = True
            self._held = None
            suspicion.until_s = now_s + HOLD_S + _jitter_s(member)

    def clear(self, member_id: int) -> bool:
        """Ends a suspicion; returns whether there was one."""
        suspicion = self.suspicions.pop(member_id, None)
        if suspicion is None:
            return False
        if suspicion.is_held:
            self._held = None
        self._domain_counts.subtract(failure_domains_of(suspicion.member))
        return True

    def clear_all(self) -> None:
        """Ends all suspicions, because this process itself was isolated."""
        for member_id in list(self.suspicions):
            self.clear(member_id)

    def is_frozen(
        self,
        member: Member,
        sizes: Counter[tuple[str, str]],
    ) -> bool:
        """Returns whether one of the member's failure domains is frozen.

        `sizes` are the numbers of live members by failure domain.
        """
        return any(
            self._domain_counts[domain] >= freeze_threshold(sizes[domain])
            for domain in failure_domains_of(member)
        )

    def expire(self, table: MemberTable, now_s: float) -> list[Member]:
        """Holds the members of frozen domains; drops expired suspicions.

        Returns the held members that are to be removed now.
        """
        if now_s < self._reviewed_s + REVIEW_PERIOD_S:
            return []
        self._reviewed_s = now_s
        for suspicion in self.suspicions.values():
            if not suspicion.is_held and suspicion.member_id in table.live:
                self._review(suspicion, table, now_s)
        due = [
            suspicion
            for suspicion in self.suspicions.values()
            if suspicion.until_s <= now_s
        ]
        for suspicion in due:
            self.clear(suspicion.member_id)
        return [suspicion.member for suspicion in due if suspicion.is_held]

    def _review(
        self,
        suspicion: Suspicion,
        table: MemberTable,
        now_s: float,
    ) -> None:
        if self.is_frozen(suspicion.member, table.domain_sizes):
            self.hold(suspicion.member, now_s)


def freeze_threshold(size: int) -> int:
    """Returns how many suspects freeze a failure domain of `size` members."""
    share = round(size * FREEZE_SHARE)
    return max(FREEZE_COUNT_MIN, min(share, FREEZE_COUNT_MAX))


def _jitter_s(member: Member) -> float:
    step = xxh3_64_intdigest(member.name.encode()) % _JITTER_STEPS
    return HOLD_JITTER_S * step / _JITTER_STEPS
