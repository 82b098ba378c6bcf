"""The failure detector: who is probed when, and what silence means."""

from enum import Enum, auto
from random import Random

from attrs import define, field

MONITORED_COUNT = 3
PROBE_PERIOD_S = 1.0
ACK_TIMEOUT_S = 0.2
SUSPECT_ROUNDS = 3
DEAD_ROUNDS = 8

# A gap between two ticks that says that this process itself was paused.
PAUSE_S = 1.0
# Ticks come a little early or late.
_SLACK_S = 0.01
_SEQUENCE_LIMIT = 2**32


class ProbeStep(Enum):
    """What is due for a watched member."""

    PING = auto()
    # Ping again, and ask helpers to.
    PING_INDIRECTLY = auto()
    SUSPECT = auto()
    DECLARE_DEAD = auto()


@define(slots=True)
class MemberProbe:
    """One watched member; `unanswered_rounds` counts pings without answer."""

    next_s: float
    sequence: int = 0
    unanswered_rounds: int = 0
    is_awaiting_ack: bool = False

    @property
    def is_suspected(self) -> bool:
        """Tells whether a ping should make the member announce itself."""
        return self.unanswered_rounds >= SUSPECT_ROUNDS


@define(slots=True, eq=False)
class FailureDetector:
    """Watches the next members on the ring; one for each process.

    Each member is so watched by MONITORED_COUNT others, and the time until
    one of them asks is bounded. Silence leads to pings along other ways,
    then to a suspicion, then to the declaration of death; any answer
    ends it.
    """

    random: Random
    probes: dict[int, MemberProbe] = field(factory=dict)
    ticked_s: float = float('-inf')
    _sequence: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts the sequence numbers anywhere."""
        self._sequence = self.random.randrange(_SEQUENCE_LIMIT)

    def detect_pause(self, now_s: float) -> bool:
        """Notes a tick; True on the first, and after a long gap.

        Who was paused judges nobody by the answers that it missed.
        """
        gap_s = now_s - self.ticked_s
        self.ticked_s = now_s
        if gap_s <= PAUSE_S:
            return False
        for probe in self.probes.values():
            probe.unanswered_rounds = 0
            probe.is_awaiting_ack = False
            probe.next_s = now_s
        return True

    def monitor(self, member_ids: list[int], now_s: float) -> None:
        """Takes the members to probe; a running suspicion goes on."""
        wanted = set(member_ids)
        for member_id in list(self.probes):
            is_silent = self.probes[member_id].unanswered_rounds > 0
            if member_id not in wanted and not is_silent:
                self.probes.pop(member_id)
        for member_id in member_ids:
            if member_id not in self.probes:
                delay_s = self.random.random() * PROBE_PERIOD_S
                self.probes[member_id] = MemberProbe(now_s + delay_s)

    def forget(self, member_id: int) -> None:
        """Stops probing a member that is gone."""
        self.probes.pop(member_id, None)

    def on_ack(self, member_id: int, sequence: int, now_s: float) -> bool:
        """Notes an answer; False for one that was not awaited.

        Each probe has a new sequence number, so an answer that is played
        again proves nothing.
        """
        probe = self.probes.get(member_id)
        if probe is None or not probe.is_awaiting_ack:
            return False
        if probe.sequence != sequence:
            return False
        asked_s = probe.next_s - ACK_TIMEOUT_S
        probe.unanswered_rounds = 0
        probe.is_awaiting_ack = False
        probe.next_s = max(asked_s + PROBE_PERIOD_S, now_s)
        return True

    @property
    def has_ticked(self) -> bool:
        """Tells whether the time is known yet."""
        return self.ticked_s > float('-inf')

    def reset_rounds(self, member_id: int) -> None:
        """Counts the silence of a member from now on."""
        self.probes[member_id].unanswered_rounds = 0

    @property
    def is_waiting(self) -> bool:
        """Tells whether an answer is awaited."""
        return any(probe.is_awaiting_ack for probe in self.probes.values())

    def due_steps(self, now_s: float) -> list[tuple[int, ProbeStep]]:
        """Returns what is due now."""
        return [
            (member_id, self._advance(probe, now_s))
            for member_id, probe in list(self.probes.items())
            if probe.next_s <= now_s + _SLACK_S
        ]

    def _advance(self, probe: MemberProbe, now_s: float) -> ProbeStep:
        probe.next_s = now_s + ACK_TIMEOUT_S
        if not probe.is_awaiting_ack:
            probe.is_awaiting_ack = True
            self._sequence = (self._sequence + 1) % _SEQUENCE_LIMIT
            probe.sequence = self._sequence
            return ProbeStep.PING
        probe.unanswered_rounds += 1
        if probe.unanswered_rounds >= DEAD_ROUNDS:
            probe.next_s = now_s + PROBE_PERIOD_S
            return ProbeStep.DECLARE_DEAD
        if probe.unanswered_rounds == SUSPECT_ROUNDS:
            return ProbeStep.SUSPECT
        return ProbeStep.PING_INDIRECTLY
