"""Dissemination: which news is passed on, how often, and at what rate."""

from itertools import islice
from math import ceil, log

from attrs import define, field

from cumindrift.membership.member import Claim
from cumindrift.membership.message import NO_NEWS, News

# How much news one message may carry, so that its datagram stays below
# 1,400 bytes.
NEWS_COUNT_MAX = 40
CLAIM_BYTES = 24

TRANSMIT_BASE = 4
TRANSMIT_FACTOR = 2

RUMOUR_S = 15.0
RATE_BYTES_PER_S = 12_000.0
BURST_BYTES = 48_000.0


@define(slots=True)
class Rumour:
    """One piece of news and how many times it may still be sent."""

    claim: Claim
    is_suspicion: bool
    sends_left: int
    until_s: float

    @property
    def key(self) -> tuple[int, bool]:
        """Returns what an older piece of the same kind shares."""
        return (self.claim.member_id, self.is_suspicion)


@define(slots=True, eq=False)
class RumourQueue:
    """Holds the news that is still passed on; one for each process.

    The news sent least often goes first. A newer claim on a member takes
    the place of an older one. What is not out after RUMOUR_S is left to
    the comparison of digests.
    """

    _rumours: dict[tuple[int, bool], Rumour] = field(factory=dict)
    # The same by sends left, so that no choice looks at all of them.
    _levels: dict[int, dict[tuple[int, bool], Rumour]] = field(factory=dict)
    _allowance_bytes: float = BURST_BYTES
    _filled_s: float = 0.0

    def __len__(self) -> int:
        return len(self._rumours)

    def clear(self) -> None:
        """Stops passing on anything."""
        self._rumours.clear()
        self._levels.clear()

    def spread(self, claim: Claim, peer_count: int, now_s: float) -> None:
        """Passes on a member's new state."""
        self.cease_suspicion(claim.member_id)
        self._add(claim, False, peer_count, now_s)

    def suspect(self, claim: Claim, peer_count: int, now_s: float) -> None:
        """Passes on that a member does not answer."""
        self._add(claim, True, peer_count, now_s)

    def cease_suspicion(self, member_id: int) -> None:
        """Stops passing on that a member does not answer."""
        rumour = self._rumours.get((member_id, True))
        if rumour is not None:
            self._drop(rumour)

    def take(self, now_s: float) -> News:
        """Returns the news for one message and counts it as sent."""
        gained_bytes = (now_s - self._filled_s) * RATE_BYTES_PER_S
        self._filled_s = now_s
        self._allowance_bytes = min(
            self._allowance_bytes + gained_bytes,
            BURST_BYTES,
        )
        if self._allowance_bytes < CLAIM_BYTES * NEWS_COUNT_MAX:
            return NO_NEWS
        chosen = self._choose(now_s)
        if not chosen:
            return NO_NEWS
        self._allowance_bytes -= CLAIM_BYTES * len(chosen)
        for rumour in chosen:
            self._count_down(rumour)
        return News(
            tuple(one.claim for one in chosen if not one.is_suspicion),
            tuple(one.claim for one in chosen if one.is_suspicion),
        )

    def _choose(self, now_s: float) -> list[Rumour]:
        chosen: list[Rumour] = []
        for level in sorted(self._levels, reverse=True):
            room = NEWS_COUNT_MAX - len(chosen)
            for rumour in list(islice(self._levels[level].values(), room)):
                if rumour.until_s > now_s:
                    chosen.append(rumour)
                else:
                    self._drop(rumour)
        return chosen

    def _add(
        self,
        claim: Claim,
        is_suspicion: bool,
        peer_count: int,
        now_s: float,
    ) -> None:
        rumour = Rumour(
            claim,
            is_suspicion,
            transmit_count(peer_count),
            now_s + RUMOUR_S,
        )
        known = self._rumours.get(rumour.key)
        if known is not None:
            if known.claim.rank >= claim.rank:
                return
            self._drop(known)
        self._rumours[rumour.key] = rumour
        self._levels.setdefault(rumour.sends_left, {})[rumour.key] = rumour

    def _drop(self, rumour: Rumour) -> None:
        self._rumours.pop(rumour.key)
        self._leave_level(rumour)

    def _leave_level(self, rumour: Rumour) -> None:
        level = self._levels[rumour.sends_left]
        level.pop(rumour.key)
        if not level:
            self._levels.pop(rumour.sends_left)

    def _count_down(self, rumour: Rumour) -> None:
        self._leave_level(rumour)
        rumour.sends_left -= 1
        if rumour.sends_left:
            level = self._levels.setdefault(rumour.sends_left, {})
            level[rumour.key] = rumour
        else:
            self._rumours.pop(rumour.key)


def transmit_count(peers: int) -> int:
    """Returns how many times each member sends a piece of news."""
    return TRANSMIT_BASE + TRANSMIT_FACTOR * ceil(log(peers + 1))
