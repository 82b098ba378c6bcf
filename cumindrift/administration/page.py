"""Pages that every process serves: readiness and metrics."""

from cumindrift.administration.routing import HttpRequest, HttpResponse, routes
from cumindrift.context import Context
from cumindrift.exposition import CONTENT_TYPE, render_metrics


@routes.register('GET /metrics')
def show_metrics(context: Context, request: HttpRequest) -> HttpResponse:
    """Returns all metrics in the Prometheus exposition format."""
    return HttpResponse(200, render_metrics(), CONTENT_TYPE)


@routes.register('GET /ready')
def show_readiness(context: Context, request: HttpRequest) -> HttpResponse:
    """Returns 200 if settings are in force and no stop has begun, else 503."""
    version = context.snapshots.snapshot.version
    is_ready = version > 0 and not context.is_stopping
    return HttpResponse.of_json(
        200 if is_ready else 503,
        {
            'ready': is_ready,
            'settings_version': version,
            'members': len(context.membership.view.members),
        },
    )
