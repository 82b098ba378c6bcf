"""The agent role: flows of one target, and its traffic supervisor."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from loguru import logger

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.membership.member import MemberState
from cumindrift.membership.view import ServiceName, View
from cumindrift.metric import DROPS, FLOWS_HELD, HOPS, HistogramSeries
from cumindrift.registry import Registry
from cumindrift.role import RoleSettingsError, roles
from cumindrift.settings.process import TargetSettings
from cumindrift.settings.tree import Service, Snapshot
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker
from cumindrift.traffic.action import (
    Action,
    Deliver,
    Drop,
    ForwardPacket,
    Refuse,
    SendMessage,
)
from cumindrift.traffic.candidates import candidate_of
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.frame import STEERED_FAMILY
from cumindrift.traffic.front_end import FrontEnd, RequestFrontEnd, front_ends
from cumindrift.traffic.message import (
    HandoverAck,
    HandoverPart,
    HandoverRequest,
    HolderRecord,
    LoadReport,
    OpenSearch,
    RecordAck,
    SteeredPacket,
    traffic,
)
from cumindrift.traffic.placement import policies
from cumindrift.traffic.shutdown import AgentShutdown
from cumindrift.traffic.target import TargetLink

TICK_PERIOD_S = 0.05
IDLE_PERIOD_S = 0.25
# Assumed until enough requests have been answered to measure it.
DEFAULT_RESPONSE_TIME_S = 0.05
_PPM = 1_000_000
_DEFAULT_SERVICE = Service(ip='0.0.0.0', port=1)  # noqa: S104


@define(slots=True, eq=False)
class AgentCore:
    """Connects the flow finder with the service's front end.

    Receives messages, membership views, settings snapshots and ticks. It is
    built once for the process, so restarts of the traffic supervisor keep
    its state.
    """

    context: Context
    target: TargetSettings
    finder: FlowFinder = field(init=False)
    front: FrontEnd = field(init=False)
    link: TargetLink | None = None
    # Looked up once, since every delivered packet is observed.
    hops: HistogramSeries = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the finder and the front end of the service."""
        self.hops = HOPS.labels(self.target.team, self.target.service)
        self.finder = FlowFinder(
            candidate_of(self.context.me),
            ServiceName(self.target.team, self.target.service),
            policies.get(_DEFAULT_SERVICE.placement),
            self._report_load,
            self.context.me.incarnation,
        )
        self.finder.opener.random = self.context.random
        self.front = front_ends.get(_DEFAULT_SERVICE.front)(
            self.context,
            self.finder,
        )

    def on_message(self, message: Any, now_s: float) -> None:
        """Handles a decoded message of the traffic family."""
        name = type(message).__name__
        if name in message_handlers:
            self.perform(
                message_handlers.get(name)(self, message, now_s), now_s
            )

    def on_view(self, view: View) -> None:
        """Applies a new membership view."""
        now_s = self.context.clock()
        was_out = self.finder.views.is_out()
        self.perform(self.finder.on_view(view, now_s), now_s)
        if self.finder.views.is_out() and not was_out:
            self.front.abort_all(now_s)

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Applies the settings of the agent's own service."""
        team = snapshot.tree.teams.get(self.target.team)
        service = team.services.get(self.target.service) if team else None
        if service is None:
            return
        self._apply_draining_setting(service)
        self.finder.opener.policy = policies.get(service.placement)
        wanted = front_ends.get(service.front)
        if not isinstance(self.front, wanted):
            self.front = wanted(self.context, self.finder)
            self.attach_link(self.link)

    def _apply_draining_setting(self, service: Service) -> None:
        if self.context.is_stopping:
            return
        membership = self.context.membership
        wanted = MemberState.SERVING
        if membership.me.name in service.draining:
            wanted = MemberState.DRAINING
        if membership.me.state is not wanted:
            self.context.send_all(membership.change_state(wanted))

    def attach_link(self, link: TargetLink | None) -> None:
        """Connects the front end with the link to the target."""
        self.link = link
        if link is not None and isinstance(self.front, RequestFrontEnd):
            self.front.link = link
            link.sink = self.front

    def tick(self) -> bool:
        """Runs timers; returns whether work is left for the next tick."""
        now_s = self.context.clock()
        self.perform(self.finder.tick(now_s), now_s)
        self.front.tick(now_s)
        labels = (self.target.team, self.target.service)
        FLOWS_HELD.labels(*labels).set(len(self.finder.table.held))
        if (
            isinstance(self.front, RequestFrontEnd)
            and self.front.core.open_count
        ):
            return True
        return self.finder.is_busy(now_s)

    def perform(self, actions: list[Action], now_s: float) -> None:
        """Carries out the actions that the finder returned."""
        for action in actions:
            action_handlers.get(type(action).__name__)(self, action, now_s)

    def _report_load(self, flow_count: int) -> LoadReport:
        """Reports the load relative to the target's capacity.

        The estimate assumes one request per second and flow, so a target
        that answers twice as fast has twice the capacity for flows.
        """
        connections_max = self.target.connections_max
        load = flow_count * _PPM // connections_max
        if isinstance(self.front, RequestFrontEnd):
            core = self.front.core
            baseline_s = core.admission.baseline_s or DEFAULT_RESPONSE_TIME_S
            slots = self.target.slots
            waiting_count = max(core.open_count - slots, 0)
            load += int(
                (flow_count * baseline_s + waiting_count) / slots * _PPM
            )
        can_take = flow_count < connections_max
        member_id = self.context.me.member_id
        return LoadReport(member_id, flow_count, load, can_take)


