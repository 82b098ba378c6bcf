"""The roll of agents: their loads, and which of them answer."""

from attrs import define, field

from cumindrift.fleet.directory import AgentEntry
from cumindrift.steering.balancer.load import AVOIDED_S, AgentLoad
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import ForwardedPacket, FrameKind, Load

PING_PERIOD_S = 0.3
# A balancer that hears nobody for this long, though it asks, is cut off.
CUT_OFF_S = 0.5
CUT_OFF_AGENTS_MIN = 2
# An agent that answered nothing for this long has no machine any more. It
# enters itself again should it come back.
REMOVED_AFTER_S = 20.0


@define(slots=True, eq=False, repr=False)
class AgentMonitor:
    """Knows what each agent reported last, and since when one is silent."""

    state: BalancerState
    loads: dict[str, AgentLoad] = field(factory=dict)
    _next_ping_s: float = 0.0

    def load_of(self, ip: str) -> AgentLoad:
        """Returns what is known of an agent, made on first use."""
        found = self.loads.get(ip)
        if found is None:
            found = AgentLoad()
            self.loads[ip] = found
        return found

    def on_report(self, ip: str, report: Load, now_s: float) -> None:
        """Takes an agent's report, which is a sign of life."""
        load = self.load_of(ip)
        if load.silent_since_s:
            self.state.events.note(
                'agent-heard',
                agent=ip,
                silent_s=round(now_s - load.silent_since_s, 3),
            )
        load.update(report, now_s)

    def on_unanswered(self, ip: str, key: bytes, now_s: float) -> None:
        """Takes note that an agent left a flow's SYN without an answer."""
        load = self.load_of(ip)
        if not load.silent_since_s:
            load.silent_since_s = now_s
            self.state.log_decision('agent-silent', key, agent=ip)

    def avoid(self, ip: str, now_s: float) -> None:
        """Leaves an agent alone that did not take a new flow."""
        self.load_of(ip).avoided_until_s = now_s + AVOIDED_S

    def is_silent(self, ip: str) -> bool:
        """Tells whether an agent owes an answer."""
        return self.load_of(ip).silent_since_s > 0

    def unavailability_rank(self, entry: AgentEntry, now_s: float) -> int:
        """Ranks agents that are silent or took no flows behind the others."""
        load = self.loads.get(entry.ip)
        if load is None:
            return 0
        if load.silent_since_s:
            return 2
        return int(load.avoided_until_s > now_s)

    def is_cut_off(self, now_s: float) -> bool:
        """Tells whether this balancer reaches no agent any more.

        Routers that stop sending here let others serve meanwhile.
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
        """Asks silent agents for a sign of life; removes those long gone."""
        if now_s < self._next_ping_s:
            return
        self._next_ping_s = now_s + PING_PERIOD_S
        state = self.state
        ping = ForwardedPacket(FrameKind.PING, state.ip, b'')
        for entry in state.directory.agents.values():
            load = self.loads.get(entry.ip)
            if load is None or not load.silent_since_s:
                continue
            state.output.forward(entry.ip, ping)
            if now_s - load.silent_since_s >= REMOVED_AFTER_S:
                load.silent_since_s = now_s
                state.events.note_urgently(
                    'agent-removed',
                    agent=entry.name,
                    silent_s=REMOVED_AFTER_S,
                )
                state.output.remove_agent(entry.name)

    def expire(self) -> None:
        """Forgets agents that have no entry any more."""
        known_ips = self.state.directory.agent_ips()
        for ip in [ip for ip in self.loads if ip not in known_ips]:
            self.loads.pop(ip)
