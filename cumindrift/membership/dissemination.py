"""Dissemination: which news is passed on, how often, and at what rate."""

from itertools import islice
from math import ceil, log

from attrs import define, field

from cumindrift.membership.member import Claim
from cumindrift.membership.message import NO_UPDATES, Updates

# How much news one message may carry, so that its datagram stays below
# 1,400 bytes.
UPDATE_COUNT_MAX = 40
CLAIM_BYTES = 24
MESSAGE_BYTES = 280

TRANSMIT_BASE = 4
TRANSMIT_FACTOR = 2

UPDATE_LIFETIME_S = 15.0
RATE_BYTES_PER_S = 8000.0
BURST_BYTES = 64_000.0


@define(slots=True)
class QueuedUpdate:
    """One piece of news and how many times it may still be sent."""

    claim: Claim
    is_suspicion: bool
    transmissions_left: int
    until_s: float

    @property
    def key(self) -> tuple[int, bool]:
        """Returns what an older piece of the same kind shares."""
        return (self.claim.member_id, self.is_suspicion)


@define(slots=True, eq=False)
class DisseminationQueue:
    """Holds the news that is still passed on; one for each process.

    The news sent least often goes first. A newer claim on a member takes
    the place of an older one. What is not out after UPDATE_LIFETIME_S is left
    to the comparison of digests.
    """

    _updates: dict[tuple[int, bool], QueuedUpdate] = field(factory=dict)
    # The same by sends left, so that no choice looks at all of them.
    _levels: dict[int, dict[tuple[int, bool], QueuedUpdate]] = field(
        factory=dict
    )
    # Goes up with each new piece of news.
    added_count: int = 0
    _allowance_bytes: float = BURST_BYTES
    _filled_s: float = 0.0

    def __len__(self) -> int:
        return len(self._updates)

    def clear(self) -> None:
        """Stops passing on anything."""
        self._updates.clear()
        self._levels.clear()

    def add_state(self, claim: Claim, peer_count: int, now_s: float) -> None:
        """Passes on a member's new state."""
        self.drop_suspicion(claim.member_id)
        self._add(claim, False, peer_count, now_s)

    def add_suspicion(
        self, claim: Claim, peer_count: int, now_s: float
    ) -> None:
        """Passes on that a member does not answer."""
        self._add(claim, True, peer_count, now_s)

    def drop_suspicion(self, member_id: int) -> None:
        """Stops passing on that a member does not answer."""
        update = self._updates.get((member_id, True))
        if update is not None:
            self._drop(update)

    def next_updates(self, now_s: float) -> Updates:
        """Returns the news for one message and counts it as sent."""
        gained_bytes = (now_s - self._filled_s) * RATE_BYTES_PER_S
        self._filled_s = now_s
        self._allowance_bytes = min(
            self._allowance_bytes + gained_bytes,
            BURST_BYTES,
        )
        if self._allowance_bytes < MESSAGE_BYTES:
            return NO_UPDATES
        chosen = self._choose(now_s)
        if not chosen:
            return NO_UPDATES
        self._allowance_bytes -= MESSAGE_BYTES + CLAIM_BYTES * len(chosen)
        for update in chosen:
            self._count_transmission(update)
        return Updates(
            tuple(one.claim for one in chosen if not one.is_suspicion),
            tuple(one.claim for one in chosen if one.is_suspicion),
        )

    def _choose(self, now_s: float) -> list[QueuedUpdate]:
        chosen: list[QueuedUpdate] = []
        for level in sorted(self._levels, reverse=True):
            room = UPDATE_COUNT_MAX - len(chosen)
            for update in list(islice(self._levels[level].values(), room)):
                if update.until_s > now_s:
                    chosen.append(update)
                else:
                    self._drop(update)
        return chosen

    def _add(
        self,
        claim: Claim,
        is_suspicion: bool,
        peer_count: int,
        now_s: float,
    ) -> None:
        update = QueuedUpdate(
            claim,
            is_suspicion,
            transmit_count(peer_count),
            now_s + UPDATE_LIFETIME_S,
        )
        known = self._updates.get(update.key)
        if known is not None:
            if known.claim.rank >= claim.rank:
                return
            self._drop(known)
        self.added_count += 1
        self._updates[update.key] = update
        self._levels.setdefault(update.transmissions_left, {})[update.key] = (
            update
        )

    def _drop(self, update: QueuedUpdate) -> None:
        self._updates.pop(update.key)
        self._leave_level(update)

    def _leave_level(self, update: QueuedUpdate) -> None:
        level = self._levels[update.transmissions_left]
        level.pop(update.key)
        if not level:
            self._levels.pop(update.transmissions_left)

    def _count_transmission(self, update: QueuedUpdate) -> None:
        self._leave_level(update)
        update.transmissions_left -= 1
        if update.transmissions_left:
            level = self._levels.setdefault(update.transmissions_left, {})
            level[update.key] = update
        else:
            self._updates.pop(update.key)


def transmit_count(peers: int) -> int:
    """Returns how many times each member sends a piece of news."""
    return TRANSMIT_BASE + TRANSMIT_FACTOR * ceil(log(peers + 1))
