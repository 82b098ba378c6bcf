"""The steering supervisor of a balancer, and its children."""

from collections.abc import Callable

from cumindrift.administration.http import HttpServer
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.following import follow_store
from cumindrift.platform.packet import (
    describe,
    read_from_client,
    service_endpoint,
)
from cumindrift.steering.balancer.core import BalancerCore
from cumindrift.steering.balancer.page import readiness_routes
from cumindrift.steering.balancer.port import BalancerPeerPort, RouterPort
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.role import Builder, node_roles, ticker_spec
from cumindrift.supervision import ChildSpec, Supervisor

# Routers let go after two probes without success, half a second apart.
ROUTER_DRAIN_S = 1.6


@node_roles.register('balancer')
def prepare_balancer(context: NodeContext) -> Builder:
    """Builds the balancer's core; returns its supervisor's builder."""
    settings = context.settings
    follow_store(context)
    state = BalancerState(
        settings.ip,
        describe,
        context.events,
        settings.data_centre,
        context.directory,
    )
    core = BalancerCore(
        state,
        read_from_client,
        service_endpoint,
        context.random,
    )
    context.core = core
    for follower in context.followers.values():
        follower.on_verified = core.locator.on_agents_verified
    context.may_leave = _after_routers(context)

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
    """Serves on until the routers have seen that it is not ready."""
    ask_times_s: list[float] = []

    def may_leave(now_s: float) -> bool:
        ask_times_s.append(now_s)
        return now_s - ask_times_s[0] >= ROUTER_DRAIN_S

    return may_leave
