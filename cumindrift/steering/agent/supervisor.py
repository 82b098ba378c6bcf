"""The steering supervisor of an agent and its children."""

from collections.abc import Callable
from functools import partial

from cumindrift.administration.http import HttpServer
from cumindrift.fleet.agent_store import announce_agent, record_flows
from cumindrift.fleet.context import NodeContext
from cumindrift.platform.packet import format_flow_key, read_from_client
from cumindrift.steering.agent.core import AgentCore
from cumindrift.steering.agent.flow import FlowTable
from cumindrift.steering.agent.page import heartbeat_routes
from cumindrift.steering.agent.port import AgentPeerPort
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.agent.target import TargetState
from cumindrift.steering.role import Builder, node_roles, ticker_spec
from cumindrift.supervision import ChildSpec, Supervisor

# How long an agent that ends tries to remove its entry from the store.
WITHDRAWAL_TIMEOUT_S = 2.0


@node_roles.register('agent')
def prepare_agent(context: NodeContext) -> Builder:
    """Builds the agent's core; returns its supervisor's builder."""
    settings = context.settings
    place = settings.target
    bounds = settings.bounds
    target = TargetState(
        bounds,
        settings.heartbeat_s,
        context.started_ms,
        context.is_first_start,
        place,
    )
    state = AgentState(
        settings.ip,
        format_flow_key,
        context.events,
        place.service,
        target,
        FlowTable(bounds.flow_lifetime_s, bounds.flow_lifetime_s),
        judges_target=settings.judges_targets,
    )
    core = AgentCore(state, read_from_client)
    context.core = core
    announce_agent(context, place.service)
    record_flows(
        context, core.crash_recovery.on_record, core.crash_recovery.build_record
    )
    context.begin_shutdown = partial(_withdraw, context, target)
    context.may_exit = _after_withdrawal(context)
    context.on_settings = target.apply_settings

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
                ticker_spec(context, core),
            ],
        )

    return build


def _withdraw(context: NodeContext, target: TargetState) -> None:
    """Removes the agent's entry from the store if its target has ended.

    An agent that only restarts keeps its entry, since its target still runs.
    """
    if target.is_deregistered or target.is_gone:
        context.announcer.set_desired(None)
        context.recorder.request_removal()


def _after_withdrawal(context: NodeContext) -> Callable[[float], bool]:
    ask_times_s: list[float] = []

    def may_exit(now_s: float) -> bool:
        ask_times_s.append(now_s)
        is_late = now_s - ask_times_s[0] >= WITHDRAWAL_TIMEOUT_S
        has_left = context.recorder.is_removed
        is_kept = context.announcer.desired is not None
        is_done = context.announcer.is_written and has_left
        return is_kept or is_done or is_late

    return may_exit
