"""The load of each agent, as a balancer knows it."""

from math import inf

from attrs import define, field

from cumindrift.steering.frame import EJECTED_PERCENT, Load

# Number of agents, including the first, that may get a SYN before it is
# returned to the balancer.
CANDIDATES_MAX = 4
# How long an agent that did not take a SYN is tried only after the others.
AVOIDED_S = 0.3
# An agent whose target cannot serve is avoided twice as long with each report
# of it, up to this time. It would attract new flows, since it is idle.
UNABLE_AVOIDED_MAX_S = 5.0
# More doublings than this exceed every bound.
DOUBLINGS_MAX = 8
UNKNOWN_RESPONSE_MS = 50
MS_PER_S = 1000
# Where targets are judged by what they do, the penalty of a failing one falls
# to 0 within this time after its report, so that it is tried again.
PENALTY_DURATION_S = 4.0
# Likewise, what is known of a response time counts for half after this time:
# a target that was slow may be so no longer, and tells only if it is used.
RESPONSE_HALF_LIFE_S = 3.0
RESPONSE_MS_MIN = 1.0


@define(slots=True, eq=False, repr=False)
class AgentLoad:
    """The load of one agent's target, and the new flows sent to it since."""

    last_report: Load = field(factory=Load)
    reported_s: float = 0.0
    # The incarnation of the target that the last report was about.
    incarnation: int = 0
    sent_count: int = 0
    avoided_until_s: float = 0.0
    # How many reports in a row have said that the target cannot serve.
    unable_count: int = 0
    # When the agent first left a SYN unanswered; 0 while it answers.
    silent_since_s: float = 0.0
    # How long the penalty of a report lasts, and the half-life of its response
    # time.
    penalty_duration_s: float = inf
    response_half_life_s: float = inf

    def update(self, report: Load, now_s: float) -> None:
        """Applies a report, which includes all flows sent before it."""
        self.last_report = report
        self.reported_s = now_s
        self.sent_count = 0
        self.silent_since_s = 0.0
        if report.slots:
            if self.unable_count:
                self.avoided_until_s = now_s
            self.unable_count = 0
        elif now_s >= self.avoided_until_s:
            self.unable_count += 1
            doublings = min(self.unable_count, DOUBLINGS_MAX)
            avoided_s = min(AVOIDED_S * 2**doublings, UNABLE_AVOIDED_MAX_S)
            self.avoided_until_s = now_s + avoided_s

    def response_ms(self, now_s: float) -> float:
        """Estimates the response time for a request of a new flow, in ms.

        Requests that waited for a slot when the report was made are worked off
        as time passes, so an old report of a full target counts for less.
        """
        report = self.last_report
        response_ms = report.response_ms or UNKNOWN_RESPONSE_MS
        slots = max(report.slots, 1)
        age_s = now_s - self.reported_s
        if self.reported_s:
            response_ms *= 0.5 ** (age_s / self.response_half_life_s)
        response_ms = max(response_ms, RESPONSE_MS_MIN)
        age_ms = age_s * MS_PER_S
        queued = max(report.busy_count - slots, 0)
        queued = max(queued - age_ms / response_ms * slots, 0)
        flows = report.flow_count + self.sent_count
        work = min(report.busy_count, slots) + queued + self.sent_count
        return response_ms * (1 + (work + flows / 4) / slots)

    def penalty_percent(self, now_s: float) -> float:
        """Returns what is left of the last report's penalty."""
        age_s = now_s - self.reported_s
        left = max(1 - age_s / self.penalty_duration_s, 0.0)
        return self.last_report.failure_percent * left

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether a recent report says that the target is ejected."""
        is_recent = now_s - self.reported_s < self.penalty_duration_s
        is_failing = self.last_report.failure_percent >= EJECTED_PERCENT
        return is_recent and is_failing