MessageHandler = Callable[[AgentCore, Any, float], list[Action]]
message_handlers: Registry[MessageHandler] = Registry('traffic message')


@message_handlers.register('SteeredPacket')
def _handle_steered(
    core: AgentCore,
    steered: SteeredPacket,
    now_s: float,
) -> list[Action]:
    actions = core.finder.on_steered(steered, now_s)
    if actions and isinstance(actions[0], Deliver):
        core.hops.observe(steered.hop_count)
    return actions


@message_handlers.register('OpenSearch')
def _handle_open(
    core: AgentCore,
    search: OpenSearch,
    now_s: float,
) -> list[Action]:
    return core.finder.on_open(search, now_s)


@message_handlers.register('HolderRecord')
def _handle_record(
    core: AgentCore,
    record: HolderRecord,
    now_s: float,
) -> list[Action]:
    return core.finder.on_record(record, now_s)


@message_handlers.register('RecordAck')
def _handle_record_ack(
    core: AgentCore,
    ack: RecordAck,
    _now_s: float,
) -> list[Action]:
    return core.finder.on_ack(ack)


@message_handlers.register('HandoverPart')
def _handle_handover_part(
    core: AgentCore,
    part: HandoverPart,
    now_s: float,
) -> list[Action]:
    actions = core.finder.on_part(part, now_s)
    ledger = core.finder.handover.take_ledger()
    if ledger and isinstance(core.front, RequestFrontEnd):
        outcome = core.front.import_ledger(ledger, now_s)
        logger.info('received the ledger of the last incarnation: {}', outcome)
    return actions


@message_handlers.register('HandoverAck')
def _handle_handover_ack(
    core: AgentCore,
    ack: HandoverAck,
    _now_s: float,
) -> list[Action]:
    core.finder.handover.on_ack(ack)
    return []


@message_handlers.register('HandoverRequest')
def _handle_handover_request(
    core: AgentCore,
    request: HandoverRequest,
    _now_s: float,
) -> list[Action]:
    return core.finder.handover.on_request(request)


action_handlers: Registry[Callable[[AgentCore, Any, float], None]] = Registry(
    'action handler',
)


@action_handlers.register('Deliver')
def _deliver(core: AgentCore, action: Deliver, now_s: float) -> None:
    is_requests = isinstance(core.front, RequestFrontEnd)
    if is_requests and core.finder.handover.awaits_ledger(now_s):
        # The caller retransmits; by then the ledger has arrived or its
        # recovery has timed out.
        DROPS.labels(ResultCode.SEARCH_UNSURE.name).inc()
        return
    core.front.deliver(action.flow_key, action.packet, now_s)


@action_handlers.register('ForwardPacket')
def _forward_packet(
    core: AgentCore, action: ForwardPacket, _now_s: float
) -> None:
    frame = core.context.codec.encode(action.steered)
    core.context.send_frame(action.endpoint, frame)


@action_handlers.register('SendMessage')
def _send_message(core: AgentCore, action: SendMessage, _now_s: float) -> None:
    core.context.send(action.endpoint, action.message)


@action_handlers.register('Refuse')
def _refuse(core: AgentCore, action: Refuse, _now_s: float) -> None:
    core.front.refuse(action.packet, action.code)


@action_handlers.register('Drop')
def _drop(_core: AgentCore, action: Drop, _now_s: float) -> None:
    DROPS.labels(action.code.name).inc()


def make_shutdown(core: AgentCore) -> AgentShutdown:
    """Builds the graceful shutdown of an agent, used as a stop step."""
    context = core.context

    def export() -> bytes:
        if isinstance(core.front, RequestFrontEnd):
            return core.front.export_ledger(context.clock())
        return b''

    def announce(state: MemberState) -> None:
        context.send_all(context.membership.change_state(state))

    return AgentShutdown(
        core.finder,
        context.settings.stop_within_s,
        export,
        announce,
    )


def attach_agent(context: Context) -> AgentCore:
    """Builds the agent's core and registers it with the context."""
    target = context.settings.target
    if target is None:
        raise RoleSettingsError('an agent needs `target` in its settings')
    core = AgentCore(context, target)
    context.view_listeners.append(core.on_view)
    context.snapshot_listeners.append(core.on_snapshot)
    context.stop_steps.append(make_shutdown(core).step)
    context.receivers[traffic.number] = core.on_message
    context.receivers[STEERED_FAMILY] = core.on_message
    return core


@roles.register('agent')
def prepare_agent(context: Context) -> Callable[[], Supervisor]:
    """Builds the agent's core once; returns a factory of its supervisor."""
    core = attach_agent(context)
    target = core.target

    def build_link() -> TargetLink:
        link = TargetLink(Endpoint.parse(target.http))
        core.attach_link(link)
        return link

    def build() -> Supervisor:
        return Supervisor(
            'traffic',
            [
                ChildSpec('target-link', build_link),
                ChildSpec(
                    'ticker',
                    lambda: Ticker(
                        'agent', TICK_PERIOD_S, core.tick, IDLE_PERIOD_S
                    ),
                ),
            ],
        )

    return build
