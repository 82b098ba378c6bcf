"""New flows at a balancer: sends each SYN to one agent after another."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import pick_service
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.load import (
    CANDIDATES_MAX,
    OpenPolicy,
    order_by_load,
)
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import ForwardedPacket, FrameKind, service_digest
from cumindrift.steering.packet import FlowPacket

# A live agent answers a SYN within this time, in whatever data centre it is.
AGENT_TIMEOUT_S = 0.06
# A SYN is refused after the deadline. If all agents refuse it, they are tried
# again after the retry delay.
OPEN_DEADLINE_S = 1.0
OPEN_RETRY_S = 0.1


@define(slots=True, eq=False, repr=False)
class Placer:
    """Sends each SYN to one agent after the other until one takes it."""

    state: BalancerState
    agent_monitor: AgentMonitor
    service_endpoint: Callable[[bytes], Endpoint]
    random: Random = field(factory=Random)
    policy: OpenPolicy = order_by_load
    # Hints of the flows whose SYN waits for an agent's answer.
    waiting: dict[bytes, Hint] = field(factory=dict)

    def on_open(self, packet: FlowPacket, now_s: float) -> None:
        """Handles a SYN or a retransmission of one."""
        key = packet.flow_key
        hint = self.state.hints.get(key)
        if hint is not None and not hint.is_of_attempt(now_s):
            # The port is used again: the new flow may go elsewhere.
            hint = None
        if hint is not None and hint.is_confirmed:
            if not self.agent_monitor.is_silent(hint.agent_ip):
                # A retransmitted SYN follows the first.
                hint.seen_s = now_s
                self._forward(packet, hint, ())
                return
            hint.is_confirmed = False
        if hint is not None and hint.opening is not None:
            self._retry(key, hint, now_s)
            return
        hint = Hint('', now_s, opening=packet, first_sent_s=now_s)
        self.state.hints.keep(key, hint)
        self._place(packet, hint, now_s)

    def on_held(self, key: bytes) -> None:
        """Handles the report that an agent holds the flow."""
        self.waiting.pop(key, None)

    def on_open_forwarded(self, ip: str, key: bytes, now_s: float) -> None:
        """Handles the report that an agent forwarded a SYN."""
        hint = self.waiting.get(key)
        if hint is not None:
            # The timeout starts again for the next agent.
            self.agent_monitor.avoid(ip, now_s)
            hint.tried.add(ip)
            hint.sent_s = now_s

    def on_refused(
        self,
        ip: str,
        key: bytes,
        packet: FlowPacket | None,
        now_s: float,
    ) -> None:
        """Tries the remaining agents after all candidates refused."""
        self.agent_monitor.avoid(ip, now_s)
        hint = self.waiting.get(key)
        if hint is None or packet is None:
            return
        hint.tried.add(ip)
        hint.agent_ip = ip
        self._place(packet, hint, now_s)

    def tick(self, now_s: float) -> bool:
        """Runs the timers that are due; True while a SYN is unanswered."""
        for key, hint in list(self.waiting.items()):
            if now_s - hint.first_sent_s > OPEN_DEADLINE_S:
                self.waiting.pop(key)
            elif now_s - hint.sent_s >= AGENT_TIMEOUT_S:
                self._retry(key, hint, now_s)
        return bool(self.waiting)

    def _place(self, packet: FlowPacket, hint: Hint, now_s: float) -> None:
        """Sends a SYN to the best agent that has not got it yet."""
        key = packet.flow_key
        manifest = self.state.directory.manifest
        shares = manifest.services_at(self.service_endpoint(key))
        if not shares:
            self._refuse(packet, ResultCode.PACKET_NO_SERVICE)
            return
        if not hint.service:
            draw = self.random.random()
            hint.service = pick_service(shares, draw) or shares[0].service
        agents = self._agents(hint, now_s)
        if not agents:
            self._wait_for_agents(packet, hint, now_s)
            return
        first = agents[0]
        hint.agent_ip = first.ip
        hint.sent_s = now_s
        hint.seen_s = now_s
        hint.tried.add(first.ip)
        self.waiting[key] = hint
        load = self.agent_monitor.load_of(first.ip)
        evacuations = self.state.directory.evacuations_version
        self.state.log_decision(
            'open-sent',
            key,
            service=hint.service,
            agent=first.name,
            tried=len(hint.tried),
            manifest=manifest.version,
            cost=round(load.cost(), 1),
            load_age_s=round(now_s - load.reported_s, 3),
            evacuations=evacuations.as_of,
            evacuations_age_s=evacuations.age_s(now_s),
        )
        load.sent_count += 1
        others = tuple(entry.ip for entry in agents[1:CANDIDATES_MAX])
        self._forward(packet, hint, others)

    def _wait_for_agents(
        self,
        packet: FlowPacket,
        hint: Hint,
        now_s: float,
    ) -> None:
        """Schedules a retry for a SYN that no agent can take now.

        Targets that restart or drain are available again or replaced within
        moments, and a balancer that starts reads the store within moments. At
        the deadline, the SYN is refused.
        """
        if now_s - hint.first_sent_s >= OPEN_DEADLINE_S - OPEN_RETRY_S:
            self._refuse(packet, ResultCode.NO_ROOM)
            return
        hint.tried.clear()
        hint.agent_ip = ''
        hint.sent_s = now_s + OPEN_RETRY_S - AGENT_TIMEOUT_S
        self.waiting[packet.flow_key] = hint

    def _agents(self, hint: Hint, now_s: float) -> list[AgentEntry]:
        """Returns the untried agents, best first.

        There are none before the evacuations are known: any of them could be
        in an evacuated data centre.
        """
        directory = self.state.directory
        if not directory.has_evacuations:
            return []
        untried = [
            entry
            for entry in directory.agents_of(hint.service)
            if entry.ip not in hint.tried
        ]
        ordered = self.policy(
            untried,
            self.agent_monitor.loads,
            self.state.data_centre,
            self.random,
        )
        return sorted(
            ordered,
            key=lambda entry: self.agent_monitor.unavailability_rank(
                entry, now_s
            ),
        )

    def _refuse(self, packet: FlowPacket, code: ResultCode) -> None:
        """Drops a SYN that cannot be placed, and resets its client.

        The client may retry, since none of its requests has run. No reset is
        sent while the directory is incomplete.
        """
        state = self.state
        key = packet.flow_key
        hint = state.hints.get(key)
        self.waiting.pop(key, None)
        state.hints.drop(key)
        if not state.directory.is_complete:
            return
        state.log_decision(
            'open-reset',
            key,
            code=int(code),
            reason=code.name,
            tried=len(hint.tried) if hint else 0,
            manifest=state.directory.manifest.version,
        )
        state.output.reset(packet.flow_key, packet.acknowledged)

    def _retry(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Places a SYN again; marks an agent that left it unanswered."""
        if hint.agent_ip and now_s - hint.sent_s >= AGENT_TIMEOUT_S:
            self.agent_monitor.on_unanswered(hint.agent_ip, key, now_s)
        if hint.opening is not None:
            self._place(hint.opening, hint, now_s)

    def _forward(
        self,
        packet: FlowPacket,
        hint: Hint,
        candidate_ips: tuple[str, ...],
    ) -> None:
        manifest = self.state.directory.manifest
        forwarded = ForwardedPacket(
            FrameKind.OPEN,
            self.state.ip,
            packet.octets,
            manifest_version=manifest.version,
            service_digest=service_digest(hint.service),
            cold_rate=manifest.cold_rates.get(hint.service, 0.0),
            candidate_ips=candidate_ips,
            keeper_ips=self.state.directory.keepers_of(packet.flow_key),
        )
        self.state.forward(hint.agent_ip, forwarded)
