"""When the agent finds out whether its target's process still runs."""

from attrs import define

from cumindrift.steering.agent.station import AgentStation

# Data that no packet of the target followed for this long is a reason to
# find out whether it still runs, and how often.
DATA_SILENCE_S = 0.3
CHECK_PERIOD_S = 0.5


@define(slots=True, eq=False, repr=False)
class TargetVigil:
    """Watches for a target that leaves packets without any answer."""

    station: AgentStation
    # Since when the target has left data without any packet; 0 for never.
    _unheard_s: float = 0.0
    _check_s: float = 0.0

    def on_delivered(self, now_s: float) -> None:
        """Takes note that the target got data, which it acknowledges."""
        self._unheard_s = self._unheard_s or now_s

    def on_heard(self) -> None:
        """Takes note of a packet of the target."""
        self.station.target.is_silent = False
        self._unheard_s = 0.0

    def on_gone(self) -> None:
        """Takes note that the target's process has ended."""
        self.station.target.is_gone = True
        self._unheard_s = 0.0

    def on_open_unanswered(self, now_s: float) -> None:
        """Takes note that the target left a SYN without an answer."""
        if not self.station.target.is_silent:
            self.station.target.is_silent = True
            self._check(now_s)

    def on_flow_ended(self, now_s: float) -> None:
        """Takes note that the target reset a flow: it may have ended."""
        self._check(now_s)

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while data waits for a sign of life."""
        is_unheard = bool(self._unheard_s)
        if is_unheard and now_s - self._unheard_s >= DATA_SILENCE_S:
            self._check(now_s)
        return is_unheard

    def _check(self, now_s: float) -> None:
        if now_s >= self._check_s and not self.station.target.is_gone:
            self._check_s = now_s + CHECK_PERIOD_S
            self.station.outlet.check_target()
