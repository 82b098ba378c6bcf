"""The HTTP routes of a balancer for routers and other balancers."""

from cumindrift.administration.routing import HttpRequest, HttpResponse, Route
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.peer_reader import encode_known_objects
from cumindrift.registry import Registry
from cumindrift.steering.page import (
    STATUS_OK,
    STATUS_UNAVAILABLE,
    page_routes,
)

readiness_routes: Registry[Route] = Registry('readiness route')


@readiness_routes.register('GET /cumindrift')
def show_ready(context: NodeContext, request: HttpRequest) -> HttpResponse:
    """Answers 200 while routers should send packets to this balancer."""
    is_serving = context.directory.is_complete and not context.is_stopping
    is_ready = is_serving and not context.core.agent_monitor.is_cut_off(
        context.clock()
    )
    if is_ready != context.reported_ready:
        context.reported_ready = is_ready
        context.events.note_urgently('readiness', is_ready=is_ready)
    status = STATUS_OK if is_ready else STATUS_UNAVAILABLE
    return HttpResponse.of_json(status, {'ready': is_ready})


@page_routes.register('GET /beliefs')
def show_beliefs(context: NodeContext, request: HttpRequest) -> HttpResponse:
    """Answers a balancer that cannot reach the store."""
    if not context.directory.is_complete:
        return HttpResponse.of_json(STATUS_UNAVAILABLE, {})
    return HttpResponse(STATUS_OK, encode_known_objects(context))


@page_routes.register('GET /placement')
def show_placement(context: NodeContext, request: HttpRequest) -> HttpResponse:
    """Explains where a SYN would go; the encoder is imported on first use."""
    from cumindrift.steering.balancer.placement_page import (  # noqa: PLC0415, WPS433
        answer_placement,
    )

    return answer_placement(context, request)
