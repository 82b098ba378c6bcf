"""The HTTP pages that every node serves: metrics."""

from circuits import Component

from cumindrift.address import Endpoint
from cumindrift.administration.http import HttpServer
from cumindrift.administration.routing import HttpRequest, HttpResponse, Route
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.settings import METRICS_PORT
from cumindrift.metric import COPY_AGE
from cumindrift.registry import Registry

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503

page_routes: Registry[Route] = Registry('page route')


def serve_pages(context: NodeContext) -> Component:
    """Returns the HTTP server, on the port that the deploy file opens."""
    endpoint = Endpoint(context.settings.ip, METRICS_PORT)
    return HttpServer(context, endpoint, (page_routes,), context.clock)


@page_routes.register('GET /metrics')
def show_metrics(context: NodeContext, request: HttpRequest) -> HttpResponse:
    """Answers with all metrics; the renderer is imported on first use."""
    from cumindrift.exposition import CONTENT_TYPE, render_metrics  # noqa: PLC0415, WPS433

    now_s = context.clock()
    for kind, watcher in context.watchers.items():
        COPY_AGE.labels(kind).set(watcher.version.age_s(now_s))
    return HttpResponse(STATUS_OK, render_metrics(), CONTENT_TYPE)
