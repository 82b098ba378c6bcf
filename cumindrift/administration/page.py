"""Pages that every process serves: readiness and metrics."""

from cumindrift.administration.answer import HttpAnswer, HttpRequest, routes
from cumindrift.context import Context
from cumindrift.exposition import CONTENT_TYPE, render_metrics


@routes.register('GET /metrics')
def show_metrics(context: Context, request: HttpRequest) -> HttpAnswer:
    """Answers with all metrics in the exposition format."""
    return HttpAnswer(200, render_metrics(), CONTENT_TYPE)


@routes.register('GET /ready')
def show_readiness(context: Context, request: HttpRequest) -> HttpAnswer:
    """Answers 200 while settings are in force and no stop is under way."""
    version = context.snapshots.snapshot.version
    is_ready = version > 0 and not context.is_stopping
    return HttpAnswer.of_json(
        200 if is_ready else 503,
        {
            'ready': is_ready,
            'settings_version': version,
            'members': len(context.membership.view.members),
        },
    )
