"""Builders of a node's cores, with outlets that keep what was done."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.event import EventLog
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.manifest import Manifest, WeightedService
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
    agent_ip,
    client_packet,
    flow_key,
    forwarded,
    heartbeat,
    opening,
    target_packet,
)


@define(slots=True, eq=False)
class RecordingOutput:
    """Keeps what a core had done."""

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

    def deliver(self, octets: bytes) -> None:
        """Keeps a packet for the target."""
        self.delivered.append(octets)

    def answer(self, _flow_key: bytes, octets: bytes) -> None:
        """Keeps a packet for the client."""
        self.answered.append(octets)

    def reset(self, key: bytes, _acknowledged: int) -> None:
        """Keeps the key of a flow that was reset."""
        self.resets.append(key)

    def forward(self, ip: str, message: ForwardedPacket) -> None:
        """Keeps a packet for an agent."""
        self.sent.append((ip, message))

    def send_report(self, ip: str, report: AgentReport) -> None:
        """Keeps news for a balancer."""
        self.reports.append((ip, report))

    def check_target(self) -> None:
        """Counts."""
        self.checks += 1

    def check_entry(self) -> None:
        """Counts."""
        self.entry_checks += 1

    def remove_agent(self, name: str) -> None:
        """Keeps the name."""
        self.removed.append(name)

    def verify_agents(self) -> None:
        """Counts."""
        self.agent_lists += 1

    def verify_manifest(self, version: int) -> None:
        """Counts."""
        self.manifests += 1

    def clear(self) -> None:
        """Forgets everything so far."""
        for kept in (self.delivered, self.answered, self.resets):
            kept.clear()
        self.sent.clear()
        self.reports.clear()

    def report_kinds(self) -> list[str]:
        """Returns the names of all news, in order."""
        return [report.kind.name for _, report in self.reports]


@define(slots=True, eq=False)
class AgentBench:
    """An agent's core with a clock of its own."""

    is_first_start: bool = True
    started_ms: int = 0
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
            output=self.output,
        )
        self.core = AgentCore(state, read_from_client)

    def send_heartbeat(self, **changes: Any) -> Any:
        """Lets the target send a heartbeat."""
        return self.core.on_heartbeat(heartbeat(**changes), self.now_s)

    def receive(self, message: ForwardedPacket) -> None:
        """Lets a frame arrive."""
        self.core.on_forwarded(message, self.now_s)

    def from_target(self, octets: bytes) -> None:
        """Lets the target send a packet."""
        self.core.on_target_packet(read_from_target(octets), self.now_s)

    def open_flow(self, port: int = 40001) -> None:
        """Opens a flow with the whole handshake."""
        self.receive(opening(port))
        self.from_target(target_packet(SYN | ACK, port=port))
        self.send_data(FrameKind.TO_HOLDER, port=port)
        self.output.clear()

    def send_data(
        self,
        kind: FrameKind,
        acknowledged: int = TARGET_SEQUENCE + 1,
        port: int = 40001,
        **changes: Any,
    ) -> None:
        """Lets data of the client arrive."""
        octets = client_packet(
            ACK,
            port=port,
            acknowledged=acknowledged,
            payload=b'GET',
        )
        self.receive(forwarded(octets, kind, **changes))

    def pass_time(self, seconds: float) -> None:
        """Lets time pass in ticks."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.02
            self.core.tick(self.now_s)


@define(slots=True, eq=False)
class BalancerBench:
    """A balancer's core that knows agents, with a clock of its own."""

    agent_count: int = 3
    now_s: float = 100.0
    output: RecordingOutput = field(factory=RecordingOutput)
    directory: Directory = field(factory=Directory)
    core: BalancerCore = field(init=False)
    events: EventLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the core and a complete directory."""
        self.events = EventLog('front-1', lambda: self.now_s)
        state = BalancerState(
            BALANCER_IP,
            format_flow_key,
            self.events,
            'hel-a',
            self.directory,
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
        """Puts so many agents into the directory, one a data centre."""
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
        """Puts a manifest that sends the address to `service`."""
        manifest = Manifest(
            version, {SERVICE_ADDRESS: (WeightedService(service),)}
        )
        self.directory.apply_manifest(manifest, version)

    def packet(self, flags: int, **changes: Any) -> None:
        """Lets a packet of the client arrive."""
        self.core.on_packet(client_packet(flags, **changes), self.now_s)

    def report(
        self,
        number: int,
        kind: FrameKind,
        octets: bytes = b'',
        **changes: Any,
    ) -> None:
        """Lets agent `number` tell something of the flow."""
        changes.setdefault('load', Load(1, 0, 40, 7))
        report = AgentReport(kind, flow_key(), packet=octets, **changes)
        self.core.on_report(agent_ip(number), report, self.now_s)

    def open_flow(self, number: int) -> None:
        """Opens a flow that agent `number` holds."""
        self.packet(SYN)
        self.report(number, FrameKind.HELD)
        self.output.clear()

    def pass_time(self, seconds: float) -> None:
        """Lets time pass in ticks."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.02
            self.core.tick(self.now_s)

    def kinds_sent(self) -> list[str]:
        """Returns the kinds of all frames to agents, in order."""
        return [message.kind.name for _, message in self.output.sent]


@define(slots=True, eq=False)
class InputPort:
    """A port where something waits to be read."""

    deliver_waiting: Callable[[], None]
    waiting_count: int

    def drain(self) -> int:
        """Hands over what waits; returns how much it was."""
        self.deliver_waiting()
        return self.waiting_count
