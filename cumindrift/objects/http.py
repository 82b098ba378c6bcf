"""Encodes object store calls as HTTP/1.1; see docs/design/PLATFORM.md."""

from collections.abc import Callable
from urllib.parse import quote

from cumindrift.exchange import HttpClientRequest, HttpClientResponse
from cumindrift.objects.call import AnswerKind, Call, CallAnswer, CallKind
from cumindrift.objects.store import ABSENT_VERSION, StoredObject
from cumindrift.registry import Registry

PATH_PREFIX = '/objects/'
WRITE_ID_HEADER = 'write-id'
ETAG_HEADER = 'etag'

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 412

encoders: Registry[Callable[[Call], HttpClientRequest]] = Registry(
    'call encoder'
)


def etag_of(version: int) -> str:
    """Returns the entity tag of a version."""
    return f'"{version}"'


def version_of(etag: str) -> int:
    """Returns the version in an entity tag; raises ValueError if malformed."""
    bare = etag.strip().removeprefix('"').removesuffix('"')
    if not bare.isdecimal():
        raise ValueError(f'no version in entity tag {etag!r}')
    return int(bare)


def encode_call(call: Call) -> HttpClientRequest:
    """Returns the HTTP request for a call."""
    return encoders.get(call.kind.name)(call)


def decode_answer(call: Call, answer: HttpClientResponse) -> CallAnswer:
    """Decodes a response; MALFORMED if it cannot be parsed."""
    if answer.status == STATUS_NOT_MODIFIED:
        return CallAnswer(AnswerKind.UNCHANGED)
    if answer.status == STATUS_NOT_FOUND:
        absent = StoredObject(call.key, ABSENT_VERSION, b'')
        return CallAnswer(AnswerKind.FOUND, absent)
    if answer.status not in {STATUS_OK, STATUS_CONFLICT}:
        return CallAnswer(AnswerKind.FAILED)
    try:
        version = version_of(answer.headers.get(ETAG_HEADER, ''))
    except ValueError:
        return CallAnswer(AnswerKind.MALFORMED)
    is_write = call.kind is CallKind.WRITE
    kind = AnswerKind.FOUND
    if answer.status == STATUS_CONFLICT:
        kind = AnswerKind.CONFLICT
    elif is_write:
        kind = AnswerKind.WRITTEN
    body = call.body if is_write else answer.body
    return CallAnswer(
        kind,
        StoredObject(call.key, version, body),
        answer.headers.get(WRITE_ID_HEADER, ''),
    )


@encoders.register('READ')
def encode_read(call: Call) -> HttpClientRequest:
    """Returns the request that reads an object."""
    return HttpClientRequest('GET', _path(call), {})


@encoders.register('WATCH')
def encode_watch(call: Call) -> HttpClientRequest:
    """Returns the request that waits for a newer version."""
    query = f'?newer_than={call.version}&wait_s={call.wait_s:g}'
    return HttpClientRequest('GET', _path(call) + query, {})


@encoders.register('WRITE')
def encode_write(call: Call) -> HttpClientRequest:
    """Returns the request that writes an object conditionally."""
    headers = {
        'if-match': etag_of(call.version),
        WRITE_ID_HEADER: call.write_id,
    }
    return HttpClientRequest('PUT', _path(call), headers, call.body)


def _path(call: Call) -> str:
    return f'{PATH_PREFIX}{quote(call.key)}'
