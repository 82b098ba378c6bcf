"""Pages over the settings tree; balancers serve them."""

from cumindrift.administration.http import HttpAnswer, HttpRequest, routes
from cumindrift.context import Context
from cumindrift.document import parse_document, unstructure
from cumindrift.outcome import Refused
from cumindrift.settings.tree import Snapshot, Tree


@routes.register('GET /settings')
def show_settings(context: Context, request: HttpRequest) -> HttpAnswer:
    """Answers with the settings in force here."""
    snapshot = context.snapshots.snapshot
    return HttpAnswer.of_json(
        200,
        {'version': snapshot.version, 'tree': unstructure(snapshot.tree)},
    )


@routes.register('PUT /settings')
def put_settings(context: Context, request: HttpRequest) -> HttpAnswer:
    """Checks a whole tree and puts it in force as the next version."""
    parsed = parse_document(request.body.decode(), Tree)
    if isinstance(parsed, Refused):
        return HttpAnswer.of_refusal(400, parsed)
    version = context.snapshots.snapshot.version + 1
    context.distribution.publish(Snapshot(version, parsed.content))
    return HttpAnswer.of_json(200, {'version': version})
