"""Pages that read and write the settings tree; balancers serve them."""

from collections.abc import Callable
from typing import Any

from attrs import evolve

from cumindrift.administration.answer import (
    HttpAnswer,
    HttpRequest,
    Later,
    Responder,
    answer_done,
    answer_refusal,
    operator_routes,
    read_number,
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
def show_settings(context: Context, request: HttpRequest) -> HttpAnswer:
    """Answers with what is in force here, at or below a path."""
    snapshot = context.snapshots.snapshot
    path = parse_path(request.rest)
    content = read_at(unstructure_tree(snapshot.tree), path)
    if content is ABSENT:
        refused = Refused(ResultCode.NO_SUCH_PATH, str(path), 'nothing is here')
        return answer_refusal(refused)
    return answer_done(
        ResultCode.DONE,
        version=snapshot.version,
        path=str(path),
        content=content,
    )


@operator_routes.register('PUT /settings')
def put_settings(context: Context, request: HttpRequest) -> HttpAnswer | Later:
    """Puts the content of the body at a path."""
    return _write(context, _read_write(context, request, 'put'))


@operator_routes.register('DELETE /settings')
def remove_settings(
    context: Context,
    request: HttpRequest,
) -> HttpAnswer | Later:
    """Removes what stands at a path."""
    return _write(context, _read_write(context, request, 'remove'))


@operator_routes.register('POST /roll-forward')
def roll_forward(context: Context, request: HttpRequest) -> HttpAnswer | Later:
    """Puts what version `to` held at a path, as a new version."""
    read = _read_write(context, request, 'roll-forward')
    source = request.number('to')
    if isinstance(read, Refused):
        return answer_refusal(read)
    if source is None:
        return answer_refusal(_bad_call('the query lacks to=VERSION'))
    return _write(context, Done(evolve(read.content, source_version=source)))


@operator_routes.register('POST /check')
def check_settings(context: Context, request: HttpRequest) -> HttpAnswer:
    """Tells what a put would change in what is in force; writes nothing."""
    read = _read_write(context, request, 'put')
    if isinstance(read, Refused):
        return answer_refusal(read)
    snapshot = context.snapshots.snapshot
    wanted = evolve(read.content, expected_version=snapshot.version)
    plan = plan_write(
        SettingsRecord(snapshot.version, snapshot.tree), wanted, 0.0
    )
    if isinstance(plan, Refused):
        return answer_refusal(plan)
    planned: WritePlan = plan.content
    return answer_done(
        ResultCode.DONE,
        version=snapshot.version,
        changes=_bare_differences(planned.changed),
    )


@operator_routes.register('GET /history')
def show_history(context: Context, request: HttpRequest) -> HttpAnswer | Later:
    """Lists who changed what, newest first."""
    path = parse_path(request.rest)

    def reply_history(record: SettingsRecord) -> HttpAnswer:
        entries = [
            _bare_entry(record, entry)
            for entry in record.history
            if parse_path(entry.path).overlaps(path)
        ]
        return answer_done(
            ResultCode.DONE,
            version=record.version,
            history=entries,
        )

    return _with_record(context, reply_history)


@operator_routes.register('GET /diff')
def show_difference(
    context: Context,
    request: HttpRequest,
) -> HttpAnswer | Later:
    """Lists what differs between two versions of the history."""
    first, second = request.number('from'), request.number('to')
    if first is None or second is None:
        return answer_refusal(_bad_call('the query lacks from= or to='))

    def reply_difference(record: SettingsRecord) -> HttpAnswer:
        for version in (first, second):
            if not record.can_restore(version):
                detail = f'version {version} is not in the history'
                gone = Refused(ResultCode.VERSION_GONE, '/', detail)
                return answer_refusal(gone)
        changed = tuple(
            differences(
                record.unstructured_at(first), record.unstructured_at(second)
            ),
        )
        return answer_done(
            ResultCode.DONE,
            version=record.version,
            changes=_bare_differences(changed),
        )

    return _with_record(context, reply_difference)


def writer_of(context: Context) -> SettingsWriter | None:
    """Returns a writer, unless the process knows no platform."""
    if not context.settings.platform:
        return None
    return SettingsWriter(context.store, context.distribution)


def no_platform() -> HttpAnswer:
    """Returns the answer of a process that knows no platform."""
    detail = 'the settings of this process name no platform'
    return answer_refusal(NotRun(ResultCode.PLATFORM_DOWN, detail))


def _with_record(
    context: Context,
    make_answer: Callable[[SettingsRecord], HttpAnswer],
) -> HttpAnswer | Later:
    writer = writer_of(context)
    if writer is None:
        return no_platform()

    def start(responder: Responder) -> None:
        writer.read_record(
            lambda outcome: responder.reply(
                make_answer(outcome.content)
                if isinstance(outcome, Done)
                else answer_refusal(outcome),
            ),
        )

    return Later(start)


def _write(context: Context, read: Done | Refused) -> HttpAnswer | Later:
    if isinstance(read, Refused):
        return answer_refusal(read)
    writer = writer_of(context)
    if writer is None:
        return no_platform()
    return Later(
        lambda responder: writer.write(
            read.content,
            lambda outcome: responder.reply(_answer_write(outcome)),
        ),
    )


def _answer_write(outcome: Outcome) -> HttpAnswer:
    if not isinstance(outcome, Done):
        return answer_refusal(outcome)
    written: WriteResult = outcome.content
    return answer_done(
        outcome.code,
        version=written.version,
        paths=list(written.paths)[:_DIFFERENCES_MAX],
    )


def _read_write(
    context: Context,
    request: HttpRequest,
    kind: str,
) -> Done | Refused:
    """Reads token, condition, write id and body; `Done` has the write."""
    header = request.headers.get('authorization', '')
    token = header.removeprefix(_BEARER).strip()
    author = authenticate(token, context.settings.tokens)
    if isinstance(author, Refused):
        return author
    version = read_number(request.headers.get('if-match', '').strip('"'))
    write_id = request.headers.get('idempotency-key', '')
    if version is None:
        return _bad_call('the header If-Match lacks the version')
    if not 0 < len(write_id) <= _WRITE_ID_MAX:
        return _bad_call('the header Idempotency-Key lacks the write id')
    body = Done()
    if kind == 'put':
        body = parse_strict(request.body)
    if isinstance(body, Refused):
        return body
    return Done(
        WriteRequest(
            parse_path(request.rest),
            version,
            f'{author.content.name}/{write_id}',
            author.content,
            kind,
            body.content,
        ),
    )


def _bad_call(detail: str) -> Refused:
    return Refused(ResultCode.BAD_CALL, '/', detail)


def _bare_entry(record: SettingsRecord, entry: HistoryEntry) -> dict[str, Any]:
    return {
        'version': entry.version,
        'author': entry.author,
        'changed_at_s': entry.changed_at_s,
        'path': entry.path,
        'changed': [step.path for step in entry.undo][:_DIFFERENCES_MAX],
        'can_roll_forward': record.can_restore(entry.version),
    }


def _bare_differences(changed: tuple[Difference, ...]) -> list[dict[str, Any]]:
    """Returns differences for JSON; a side that lacks the place is left."""
    listed = []
    for difference in changed[:_DIFFERENCES_MAX]:
        bare = {'path': str(difference.path)}
        if difference.before is not ABSENT:
            bare['before'] = difference.before
        if difference.after is not ABSENT:
            bare['after'] = difference.after
        listed.append(bare)
    return listed
