"""API pages that read and write the settings tree; balancers serve them."""

from collections.abc import Callable
from typing import Any

from attrs import evolve

from cumindrift.administration.routing import (
    DeferredResponse,
    HttpRequest,
    HttpResponse,
    Responder,
    done_response,
    error_response,
    operator_routes,
    parse_number,
)
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.document import parse_strict
from cumindrift.outcome import Done, NotRun, Outcome, Refused
from cumindrift.settings.edit import WritePlan, WriteRequest, plan_write
from cumindrift.settings.path import (
    ABSENT,
    Difference,
    differences,
    parse_path,
    read_at,
)
from cumindrift.settings.record import (
    HistoryEntry,
    SettingsRecord,
    unstructure_tree,
)
from cumindrift.settings.token import authenticate
from cumindrift.settings.writer import SettingsWriter, WriteResult

_BEARER = 'Bearer '
_WRITE_ID_MAX = 64
_DIFFERENCES_MAX = 1000


@operator_routes.register('GET /settings')
def show_settings(context: Context, request: HttpRequest) -> HttpResponse:
    """Returns the settings in force on this balancer at or below a path."""
    snapshot = context.snapshots.snapshot
    path = parse_path(request.subpath)
    content = read_at(unstructure_tree(snapshot.tree), path)
    if content is ABSENT:
        refused = Refused(
            ResultCode.NO_SUCH_PATH, str(path), 'no settings at this path'
        )
        return error_response(refused)
    return done_response(
        ResultCode.DONE,
        version=snapshot.version,
        path=str(path),
        content=content,
    )


@operator_routes.register('PUT /settings')
def put_settings(
    context: Context, request: HttpRequest
) -> HttpResponse | DeferredResponse:
    """Writes the content of the body to a path."""
    return _start_write(context, _parse_write(context, request, 'put'))


@operator_routes.register('DELETE /settings')
def remove_settings(
    context: Context,
    request: HttpRequest,
) -> HttpResponse | DeferredResponse:
    """Removes the settings at a path."""
    return _start_write(context, _parse_write(context, request, 'remove'))


@operator_routes.register('POST /roll-forward')
def roll_forward(
    context: Context, request: HttpRequest
) -> HttpResponse | DeferredResponse:
    """Restores a path to its content in version `to`, as a new version."""
    read = _parse_write(context, request, 'roll-forward')
    source = request.query_number('to')
    if isinstance(read, Refused):
        return error_response(read)
    if source is None:
        return error_response(_bad_call('the query has no valid to=VERSION'))
    return _start_write(
        context, Done(evolve(read.content, source_version=source))
    )


@operator_routes.register('POST /check')
def check_settings(context: Context, request: HttpRequest) -> HttpResponse:
    """Returns what a put would change in the settings; writes nothing."""
    read = _parse_write(context, request, 'put')
    if isinstance(read, Refused):
        return error_response(read)
    snapshot = context.snapshots.snapshot
    wanted = evolve(read.content, expected_version=snapshot.version)
    plan = plan_write(
        SettingsRecord(snapshot.version, snapshot.tree), wanted, 0.0
    )
    if isinstance(plan, Refused):
        return error_response(plan)
    planned: WritePlan = plan.content
    return done_response(
        ResultCode.DONE,
        version=snapshot.version,
        changes=_differences_to_json(planned.changed),
    )


@operator_routes.register('GET /history')
def show_history(
    context: Context, request: HttpRequest
) -> HttpResponse | DeferredResponse:
    """Lists the changes at or below a path, newest first."""
    path = parse_path(request.subpath)

    def reply_history(record: SettingsRecord) -> HttpResponse:
        entries = [
            _entry_to_json(record, entry)
            for entry in record.history
            if parse_path(entry.path).overlaps(path)
        ]
        return done_response(
            ResultCode.DONE,
            version=record.version,
            history=entries,
        )

    return _respond_from_record(context, reply_history)


