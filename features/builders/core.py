"""Builders of cores whose outputs record all requested I/O."""

import json
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.event import EventLog
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.manifest import (
    DEFAULT_LIMITS,
    Manifest,
    RequestLimits,
    WeightedService,
)
from cumindrift.fleet.settings import NodeBounds
from cumindrift.platform.packet import (
    format_flow_key,
    read_from_client,
    read_from_target,
    service_endpoint,
)
from cumindrift.steering.agent.core import AgentCore
from cumindrift.steering.agent.flow import FlowTable
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.agent.target import TargetState
from cumindrift.steering.balancer.core import BalancerCore
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import (
    AgentReport,
    ForwardedPacket,
    FrameKind,
    Load,
)
from features.builders.node import (
    ACK,
    AGENT_IP,
    BALANCER_IP,
    SERVICE,
    SERVICE_ADDRESS,
    SYN,
    TARGET_SEQUENCE,
    URGENT_ADDRESS,
    agent_ip,
    client_packet,
    flow_key,
    forwarded,
    heartbeat,
    opening,
    target_packet,
)

# The load of a target without room for another request.
FULL = Load(20, 14, 40, 7)


@define(slots=True, eq=False)
class RecordingOutput:
    """Records the I/O that a core requests."""

    delivered: list[bytes] = field(factory=list)
    answered: list[bytes] = field(factory=list)
    resets: list[bytes] = field(factory=list)
    sent: list[tuple[str, ForwardedPacket]] = field(factory=list)
    reports: list[tuple[str, AgentReport]] = field(factory=list)
    removed: list[str] = field(factory=list)
    checks: int = 0
    entry_checks: int = 0
    agent_lists: int = 0
    manifests: int = 0
    evacuation_lists: int = 0

    def deliver(self, octets: bytes) -> None:
        """Records a packet to the target."""
        self.delivered.append(octets)

    def answer(self, _flow_key: bytes, octets: bytes) -> None:
        """Records a packet to the client."""
        self.answered.append(octets)

    def reset(self, key: bytes, _acknowledged: int) -> None:
        """Records the key of a flow that is reset."""
        self.resets.append(key)

    def forward(self, ip: str, message: ForwardedPacket) -> None:
        """Records a packet to an agent."""
        self.sent.append((ip, message))

    def send_report(self, ip: str, report: AgentReport) -> None:
        """Records a report."""
        self.reports.append((ip, report))

    def check_target(self) -> None:
        """Counts the checks of the target."""
        self.checks += 1

    def check_entry(self) -> None:
        """Counts the checks of the agent's entry."""
        self.entry_checks += 1

    def remove_agent(self, name: str) -> None:
        """Records the name of a removed agent."""
        self.removed.append(name)

    def request_agents(self) -> None:
        """Counts the requests for the list of agents."""
        self.agent_lists += 1

    def request_manifest(self, version: int) -> None:
        """Counts the requests for the manifest."""
        self.manifests += 1

    def request_evacuations(self) -> None:
        """Counts the requests for the evacuations."""
        self.evacuation_lists += 1

    def clear(self) -> None:
        """Discards the recorded packets and reports."""
        for kept in (self.delivered, self.answered, self.resets):
            kept.clear()
        self.sent.clear()
        self.reports.clear()

    def report_kinds(self) -> list[str]:
        """Returns the kinds of all reports, in order."""
        return [report.kind.name for _, report in self.reports]


def logged_lines(events: EventLog, event: str = '') -> list[dict[str, Any]]:
    """Flushes a log; returns its lines about an event, or all."""
    lines: list[dict[str, Any]] = []

    def keep(octets: bytes) -> int:
        lines.extend(map(json.loads, octets.splitlines()))
        return len(octets)

    events.write = keep
    events.flush()
    return [line for line in lines if event in {'', line['event']}]


@define(slots=True, eq=False)
class AgentBench:
    """An agent's core with a simulated clock."""

    is_first_start: bool = True
    started_ms: int = 0
    judges_target: bool = False
    now_s: float = 100.0
    output: RecordingOutput = field(factory=RecordingOutput)
    events: EventLog = field(init=False)
    core: AgentCore = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the core."""
        self.events = EventLog('side-1', lambda: self.now_s)
        target = TargetState(
            NodeBounds(),
            1.2,
            self.started_ms,
            self.is_first_start,
        )
        state = AgentState(
            AGENT_IP,
            format_flow_key,
            self.events,
            SERVICE,
            target,
            FlowTable(60.0, 60.0),
            judges_target=self.judges_target,
            output=self.output,
        )
        self.core = AgentCore(state, read_from_client)

    def send_heartbeat(self, **changes: Any) -> Any:
        """Sends a heartbeat of the target to the core."""
        return self.core.on_heartbeat(heartbeat(**changes), self.now_s)

    def receive(self, message: ForwardedPacket) -> None:
        """Passes a frame to the core."""
        self.core.on_forwarded(message, self.now_s)

    def from_target(self, octets: bytes) -> None:
        """Passes a packet of the target to the core."""
        self.core.on_target_packet(read_from_target(octets), self.now_s)

    def open_flow(
        self, port: int = 40001, limits: RequestLimits = DEFAULT_LIMITS
    ) -> None:
        """Opens a flow with a complete handshake, which sends a request."""
        self.shake_hands(port, limits=limits)
        self.send_data(FrameKind.TO_HOLDER, port=port)
        self.output.clear()

    def shake_hands(self, port: int, **changes: Any) -> bool:
        """Opens a flow without a request; returns whether it was admitted."""
        self.output.clear()
        self.receive(opening(port, **changes))
        if not self.output.delivered:
            return False
        self.from_target(target_packet(SYN | ACK, port=port))
        return True

    def send_data(
        self,
        kind: FrameKind,
        acknowledged: int = TARGET_SEQUENCE + 1,
        port: int = 40001,
        **changes: Any,
    ) -> None:
        """Passes data of the client to the core."""
        octets = client_packet(
            ACK,
            port=port,
            acknowledged=acknowledged,
            payload=b'GET',
        )
        self.receive(forwarded(octets, kind, **changes))

    def reported_load(self) -> Load:
        """Returns the load in the answer to a ping."""
        self.receive(forwarded(b'', FrameKind.PING))
        return self.output.reports.pop()[1].load

    def pass_time(self, seconds: float) -> None:
        """Advances the clock in ticks of 20 ms."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.02
            self.core.tick(self.now_s)


