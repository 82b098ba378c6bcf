"""Pages over the settings tree; balancers serve them."""

from attrs import evolve

from cumindrift.administration.http import HttpAnswer, HttpRequest, routes
from cumindrift.context import Context
from cumindrift.document import parse_document, unstructure
from cumindrift.outcome import Refused
from cumindrift.settings.snapshot import encode_snapshot
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
    snapshot = Snapshot(version, parsed.content)
    context.snapshots.take(snapshot)
    push = encode_snapshot(snapshot)
    for member in context.membership.view.members.values():
        context.send(member.endpoint, evolve(push))
    return HttpAnswer.of_json(200, {'version': version})
