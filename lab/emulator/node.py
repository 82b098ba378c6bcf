"""Emulated nodes: the real cores, with outputs that go to the world."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.event import EventLog
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.manifest import Manifest
from cumindrift.fleet.settings import NodeBounds
from cumindrift.platform.packet import (
    build_reset,
    format_flow_key,
    read_from_client,
    read_from_target,
    service_endpoint,
)
from cumindrift.steering.agent.core import AgentCore
from cumindrift.steering.agent.flow import FlowTable
from cumindrift.steering.agent.input_age import InputAge
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.agent.target import TargetState
from cumindrift.steering.balancer.core import BalancerCore
from cumindrift.steering.balancer.open_queue import OpenQueue, queue_orders
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import (
    AgentReport,
    ForwardedPacket,
    decode_frame,
    encode_forwarded,
    encode_report,
)
from cumindrift.steering.role import BUSY_TICK_S, IDLE_TICK_S
from lab.emulator.target import HEARTBEAT_S, SERVICE, EmulatedTarget
from lab.network import VirtualNetwork

START_S = 0.3
CHECK_S = 0.002
STORE_DELAY_S = 0.15
LIST_DELAY_S = 0.01


def discard(octets: bytes) -> int:
    """Takes the place of a log's reader."""
    return len(octets)


@define(slots=True, eq=False)
class Store:
    """What all balancers read: agents, manifest and evacuations."""

    manifest: Manifest = field(factory=Manifest)
    agents: dict[str, AgentEntry] = field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    revision: int = 1
    # The revision of the last change of the evacuations.
    evacuations_changed_as_of: int = -1


@define(slots=True, eq=False)
class EmulatedNode:
    """What both roles share: links, restarts, freezes and ticks.

    `send_frame` takes octets to another node, `send_client` to a client.
    """

    ip: str
    data_centre: str
    network: VirtualNetwork
    random: Random
    send_frame: Callable[[str, str, bytes], None]
    send_client: Callable[[str, bytes, bytes], None]
    judges_targets: bool = False
    is_up: bool = False
    is_frozen: bool = False
    # The end of the last fault that hit this node.
    harmed_until_s: float = 0.0
    core: Any = None
    _start_count: int = 0
    _waiting: list[Callable[[], None]] = field(factory=list)

    def start(self) -> None:
        """Starts the process, which knows nothing of before, unless it runs."""
        if self.is_up:
            return
        self._start_count += 1
        self.is_up = True
        self._waiting.clear()
        self.core = self.build_core(self._start_count)
        self._tick(self._start_count)

    def build_core(self, start_count: int) -> Any:
        """Returns the core of a process that starts."""

    def stop(self) -> None:
        """Ends the process at once."""
        self.is_up = False
        self._waiting.clear()

    def thaw(self) -> None:
        """Ends a freeze; what had arrived is read first."""
        self.is_frozen = False
        waiting = self._waiting
        self._waiting = []
        for call in waiting:
            call()

    def receive(self, call: Callable[[], None]) -> None:
        """Runs `call` for input that arrived; later while frozen."""
        if not self.is_up:
            return
        if self.is_frozen:
            self._waiting.append(call)
        else:
            call()

    def clock(self) -> float:
        """Returns the virtual time."""
        return self.network.now_s

    def events(self) -> EventLog:
        """Returns a log that nobody reads."""
        return EventLog(self.ip, self.clock, discard)

    def forward(self, ip: str, forwarded: ForwardedPacket) -> None:
        """Sends a frame to an agent."""
        self.send_frame(self.ip, ip, encode_forwarded(forwarded))

    def send_report(self, ip: str, report: AgentReport) -> None:
        """Sends a report to a node."""
        self.send_frame(self.ip, ip, encode_report(report))

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Sends a reset to a client."""
        octets = build_reset(flow_key, acknowledged)
        self.send_client(self.ip, flow_key, octets)

    def answer(self, flow_key: bytes, octets: bytes) -> None:
        """Sends a target's packet to a client."""
        self.send_client(self.ip, flow_key, octets)

    def _tick(self, start_count: int) -> None:
        if start_count != self._start_count:
            return
        is_busy = False
        if self.is_up and not self.is_frozen:
            is_busy = self.core.tick(self.network.now_s)
            self.core.state.events.flush()
        period_s = BUSY_TICK_S if is_busy else IDLE_TICK_S
        self.network.at(
            self.network.now_s + period_s, lambda: self._tick(start_count)
        )


