"""What a node serves over HTTP: readiness, heartbeats, metrics, beliefs."""

from cumindrift.administration.answer import (
    HttpAnswer,
    HttpRequest,
    Route,
    answer_refusal,
)
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.peering import encode_beliefs
from cumindrift.fleet.supervisor import announce_agent
from cumindrift.outcome import Refused
from cumindrift.platform.documents import read_heartbeat
from cumindrift.registry import Registry

# The adapter's paths begin with the product's name.
READY_PATH = '/ready'
TARGETS_PATH = '/instances/'
STATUS_OK = 200
STATUS_UNAVAILABLE = 503

readiness_routes: Registry[Route] = Registry('readiness route')
heartbeat_routes: Registry[Route] = Registry('heartbeat route')
page_routes: Registry[Route] = Registry('page route')


@readiness_routes.register('GET /cumindrift')
def show_ready(context: NodeContext, request: HttpRequest) -> HttpAnswer:
    """Answers 200 while routers shall send packets here."""
    is_serving = context.directory.is_complete and not context.is_stopping
    is_ready = is_serving and not context.core.is_cut_off(context.clock())
    if is_ready != context.was_ready:
        context.was_ready = is_ready
        context.events.note_urgently('readiness', is_ready=is_ready)
    status = STATUS_OK if is_ready else STATUS_UNAVAILABLE
    return HttpAnswer.of_json(status, {'ready': is_ready})


@heartbeat_routes.register('PUT /cumindrift')
def take_beat(context: NodeContext, request: HttpRequest) -> HttpAnswer:
    """Takes a heartbeat; the answer says that it is in force."""
    target_id = request.rest.removeprefix(TARGETS_PATH)
    outcome = read_heartbeat(target_id, request.body)
    if isinstance(outcome, Refused):
        context.events.note(
            'beat-unreadable',
            target=target_id,
            code=int(outcome.code),
            detail=outcome.detail,
        )
        return answer_refusal(outcome)
    beat = outcome.content
    context.core.on_beat(beat, context.clock())
    announce_agent(context, context.core.target.beat.service)
    return HttpAnswer.of_json(STATUS_OK, {})


@heartbeat_routes.register('DELETE /cumindrift')
def take_leave(context: NodeContext, request: HttpRequest) -> HttpAnswer:
    """Takes a target's last word."""
    context.core.on_left(request.rest.removeprefix(TARGETS_PATH))
    return HttpAnswer.of_json(STATUS_OK, {})


@page_routes.register('GET /metrics')
def show_metrics(context: NodeContext, request: HttpRequest) -> HttpAnswer:
    """Answers with all metrics; what renders them is loaded when asked."""
    from cumindrift.exposition import CONTENT_TYPE, render_metrics  # noqa: PLC0415, WPS433

    return HttpAnswer(STATUS_OK, render_metrics(), CONTENT_TYPE)


@page_routes.register('GET /beliefs')
def show_beliefs(context: NodeContext, request: HttpRequest) -> HttpAnswer:
    """Answers a balancer that the store does not answer."""
    if not context.directory.is_complete:
        return HttpAnswer.of_json(STATUS_UNAVAILABLE, {})
    return HttpAnswer(STATUS_OK, encode_beliefs(context))