@define(slots=True, eq=False)
class BalancerBench:
    """A balancer's core that knows some agents, with a simulated clock."""

    agent_count: int = 3
    judges_targets: bool = False
    now_s: float = 100.0
    output: RecordingOutput = field(factory=RecordingOutput)
    directory: Directory = field(factory=Directory)
    limits: dict[Endpoint, RequestLimits] = field(factory=dict)
    core: BalancerCore = field(init=False)
    events: EventLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the core and fills its directory."""
        self.events = EventLog('front-1', lambda: self.now_s)
        state = BalancerState(
            BALANCER_IP,
            format_flow_key,
            self.events,
            'hel-a',
            self.directory,
            self.judges_targets,
            output=self.output,
        )
        self.core = BalancerCore(
            state,
            read_from_client,
            service_endpoint,
            Random(1),
        )
        self.put_agents(self.agent_count)
        self.put_manifest(3, SERVICE)
        self.directory.apply_evacuations(frozenset())

    def put_agents(self, count: int) -> None:
        """Fills the directory with agents, each in its own data centre."""
        self.directory.apply_agents(
            {
                f'side-{number}': AgentEntry(
                    f'side-{number}',
                    agent_ip(number),
                    f'zone-{number}',
                    SERVICE,
                )
                for number in range(1, count + 1)
            }
        )

    def put_manifest(self, version: int, service: str) -> None:
        """Puts a manifest that routes the address to `service`.

        The address of urgent requests differs in its port.
        """
        shares = (WeightedService(service),)
        manifest = Manifest(
            version,
            {SERVICE_ADDRESS: shares, URGENT_ADDRESS: shares},
            limits=self.limits,
        )
        self.directory.apply_manifest(manifest, version)

    def put_limits(self, limits: RequestLimits) -> None:
        """Puts a manifest with these limits; urgent ones have priority."""
        self.limits = {
            SERVICE_ADDRESS: limits,
            URGENT_ADDRESS: evolve(limits, priority=-1),
        }
        self.put_manifest(self.directory.manifest.version + 1, SERVICE)

    def refuse_all(self) -> list[bytes]:
        """Refuses all SYNs that are sent; returns their flow keys.

        Every agent that a frame names refuses, and the last one returns the
        SYN, until the balancer sends no further one.
        """
        keys = []
        while self.output.sent:
            ip, message = self.output.sent.pop(0)
            key = message.packet[12:24]
            keys.append(key)
            for passing_ip in (ip, *message.candidate_ips[:-1]):
                report = AgentReport(FrameKind.ABSENT, key, load=FULL)
                self.core.on_report(passing_ip, report, self.now_s)
            last_ip = (ip, *message.candidate_ips)[-1]
            report = AgentReport(
                FrameKind.REFUSED, key, load=FULL, packet=message.packet
            )
            self.core.on_report(last_ip, report, self.now_s)
        return keys

    def packet(self, flags: int, **changes: Any) -> None:
        """Passes a packet of the client to the core."""
        self.core.on_packet(client_packet(flags, **changes), self.now_s)

    def report(
        self,
        number: int,
        kind: FrameKind,
        octets: bytes = b'',
        **changes: Any,
    ) -> None:
        """Passes a report of agent `number` about the flow to the core."""
        changes.setdefault('load', Load(1, 0, 40, 7))
        report = AgentReport(kind, flow_key(), packet=octets, **changes)
        self.core.on_report(agent_ip(number), report, self.now_s)

    def open_flow(self, number: int) -> None:
        """Opens a flow that agent `number` holds."""
        self.packet(SYN)
        self.report(number, FrameKind.HELD)
        self.output.clear()

    def pass_time(self, seconds: float) -> None:
        """Advances the clock in ticks of 20 ms."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.02
            self.core.tick(self.now_s)

    def kinds_sent(self) -> list[str]:
        """Returns the kinds of all frames to agents, in order."""
        return [message.kind.name for _, message in self.output.sent]


@define(slots=True, eq=False)
class InputPort:
    """A port with `waiting_count` datagrams that wait to be read."""

    deliver_waiting: Callable[[], None]
    waiting_count: int

    def drain(self) -> int:
        """Delivers the waiting datagrams; returns their number."""
        self.deliver_waiting()
        return self.waiting_count
