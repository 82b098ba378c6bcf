"""The steering supervisor of each role, and its children."""

from collections.abc import Callable
from functools import partial

from cumindrift.administration.http import HttpServer
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.supervisor import (
    announce_agent,
    follow_store,
    record_flows,
)
from cumindrift.platform.packet import (
    describe,
    read_from_client,
    service_endpoint,
)
from cumindrift.registry import Registry
from cumindrift.steering.agent import AgentCore
from cumindrift.steering.director import Director
from cumindrift.steering.flow import FlowTable
from cumindrift.steering.page import heartbeat_routes, readiness_routes
from cumindrift.steering.port import (
    AgentPeerPort,
    BalancerPeerPort,
    RouterPort,
)
from cumindrift.steering.target import TargetState
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.1
# How long an agent tries to take its entry back.
WITHDRAWAL_S = 2.0
# Routers let go after two probes without success, half a second apart.
ROUTERS_LET_GO_S = 1.6

Builder = Callable[[], Supervisor]
# A role builds its core once and returns what builds its supervisor.
node_roles: Registry[Callable[[NodeContext], Builder]] = Registry('node role')


@node_roles.register('balancer')
def prepare_balancer(context: NodeContext) -> Builder:
    """Builds the balancer's core; returns its supervisor's builder."""
    settings = context.settings
    core = Director(
        settings.ip,
        settings.data_centre,
        context.directory,
        read_from_client,
        describe,
        service_endpoint,
        context.events,
        context.random,
    )
    context.core = core
    follow_store(context)
    for follower in context.followers.values():
        follower.on_verified = core.on_agents_verified
    context.may_leave = _after_routers(context)

    def build() -> Supervisor:
        return Supervisor(
            'steering',
            [
                ChildSpec('peer', lambda: BalancerPeerPort(context)),
                ChildSpec('routers', lambda: RouterPort(context)),
                ChildSpec('readiness', lambda: _serve_ready(context)),
                _ticker_spec(context, core),
            ],
        )

    return build


@node_roles.register('agent')
def prepare_agent(context: NodeContext) -> Builder:
    """Builds the agent's core; returns its supervisor's builder."""
    settings = context.settings
    place = settings.target
    bounds = settings.bounds
    core = AgentCore(
        settings.ip,
        place.service,
        TargetState(
            bounds,
            settings.heartbeat_s,
            context.started_ms,
            context.is_first_start,
        ),
        FlowTable(bounds.flow_lifetime_s, bounds.flow_lifetime_s),
        read_from_client,
        describe,
        context.events,
    )
    context.core = core
    announce_agent(context, place.service)
    record_flows(context, core.on_record, core.make_record)
    context.begin_leave = partial(_withdraw, context, core)
    context.may_leave = _after_withdrawal(context)
    context.on_settings = core.target.take_settings

    def build() -> Supervisor:
        return Supervisor(
            'steering',
            [
                ChildSpec('peer', lambda: AgentPeerPort(context, place)),
                ChildSpec(
                    'heartbeats',
                    lambda: HttpServer(
                        context,
                        place.heartbeats,
                        (heartbeat_routes,),
                        context.clock,
                    ),
                ),
                _ticker_spec(context, core),
            ],
        )

    return build


def _serve_ready(context: NodeContext) -> HttpServer:
    return HttpServer(
        context,
        context.settings.readiness,
        (readiness_routes,),
        context.clock,
    )


def _ticker_spec(
    context: NodeContext,
    core: AgentCore | Director,
) -> ChildSpec:
    return ChildSpec(
        'ticker',
        lambda: Ticker(
            'steering',
            BUSY_TICK_S,
            lambda: core.tick(context.clock()),
            IDLE_TICK_S,
        ),
    )


def _withdraw(context: NodeContext, core: AgentCore) -> None:
    """Takes the entry back when the target has ended for good.

    A process that only starts again keeps it: its target serves on.
    """
    target = core.target
    if target.has_left or target.is_gone:
        context.announcer.want(None)
        context.recorder.leave()


def _after_withdrawal(context: NodeContext) -> Callable[[float], bool]:
    asked_s: list[float] = []

    def may_leave(now_s: float) -> bool:
        asked_s.append(now_s)
        is_late = now_s - asked_s[0] >= WITHDRAWAL_S
        has_left = context.recorder.has_left
        is_kept = context.announcer.wanted is not None
        is_done = context.announcer.is_written and has_left
        return is_kept or is_done or is_late

    return may_leave


def _after_routers(context: NodeContext) -> Callable[[float], bool]:
    """Serves on until the routers have seen that it is not ready."""
    asked_s: list[float] = []

    def may_leave(now_s: float) -> bool:
        asked_s.append(now_s)
        return now_s - asked_s[0] >= ROUTERS_LET_GO_S

    return may_leave
