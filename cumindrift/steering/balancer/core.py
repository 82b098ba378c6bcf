"""The balancer's decisions on which agent gets each packet, without I/O."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.registry import Registry
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.evacuation_news import EvacuationNews
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.locator import HolderLocator
from cumindrift.steering.balancer.placer import Placer
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import AgentReport
from cumindrift.steering.packet import FlowPacket

EXPIRE_PERIOD_S = 5.0


@define(slots=True, eq=False, repr=False)
class BalancerCore:
    """Sends each packet of a client to an agent.

    Used by the balancer's ports. Its only state about flows are hints. If a
    flow has none, its holder is searched for among all agents; if a hint is
    wrong, the agent returns the packet.
    """

    state: BalancerState
    read_packet: Callable[[bytes], FlowPacket | None]
    service_endpoint: Callable[[bytes], Endpoint]
    random: Random = field(factory=Random)
    agent_monitor: AgentMonitor = field(init=False)
    placer: Placer = field(init=False)
    locator: HolderLocator = field(init=False)
    evacuation_news: EvacuationNews = field(init=False)
    _next_expiry_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Builds the parts, which share the state."""
        self.agent_monitor = AgentMonitor(self.state)
        self.placer = Placer(
            self.state,
            self.agent_monitor,
            self.service_endpoint,
            self.random,
        )
        self.locator = HolderLocator(self.state, self.agent_monitor)
        self.evacuation_news = EvacuationNews(self.state, self.random)

    def on_packet(self, octets: bytes, now_s: float) -> None:
        """Handles a packet that a router sent to this balancer."""
        packet = self.read_packet(octets)
        if packet is None:
            self.state.count_drop(ResultCode.PACKET_MALFORMED)
            return
        if packet.is_syn:
            self.placer.on_open(packet, now_s)
            return
        hint = self.state.hints.get(packet.flow_key)
        if hint is None or not hint.is_confirmed:
            self.locator.search(packet, now_s)
            return
        hint.seen_s = now_s
        self.state.forward_to_holder(packet, hint)

    def on_report(self, ip: str, report: AgentReport, now_s: float) -> None:
        """Handles a report of the agent at `ip`."""
        self.agent_monitor.on_agent_report(ip, report, now_s)
        state = self.state
        if report.manifest_version > state.directory.manifest.version:
            state.output.request_manifest(report.manifest_version)
        self.evacuation_news.on_report(report.evacuations_changed_as_of)
        report_handlers.get(report.kind.name)(self, ip, report, now_s)

    def tick(self, now_s: float) -> bool:
        """Runs the timers that are due; True while an answer is pending."""
        self.agent_monitor.tick(now_s)
        self.evacuation_news.tick(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRE_PERIOD_S
            self._expire(now_s)
        is_placing = self.placer.tick(now_s)
        return self.locator.tick(now_s) or is_placing

    def _expire(self, now_s: float) -> None:
        state = self.state
        idle_s = state.directory.manifest.idle_timeout_s
        state.hints.expire(now_s, idle_s * 2)
        self.agent_monitor.expire()
        self.locator.expire(now_s)


ReportHandler = Callable[[BalancerCore, str, AgentReport, float], None]
report_handlers: Registry[ReportHandler] = Registry('agent report')


@report_handlers.register('PONG')
def _on_pong(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    """Does nothing: `on_report` has already recorded load and liveness."""


@report_handlers.register('HELD')
def _on_held(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    key = report.flow_key
    hints = core.state.hints
    core.placer.on_held(key, now_s)
    hint = hints.get(key)
    if hint is None:
        hint = hints.keep(key, Hint(ip, now_s))
    elif hint.is_confirmed and not report.is_authoritative:
        # The reporting agent may be wrong, so a confirmed hint stays. If the
        # hint's agent no longer holds the flow, it returns the next packet.
        return
    hint.agent_ip = ip
    hint.incarnation = report.incarnation
    hint.is_confirmed = True
    hint.opening = None
    core.locator.on_held(key, hint, now_s)


@report_handlers.register('ABSENT')
def _on_absent(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    core.placer.on_open_forwarded(ip, report.flow_key, now_s)


@report_handlers.register('NOT_FOUND')
def _on_not_found(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    core.locator.on_not_found(report.flow_key)


@report_handlers.register('RETURNED')
def _on_returned(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    hints = core.state.hints
    hint = hints.get(report.flow_key)
    if hint is not None and hint.agent_ip == ip:
        hints.drop(report.flow_key)
    packet = core.read_packet(report.packet)
    if packet is not None:
        core.locator.search(packet, now_s)


@report_handlers.register('REFUSED')
def _on_refused(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    packet = core.read_packet(report.packet)
    core.placer.on_refused(ip, report.flow_key, packet, now_s)


@report_handlers.register('ENDED')
def _on_ended(
    core: BalancerCore, ip: str, report: AgentReport, now_s: float
) -> None:
    core.state.hints.drop(report.flow_key)
    core.locator.on_ended(report.flow_key)
