"""Decides when to check whether the target's process still runs."""

from attrs import define

from cumindrift.steering.agent.state import AgentState

# The target's process is checked if the target sent no packet for this long
# after it got data, at most once per period.
DATA_TIMEOUT_S = 0.3
CHECK_PERIOD_S = 0.5


@define(slots=True, eq=False, repr=False)
class LivenessMonitor:
    """Has the target's process checked when it leaves packets unanswered."""

    state: AgentState
    # When the target got the first data after its last packet; 0 if none.
    _unanswered_since_s: float = 0.0
    _next_check_s: float = 0.0

    def on_data(self, now_s: float) -> None:
        """Records that the target got data, which it should acknowledge."""
        self._unanswered_since_s = self._unanswered_since_s or now_s

    def on_packet(self) -> None:
        """Records that the target sent a packet."""
        self.state.target.is_silent = False
        self._unanswered_since_s = 0.0

    def on_exit(self) -> None:
        """Records that the target's process has ended."""
        target = self.state.target
        if not target.is_leaving:
            self.state.failures.add(self.state.events.clock())
        target.is_gone = True
        self._unanswered_since_s = 0.0

    def on_open_unanswered(self, now_s: float) -> None:
        """Records that a SYN timed out, and checks the process."""
        if not self.state.target.is_silent:
            self.state.target.is_silent = True
            self.state.failures.add(now_s)
            self._check(now_s)

    def on_flow_reset(self, now_s: float) -> None:
        """Checks the process, since a reset may mean that it has ended."""
        self._check(now_s)

    def tick(self, now_s: float) -> bool:
        """Checks the target's process if data has been unanswered too long.

        Returns True while data is unanswered.
        """
        is_unanswered = bool(self._unanswered_since_s)
        if is_unanswered and now_s - self._unanswered_since_s >= DATA_TIMEOUT_S:
            self._check(now_s)
        return is_unanswered

    def _check(self, now_s: float) -> None:
        if now_s >= self._next_check_s and not self.state.target.is_gone:
            self._next_check_s = now_s + CHECK_PERIOD_S
            self.state.output.check_target()
