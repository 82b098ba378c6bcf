"""Tracks the load of each agent and whether it answers."""

from collections.abc import Sequence

from attrs import define, field

from cumindrift.fleet.directory import AgentEntry
from cumindrift.metric import REPORTS_REFUSED
from cumindrift.steering.balancer.load import (
    AVOIDED_S,
    PENALTY_DURATION_S,
    RESPONSE_HALF_LIFE_S,
    AgentLoad,
)
from cumindrift.steering.balancer.report_check import (
    ReceivedReport,
    ReportRefusal,
    refusal_of,
)
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import (
    AgentReport,
    ForwardedPacket,
    FrameKind,
    Load,
)

PING_PERIOD_S = 0.3
# A balancer is cut off if it got no report for this long and at least this many
# agents have left its frames unanswered.
CUT_OFF_S = 0.5
CUT_OFF_AGENTS_MIN = 2
# An agent that has not answered for this long is assumed to be gone with its
# host, and its entry is removed. It registers again if it comes back.
REMOVED_AFTER_S = 20.0
# At most so many senders without an entry are told to register.
UNLISTED_MAX = 64


@define(slots=True, eq=False, repr=False)
class AgentMonitor:
    """Keeps each agent's last report, and since when an agent is silent."""

    state: BalancerState
    loads: dict[str, AgentLoad] = field(factory=dict)
    _next_ping_s: float = 0.0
    # The entries that were checked last, and the live agents without one.
    _checked: dict[str, AgentEntry] | None = None
    _unlisted_ips: set[str] = field(factory=set)

    def load_of(self, ip: str) -> AgentLoad:
        """Returns an agent's load; creates it on first use."""
        found = self.loads.get(ip)
        if found is None:
            found = AgentLoad()
            if self.state.judges_targets:
                found.penalty_duration_s = PENALTY_DURATION_S
                found.response_half_life_s = RESPONSE_HALF_LIFE_S
            self.loads[ip] = found
        return found

    def on_agent_report(
        self, ip: str, report: AgentReport, now_s: float
    ) -> None:
        """Applies the load in an agent's report, unless it is implausible."""
        known = self.loads.get(ip)
        if self.state.judges_targets:
            received = ReceivedReport(
                ip, report, self.state.directory, known, now_s
            )
            refusal = refusal_of(received)
            if refusal is not None:
                self._refuse_load(ip, refusal)
                return
        self.on_report(ip, report.load, now_s)
        self.load_of(ip).incarnation = report.incarnation

    def _refuse_load(self, ip: str, refusal: ReportRefusal) -> None:
        REPORTS_REFUSED.labels(refusal.value).inc()
        self.state.events.note('report-refused', agent=ip, reason=refusal.value)
        known = self.loads.get(ip)
        if known is not None:
            # The agent is alive all the same.
            known.silent_since_s = 0.0
        elif len(self._unlisted_ips) < UNLISTED_MAX:
            self._unlisted_ips.add(ip)

    def on_report(self, ip: str, report: Load, now_s: float) -> None:
        """Applies an agent's load, which also proves that it is alive."""
        load = self.load_of(ip)
        if load.silent_since_s:
            self.state.events.note(
                'agent-heard',
                agent=ip,
                silent_s=round(now_s - load.silent_since_s, 3),
            )
        load.update(report, now_s)

    def on_unanswered(self, ip: str, key: bytes, now_s: float) -> None:
        """Marks an agent as silent after it left a SYN unanswered."""
        load = self.load_of(ip)
        if not load.silent_since_s:
            load.silent_since_s = now_s
            self.state.log_decision('agent-silent', key, agent=ip)

    def avoid(self, ip: str, now_s: float) -> None:
        """Ranks an agent that did not take a new flow lower for a while."""
        load = self.load_of(ip)
        load.avoided_until_s = max(load.avoided_until_s, now_s + AVOIDED_S)

    def is_silent(self, ip: str) -> bool:
        """Returns whether an agent has an answer outstanding."""
        known = self.loads.get(ip)
        return known is not None and known.silent_since_s > 0

    def unavailability_rank(self, entry: AgentEntry, now_s: float) -> int:
        """Returns 2 for silent agents, 1 for avoided ones and 0 for others."""
        load = self.loads.get(entry.ip)
        if load is None:
            return 0
        if load.silent_since_s:
            return 2
        return int(load.avoided_until_s > now_s)

    def is_mostly_ejected(
        self, agents: Sequence[AgentEntry], now_s: float
    ) -> bool:
        """Returns whether more than half of some agents report an ejection.

        A fault that so many targets share is not mended by avoiding them.
        """
        known = [self.loads.get(entry.ip) or AgentLoad() for entry in agents]
        able = [load for load in known if not load.unable_count]
        ejected_count = sum(load.is_ejected(now_s) for load in able)
        return ejected_count * 2 > len(able)

    def is_cut_off(self, now_s: float) -> bool:
        """Returns whether this balancer no longer reaches any agent.

        It then reports itself as not ready, so that routers use other
        balancers meanwhile.
        """
        silent_count = sum(
            0 < load.silent_since_s <= now_s - CUT_OFF_S
            for load in self.loads.values()
        )
        last_report_s = max(
            (load.reported_s for load in self.loads.values()),
            default=0.0,
        )
        has_no_recent_report = now_s - last_report_s >= CUT_OFF_S
        return silent_count >= CUT_OFF_AGENTS_MIN and has_no_recent_report

    def tick(self, now_s: float) -> None:
        """Pings silent agents; removes those that are silent for too long."""
        if now_s < self._next_ping_s:
            return
        self._next_ping_s = now_s + PING_PERIOD_S
        self._notify_unlisted()
        is_cut_off = self.is_cut_off(now_s)
        state = self.state
        ping = ForwardedPacket(FrameKind.PING, state.ip, b'')
        for entry in state.directory.agents.values():
            load = self.loads.get(entry.ip)
            if load is None or not load.silent_since_s:
                continue
            state.forward(entry.ip, ping)
            is_gone = now_s - load.silent_since_s >= REMOVED_AFTER_S
            if is_gone and not is_cut_off:
                load.silent_since_s = now_s
                state.events.note_urgently(
                    'agent-removed',
                    agent=entry.name,
                    silent_s=REMOVED_AFTER_S,
                )
                state.output.remove_agent(entry.name)

    def _notify_unlisted(self) -> None:
        """Tells agents that have lost their entry to register again.

        Another balancer, to which an agent was silent, may have removed its
        entry. If the agent lives it must be back soon: a balancer that
        searches for a holder takes a list of agents for complete. An agent
        that has left registers no more.
        """
        directory = self.state.directory
        if directory.agents is not self._checked:
            self._checked = directory.agents
            self._unlisted_ips = self.loads.keys() - directory.agent_ips()
        for ip in self._unlisted_ips:
            self.state.events.note('agent-unlisted', agent=ip)
            frame = ForwardedPacket(FrameKind.ENTRY_MISSING, self.state.ip, b'')
            self.state.forward(ip, frame)

    def expire(self) -> None:
        """Drops the loads of agents without an entry."""
        self._unlisted_ips.clear()
        known_ips = self.state.directory.agent_ips()
        for ip in [ip for ip in self.loads if ip not in known_ips]:
            self.loads.pop(ip)