@operator_routes.register('GET /diff')
def show_difference(
    context: Context,
    request: HttpRequest,
) -> HttpResponse | DeferredResponse:
    """Lists the differences between two versions."""
    first, second = request.query_number('from'), request.query_number('to')
    if first is None or second is None:
        return error_response(_bad_call('the query has no valid from= and to='))

    def reply_difference(record: SettingsRecord) -> HttpResponse:
        for version in (first, second):
            if not record.can_restore(version):
                detail = f'version {version} is not in the history'
                gone = Refused(ResultCode.VERSION_GONE, '/', detail)
                return error_response(gone)
        changed = tuple(
            differences(
                record.unstructured_at(first), record.unstructured_at(second)
            ),
        )
        return done_response(
            ResultCode.DONE,
            version=record.version,
            changes=_differences_to_json(changed),
        )

    return _respond_from_record(context, reply_difference)


def make_writer(context: Context) -> SettingsWriter | None:
    """Returns a writer, or None if no platform is configured."""
    if not context.settings.platform:
        return None
    return SettingsWriter(context.store, context.distribution)


def no_platform_response() -> HttpResponse:
    """Returns the response of a process without a configured platform."""
    detail = 'no platform is configured for this process'
    return error_response(NotRun(ResultCode.PLATFORM_DOWN, detail))


def _respond_from_record(
    context: Context,
    make_response: Callable[[SettingsRecord], HttpResponse],
) -> HttpResponse | DeferredResponse:
    writer = make_writer(context)
    if writer is None:
        return no_platform_response()

    def start(responder: Responder) -> None:
        writer.read_record(
            lambda outcome: responder.reply(
                make_response(outcome.content)
                if isinstance(outcome, Done)
                else error_response(outcome),
            ),
        )

    return DeferredResponse(start)


def _start_write(
    context: Context, read: Done | Refused
) -> HttpResponse | DeferredResponse:
    if isinstance(read, Refused):
        return error_response(read)
    writer = make_writer(context)
    if writer is None:
        return no_platform_response()
    return DeferredResponse(
        lambda responder: writer.write(
            read.content,
            lambda outcome: responder.reply(_write_response(outcome)),
        ),
    )


def _write_response(outcome: Outcome) -> HttpResponse:
    if not isinstance(outcome, Done):
        return error_response(outcome)
    written: WriteResult = outcome.content
    return done_response(
        outcome.code,
        version=written.version,
        paths=list(written.paths)[:_DIFFERENCES_MAX],
    )


def _parse_write(
    context: Context,
    request: HttpRequest,
    kind: str,
) -> Done | Refused:
    """Parses token, expected version, write id and body of a write.

    `Done` holds the `WriteRequest`.
    """
    header = request.headers.get('authorization', '')
    token = header.removeprefix(_BEARER).strip()
    author = authenticate(token, context.settings.tokens)
    if isinstance(author, Refused):
        return author
    version = parse_number(request.headers.get('if-match', '').strip('"'))
    write_id = request.headers.get('idempotency-key', '')
    if version is None:
        return _bad_call('the header If-Match has no valid version')
    if not 0 < len(write_id) <= _WRITE_ID_MAX:
        return _bad_call('the header Idempotency-Key has no valid write id')
    body = Done()
    if kind == 'put':
        body = parse_strict(request.body)
    if isinstance(body, Refused):
        return body
    return Done(
        WriteRequest(
            parse_path(request.subpath),
            version,
            f'{author.content.name}/{write_id}',
            author.content,
            kind,
            body.content,
        ),
    )


def _bad_call(detail: str) -> Refused:
    return Refused(ResultCode.BAD_CALL, '/', detail)


def _entry_to_json(
    record: SettingsRecord, entry: HistoryEntry
) -> dict[str, Any]:
    return {
        'version': entry.version,
        'author': entry.author,
        'changed_at_s': entry.changed_at_s,
        'path': entry.path,
        'changed': [step.path for step in entry.undo][:_DIFFERENCES_MAX],
        'can_roll_forward': record.can_restore(entry.version),
    }


def _differences_to_json(
    changed: tuple[Difference, ...],
) -> list[dict[str, Any]]:
    """Converts differences to JSON; omits a side where the path is absent."""
    listed = []
    for difference in changed[:_DIFFERENCES_MAX]:
        content = {'path': str(difference.path)}
        if difference.before is not ABSENT:
            content['before'] = difference.before
        if difference.after is not ABSENT:
            content['after'] = difference.after
        listed.append(content)
    return listed
