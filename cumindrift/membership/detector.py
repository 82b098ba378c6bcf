"""The failure detector: who is probed when, and what silence means."""

from enum import Enum, auto
from random import Random

from attrs import define, field

WATCH_COUNT = 3
PROBE_PERIOD_S = 1.0
ROUND_S = 0.2
ROUNDS_SUSPECT = 3
ROUNDS_DEAD = 8

# A gap between two ticks that says that this process itself was paused.
PAUSE_S = 1.0
# Ticks come a little early or late.
_SLACK_S = 0.01
_SEQUENCE_LIMIT = 2**32


class Step(Enum):
    """What is due for a watched member."""

    PING = auto()
    # Ping again, and ask helpers to.
    PING_ALL_WAYS = auto()
    SUSPECT = auto()
    DECLARE_DEAD = auto()


@define(slots=True)
class Watch:
    """One watched member; `silent_rounds` counts pings without answer."""

    next_s: float
    sequence: int = 0
    silent_rounds: int = 0
    awaits_ack: bool = False

    @property
    def is_doubted(self) -> bool:
        """Tells whether a ping should make the member announce itself."""
        return self.silent_rounds >= ROUNDS_SUSPECT


@define(slots=True, eq=False)
class Detector:
    """Watches the next members on the ring; one for each process.

    Each member is so watched by WATCH_COUNT others, and the time until
    one of them asks is bounded. Silence leads to pings along other ways,
    then to a suspicion, then to the declaration of death; any answer
    ends it.
    """

    random: Random
    watches: dict[int, Watch] = field(factory=dict)
    ticked_s: float = float('-inf')
    _sequence: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the sequence numbers anywhere."""
        self._sequence = self.random.randrange(_SEQUENCE_LIMIT)

    def has_paused(self, now_s: float) -> bool:
        """Notes a tick; True on the first, and after a long gap.

        Who was paused judges nobody by the answers that it missed.
        """
        gap_s = now_s - self.ticked_s
        self.ticked_s = now_s
        if gap_s <= PAUSE_S:
            return False
        for watch in self.watches.values():
            watch.silent_rounds = 0
            watch.awaits_ack = False
            watch.next_s = now_s
        return True

    def watch(self, member_ids: list[int], now_s: float) -> None:
        """Takes the members to watch; a running suspicion goes on."""
        wanted = set(member_ids)
        for member_id in list(self.watches):
            is_silent = self.watches[member_id].silent_rounds > 0
            if member_id not in wanted and not is_silent:
                self.watches.pop(member_id)
        for member_id in member_ids:
            if member_id not in self.watches:
                delay_s = self.random.random() * PROBE_PERIOD_S
                self.watches[member_id] = Watch(now_s + delay_s)

    def forget(self, member_id: int) -> None:
        """Ends the watch on a member that is gone."""
        self.watches.pop(member_id, None)

    def on_ack(self, member_id: int, sequence: int, now_s: float) -> bool:
        """Notes an answer; False for one that was not awaited.

        Each probe has a new sequence number, so an answer that is played
        again proves nothing.
        """
        watch = self.watches.get(member_id)
        if watch is None or not watch.awaits_ack:
            return False
        if watch.sequence != sequence:
            return False
        asked_s = watch.next_s - ROUND_S
        watch.silent_rounds = 0
        watch.awaits_ack = False
        watch.next_s = max(asked_s + PROBE_PERIOD_S, now_s)
        return True

    def due(self, now_s: float) -> list[tuple[int, Step]]:
        """Returns what is due now."""
        return [
            (member_id, self._advance(watch, now_s))
            for member_id, watch in list(self.watches.items())
            if watch.next_s <= now_s + _SLACK_S
        ]

    def _advance(self, watch: Watch, now_s: float) -> Step:
        watch.next_s = now_s + ROUND_S
        if not watch.awaits_ack:
            watch.awaits_ack = True
            self._sequence = (self._sequence + 1) % _SEQUENCE_LIMIT
            watch.sequence = self._sequence
            return Step.PING
        watch.silent_rounds += 1
        if watch.silent_rounds >= ROUNDS_DEAD:
            watch.next_s = now_s + PROBE_PERIOD_S
            return Step.DECLARE_DEAD
        if watch.silent_rounds == ROUNDS_SUSPECT:
            return Step.SUSPECT
        return Step.PING_ALL_WAYS
