"""The HTTP routes by which a target sends heartbeats to its agent."""

from cumindrift.administration.routing import (
    HttpRequest,
    HttpResponse,
    Route,
    error_response,
)
from cumindrift.code import ResultCode
from cumindrift.fleet.agent_store import announce_agent
from cumindrift.fleet.context import NodeContext
from cumindrift.outcome import Refused
from cumindrift.platform.heartbeat import read_heartbeat
from cumindrift.registry import Registry
from cumindrift.steering.agent.target import HeartbeatEffect
from cumindrift.steering.page import STATUS_CONFLICT, STATUS_OK

# Paths of the platform adapter begin with the product's name.
TARGETS_PATH = '/instances/'

heartbeat_routes: Registry[Route] = Registry('heartbeat route')


@heartbeat_routes.register('PUT /cumindrift')
def accept_heartbeat(
    context: NodeContext, request: HttpRequest
) -> HttpResponse:
    """Handles a heartbeat; the response confirms that it is in effect."""
    target_id = request.subpath.removeprefix(TARGETS_PATH)
    outcome = read_heartbeat(target_id, request.body)
    if isinstance(outcome, Refused):
        context.events.note(
            'beat-unreadable',
            target=target_id,
            code=int(outcome.code),
            detail=outcome.detail,
        )
        return error_response(outcome)
    heartbeat = outcome.content
    effect = context.core.on_heartbeat(heartbeat, context.clock())
    if effect is HeartbeatEffect.FOREIGN:
        return error_response(
            Refused(ResultCode.MESSAGE_MISDIRECTED, target_id), STATUS_CONFLICT
        )
    announce_agent(context, context.core.state.target.last_heartbeat.service)
    return HttpResponse.of_json(STATUS_OK, {})


@heartbeat_routes.register('DELETE /cumindrift')
def deregister_target(
    context: NodeContext, request: HttpRequest
) -> HttpResponse:
    """Handles the notice of a target that is about to end."""
    context.core.on_deregistered(request.subpath.removeprefix(TARGETS_PATH))
    return HttpResponse.of_json(STATUS_OK, {})