@define(slots=True, eq=False)
class EmulatedBalancer(EmulatedNode):
    """A balancer that reads the store some time after each change."""

    store: Store = field(factory=Store)
    queue_order: str = 'urgent-first'

    def build_core(self, start_count: int) -> BalancerCore:
        """Returns a core without a directory, which it reads soon."""
        state = BalancerState(
            self.ip,
            format_flow_key,
            self.events(),
            self.data_centre,
            Directory(),
            self.judges_targets,
            output=self,
        )
        core = BalancerCore(
            state, read_from_client, service_endpoint, self.random
        )
        core.placer.queues[SERVICE] = OpenQueue(
            SERVICE, queue_orders.get(self.queue_order)
        )
        self.network.at(self.network.now_s + STORE_DELAY_S, self.read_store)
        return core

    @property
    def is_ready(self) -> bool:
        """Returns what the routers are told."""
        if not self.is_up or self.is_frozen or self.core is None:
            return False
        directory = self.core.state.directory
        is_cut_off = self.core.agent_monitor.is_cut_off(self.network.now_s)
        return directory.is_complete and not is_cut_off

    def read_store(self) -> None:
        """Takes over what the store holds now."""
        if not self.is_up or self.core is None:
            return
        store = self.store
        directory = self.core.state.directory
        directory.apply_manifest(store.manifest, store.revision)
        if directory.agents != store.agents or not directory.has_agents:
            directory.apply_agents(dict(store.agents))
        directory.apply_evacuations(store.evacuated)
        directory.evacuations_version.confirm(
            store.revision,
            store.evacuations_changed_as_of,
            self.network.now_s,
        )

    def on_packet(self, octets: bytes) -> None:
        """Takes a client's packet from a router."""
        self.receive(lambda: self.core.on_packet(octets, self.clock()))

    def on_frame(self, sender_ip: str, octets: bytes) -> None:
        """Takes a frame of another node."""
        report = decode_frame(octets)
        if isinstance(report, AgentReport):
            self.receive(
                lambda: self.core.on_report(sender_ip, report, self.clock())
            )

    def remove_agent(self, name: str) -> None:
        """Removes an agent's entry from the store."""
        self.store.agents.pop(name, None)
        self.network.at(self.network.now_s + STORE_DELAY_S, self.read_store)

    def request_agents(self) -> None:
        """Lists the agents."""
        asked_s = self.network.now_s

        def listed() -> None:
            self.read_store()
            if self.core is not None:
                self.core.locator.on_agents_listed(asked_s)

        self.network.at(asked_s + LIST_DELAY_S, listed)

    def request_manifest(self, _version: int) -> None:
        """Reads the store."""
        self.network.at(self.network.now_s + LIST_DELAY_S, self.read_store)

    def request_evacuations(self) -> None:
        """Reads the store."""
        self.network.at(self.network.now_s + LIST_DELAY_S, self.read_store)


@define(slots=True, eq=False)
class EmulatedAgent(EmulatedNode):
    """An agent beside its target."""

    target: EmulatedTarget | None = None
    bounds: NodeBounds = field(factory=NodeBounds)
    _beats: int = 0

    def build_core(self, start_count: int) -> AgentCore:
        """Returns a core that knows no flow; heartbeats reach it at once."""
        now_s = self.network.now_s
        target = TargetState(
            self.bounds,
            HEARTBEAT_S,
            int(now_s * 1000) + 10_000,
            start_count == 1,
        )
        state = AgentState(
            self.ip,
            format_flow_key,
            self.events(),
            SERVICE,
            target,
            FlowTable(60.0, 60.0),
            judges_target=self.judges_targets,
            input_age=InputAge(self.clock),
            output=self,
        )
        if start_count == 1:
            self.network.at(now_s, self._beat)
        return AgentCore(state, read_from_client)

    def on_frame(self, sender_ip: str, octets: bytes) -> None:
        """Takes a frame of another node."""
        message = decode_frame(octets)
        if isinstance(message, ForwardedPacket):
            message.sender_ip = sender_ip
            self.receive(lambda: self.core.on_forwarded(message, self.clock()))
        elif message is not None:
            self.receive(
                lambda: self.core.on_report(sender_ip, message, self.clock())
            )

    def on_target_octets(self, octets: bytes) -> None:
        """Takes a packet of the target."""
        packet = read_from_target(octets)
        if packet is not None:
            self.receive(
                lambda: self.core.on_target_packet(packet, self.clock())
            )

    def deliver(self, octets: bytes) -> None:
        """Sends a packet to the target."""
        target = self.target
        self.network.at(
            self.network.now_s + 0.00005, lambda: target.receive(octets)
        )

    def check_target(self) -> None:
        """Finds out whether the target's process listens."""
        asked_s = self.network.now_s
        self.network.at(asked_s + CHECK_S, lambda: self._checked(asked_s))

    def check_entry(self) -> None:
        """Does nothing: entries are not lost here."""

    def _checked(self, asked_s: float) -> None:
        if self.target.is_up:
            self.receive(self.core.on_target_alive)
        else:
            self.receive(
                lambda: self.core.on_target_gone(asked_s, self.clock())
            )

    def _beat(self) -> None:
        if self.is_up and not self.is_frozen and self.target.is_up:
            self.core.on_heartbeat(self.target.heartbeat(), self.clock())
        self.network.at(self.network.now_s + HEARTBEAT_S, self._beat)
