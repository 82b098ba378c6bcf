"""The steering supervisor of a balancer and its children."""

from collections.abc import Callable

from cumindrift.administration.http import HttpServer
from cumindrift.fleet.balancer_store import watch_store
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.kind import AGENT_KIND
from cumindrift.platform.packet import (
    format_flow_key,
    read_from_client,
    service_endpoint,
)
from cumindrift.steering.balancer.core import BalancerCore
from cumindrift.steering.balancer.page import readiness_routes
from cumindrift.steering.balancer.port import BalancerPeerPort, RouterPort
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.role import Builder, node_roles, ticker_spec
from cumindrift.supervision import ChildSpec, Supervisor

# Routers stop using a balancer after two failed probes, half a second apart.
ROUTER_DRAIN_S = 1.6


@node_roles.register('balancer')
def prepare_balancer(context: NodeContext) -> Builder:
    """Builds the balancer's core; returns its supervisor's builder."""
    settings = context.settings
    watch_store(context)
    state = BalancerState(
        settings.ip,
        format_flow_key,
        context.events,
        settings.data_centre,
        context.directory,
        settings.judges_targets,
    )
    core = BalancerCore(
        state,
        read_from_client,
        service_endpoint,
        context.random,
    )
    context.core = core
    agents = context.watchers[AGENT_KIND]
    agents.on_listed = core.locator.on_agents_listed
    context.may_exit = _after_routers(context)

    def build() -> Supervisor:
        return Supervisor(
            'steering',
            [
                ChildSpec('peer', lambda: BalancerPeerPort(context)),
                ChildSpec('routers', lambda: RouterPort(context)),
                ChildSpec('readiness', lambda: _serve_ready(context)),
                ticker_spec(context, core),
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


def _after_routers(context: NodeContext) -> Callable[[float], bool]:
    """Keeps serving until the routers have noticed that it is not ready."""
    ask_times_s: list[float] = []

    def may_exit(now_s: float) -> bool:
        ask_times_s.append(now_s)
        return now_s - ask_times_s[0] >= ROUTER_DRAIN_S

    return may_exit
