"""Failure detector: schedules probes and counts the unanswered ones."""

from enum import Enum, auto
from random import Random

from attrs import define, field

# Each member probes this many of its successors on the ring.
MONITORED_COUNT = 3
PROBE_PERIOD_S = 1.0
# A round is one ping and the wait for its ack.
ACK_TIMEOUT_S = 0.2
# Unanswered rounds after which a member is suspected, or declared dead.
SUSPECT_ROUNDS = 3
DEAD_ROUNDS = 8

# A longer gap between two ticks means that this process was paused.
PAUSE_S = 1.0
# Tolerance for ticks that come a little early or late.
_SLACK_S = 0.01
_SEQUENCE_LIMIT = 2**32


class ProbeStep(Enum):
    """The next action in the probing of a member."""

    PING = auto()
    # Ping again, and ask other members to ping it too (indirect probe).
    PING_INDIRECTLY = auto()
    SUSPECT = auto()
    DECLARE_DEAD = auto()


@define(slots=True)
class MemberProbe:
    """Probing state of one monitored member.

    `next_s` is the time of its next step: the next probe, or the end of the
    wait for an ack. `unanswered_rounds` counts rounds without an ack in
    succession.
    """

    next_s: float
    sequence: int = 0
    unanswered_rounds: int = 0
    is_awaiting_ack: bool = False

    @property
    def is_suspected(self) -> bool:
        """Whether pings should ask the member to refute a suspicion."""
        return self.unanswered_rounds >= SUSPECT_ROUNDS


@define(slots=True, eq=False)
class FailureDetector:
    """Probes the successors of this process on the ring of members.

    So each member is probed by MONITORED_COUNT others, at least once in
    PROBE_PERIOD_S by each. A member that sends no ack is pinged indirectly,
    then suspected, then declared dead; any ack resets the count. There is
    one instance per process.
    """

    random: Random
    probes: dict[int, MemberProbe] = field(factory=dict)
    ticked_s: float = float('-inf')
    _sequence: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts at a random sequence number."""
        self._sequence = self.random.randrange(_SEQUENCE_LIMIT)

    def detect_pause(self, now_s: float) -> bool:
        """Records a tick; True on the first one and after a pause.

        After a pause all probes start over: acks that were missed meanwhile
        must not count against other members.
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
        """Sets the members to probe.

        Other members with unanswered rounds are still probed, until they
        answer or are removed.
        """
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
        """Handles an ack; returns False for one that was not awaited.

        Each probe has a new sequence number, so that a replayed ack does
        not keep a dead member alive.
        """
        probe = self.probes.get(member_id)
        if probe is None or not probe.is_awaiting_ack:
            return False
        if probe.sequence != sequence:
            return False
        sent_s = probe.next_s - ACK_TIMEOUT_S
        probe.unanswered_rounds = 0
        probe.is_awaiting_ack = False
        probe.next_s = max(sent_s + PROBE_PERIOD_S, now_s)
        return True

    @property
    def has_ticked(self) -> bool:
        """Whether there was a tick yet, so that the time is known."""
        return self.ticked_s > float('-inf')

    def reset_rounds(self, member_id: int) -> None:
        """Resets the count of unanswered rounds of a member."""
        self.probes[member_id].unanswered_rounds = 0

    @property
    def is_waiting(self) -> bool:
        """Whether any ack is awaited."""
        return any(probe.is_awaiting_ack for probe in self.probes.values())

    def due_steps(self, now_s: float) -> list[tuple[int, ProbeStep]]:
        """Advances the probes that are due; returns their steps by id."""
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
