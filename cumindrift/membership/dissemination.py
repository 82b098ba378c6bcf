"""Dissemination: the queue of updates that are piggybacked on messages."""

from itertools import islice
from math import ceil, log

from attrs import define, field

from cumindrift.membership.member import Claim
from cumindrift.membership.message import NO_UPDATES, Updates

# Updates in one message: keeps its datagram below 1,400 bytes.
UPDATE_COUNT_MAX = 40
# Approximate size of one update, and of a message without updates.
CLAIM_BYTES = 24
MESSAGE_BYTES = 280

# Each member sends an update BASE + FACTOR * ceil(ln(members + 1)) times.
TRANSMIT_BASE = 4
TRANSMIT_FACTOR = 2

UPDATE_LIFETIME_S = 15.0
# Token bucket that bounds the bandwidth of updates.
RATE_BYTES_PER_S = 8000.0
BURST_BYTES = 64_000.0


@define(slots=True)
class QueuedUpdate:
    """One update and how many times it is still to be sent."""

    claim: Claim
    is_suspicion: bool
    transmissions_left: int
    until_s: float

    @property
    def key(self) -> tuple[int, bool]:
        """The key under which a newer update replaces this one."""
        return (self.claim.member_id, self.is_suspicion)


@define(slots=True, eq=False)
class DisseminationQueue:
    """Holds the updates that this process still disseminates.

    The updates that were sent least often go first. A newer claim on a
    member replaces an older one. Updates older than UPDATE_LIFETIME_S are
    dropped; anti-entropy then spreads them. There is one instance per process.
    """

    _updates: dict[tuple[int, bool], QueuedUpdate] = field(factory=dict)
    # The same updates by transmissions left, so that `_choose` scans few.
    _levels: dict[int, dict[tuple[int, bool], QueuedUpdate]] = field(
        factory=dict
    )
    # Number of updates ever added; callers compare it to detect new ones.
    added_count: int = 0
    _allowance_bytes: float = BURST_BYTES
    _filled_s: float = 0.0

    def __len__(self) -> int:
        return len(self._updates)

    def clear(self) -> None:
        """Drops all updates."""
        self._updates.clear()
        self._levels.clear()

    def add_state(self, claim: Claim, peer_count: int, now_s: float) -> None:
        """Adds a member's new state; it ends a queued suspicion."""
        self.drop_suspicion(claim.member_id)
        self._add(claim, False, peer_count, now_s)

    def add_suspicion(
        self, claim: Claim, peer_count: int, now_s: float
    ) -> None:
        """Adds the suspicion of a member."""
        self._add(claim, True, peer_count, now_s)

    def drop_suspicion(self, member_id: int) -> None:
        """Drops the queued suspicion of a member."""
        update = self._updates.get((member_id, True))
        if update is not None:
            self._drop(update)

    def next_updates(self, now_s: float) -> Updates:
        """Returns the updates for one message and counts them as sent.

        Returns NO_UPDATES when there are none or the bucket is empty.
        """
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
    """Returns how many times each member sends an update."""
    return TRANSMIT_BASE + TRANSMIT_FACTOR * ceil(log(peers + 1))
