"""When the agent finds out whether its target's process still runs."""

from attrs import define

from cumindrift.steering.agent.state import AgentState

# Data that no packet of the target followed for this long is a reason to
# find out whether it still runs, and how often.
DATA_TIMEOUT_S = 0.3
CHECK_PERIOD_S = 0.5


@define(slots=True, eq=False, repr=False)
class LivenessMonitor:
    """Watches for a target that leaves packets without any answer."""

    state: AgentState
    # Since when the target has left data without any packet; 0 for never.
    _unanswered_since_s: float = 0.0
    _next_check_s: float = 0.0

    def on_data(self, now_s: float) -> None:
        """Takes note that the target got data, which it acknowledges."""
        self._unanswered_since_s = self._unanswered_since_s or now_s

    def on_packet(self) -> None:
        """Takes note of a packet of the target."""
        self.state.target.is_silent = False
        self._unanswered_since_s = 0.0

    def on_exit(self) -> None:
        """Takes note that the target's process has ended."""
        self.state.target.is_gone = True
        self._unanswered_since_s = 0.0

    def on_open_unanswered(self, now_s: float) -> None:
        """Takes note that the target left a SYN without an answer."""
        if not self.state.target.is_silent:
            self.state.target.is_silent = True
            self._check(now_s)

    def on_flow_reset(self, now_s: float) -> None:
        """Takes note that the target reset a flow: it may have ended."""
        self._check(now_s)

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while data waits for a sign of life."""
        is_unanswered = bool(self._unanswered_since_s)
        if is_unanswered and now_s - self._unanswered_since_s >= DATA_TIMEOUT_S:
            self._check(now_s)
        return is_unanswered

    def _check(self, now_s: float) -> None:
        if now_s >= self._next_check_s and not self.state.target.is_gone:
            self._next_check_s = now_s + CHECK_PERIOD_S
            self.state.output.check_target()
