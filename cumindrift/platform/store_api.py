"""Encodes calls to the platform's store as HTTP/1.1 with JSON bodies."""

import json
from typing import Any
from urllib.parse import quote

from cumindrift.exchange import HttpClientRequest
from cumindrift.fleet.call import (
    AnswerTag,
    CallVerb,
    StoreAnswer,
    StoreCall,
    StoreItem,
)
from cumindrift.lenient_json import parse_json
from cumindrift.platform.documents import (
    NUMBER_MAX,
    PARSE_ERRORS,
    check_number,
)

_PATH = '/cumindrift/objects'
_MS_PER_S = 1000
_METHODS = {
    CallVerb.CREATE: 'POST',
    CallVerb.REPLACE: 'PUT',
    CallVerb.REMOVE: 'DELETE',
}
_TAGS = {
    404: AnswerTag.ABSENT,
    409: AnswerTag.CONFLICT,
    410: AnswerTag.HISTORY_GONE,
    429: AnswerTag.BUSY,
    503: AnswerTag.BUSY,
}
_OK_MIN, _OK_END = 200, 300


def encode_call(call: StoreCall) -> HttpClientRequest:
    """Returns the HTTP request for a call."""
    path = f'{_PATH}/{quote(call.kind, safe="")}'
    if call.name and call.verb is not CallVerb.CREATE:
        path = f'{path}/{quote(call.name, safe="")}'
    query = '&'.join(_query_parameters(call))
    target = f'{path}?{query}' if query else path
    if call.verb not in {CallVerb.CREATE, CallVerb.REPLACE}:
        return HttpClientRequest(_METHODS.get(call.verb, 'GET'), target)
    meta: dict[str, Any] = {'name': call.name}
    if call.revision:
        meta['revision'] = call.revision
    body = json.dumps({'meta': meta, 'spec': call.content}).encode()
    headers = {'Content-Type': 'application/json'}
    return HttpClientRequest(_METHODS[call.verb], target, headers, body)


def decode_answer(status: int, body: bytes) -> StoreAnswer:
    """Decodes a response; MALFORMED if it cannot be parsed."""
    tag = _TAGS.get(status)
    if tag is None:
        is_ok = _OK_MIN <= status < _OK_END
        tag = AnswerTag.DONE if is_ok else AnswerTag.MALFORMED
    if tag not in {AnswerTag.DONE, AnswerTag.CONFLICT} or not body:
        return StoreAnswer(tag)
    try:
        return _parse_answer(tag, parse_json(body))
    except PARSE_ERRORS:
        return StoreAnswer(AnswerTag.MALFORMED)


def _query_parameters(call: StoreCall) -> list[str]:
    query = []
    if call.after:
        query.append(f'after={quote(call.after, safe="")}')
    if call.verb in {CallVerb.WATCH, CallVerb.CHANGES}:
        wait_ms = int(call.wait_s * _MS_PER_S)
        query.extend((f'watch={call.revision}', f'wait_ms={wait_ms}'))
    if call.verb is CallVerb.REMOVE and call.revision:
        query.append(f'revision={call.revision}')
    if call.may_be_stale:
        query.append('serializable=1')
    return query


def _parse_answer(tag: AnswerTag, raw: dict[str, Any]) -> StoreAnswer:
    listed = raw.get('items', [raw] if 'meta' in raw else [])
    read = [_parse_item(item, is_removed=False) for item in listed]
    read.extend(
        _parse_item(event['object'], is_removed=bool(event.get('removed')))
        for event in raw.get('events', [])
    )
    items = tuple(item for item in read if item is not None)
    return StoreAnswer(
        tag,
        items,
        check_number(int(raw.get('as_of', 0)), 'as_of'),
        bool(raw.get('has_more')),
        len(read) - len(items),
    )


def _parse_item(raw: Any, *, is_removed: bool) -> StoreItem | None:
    """Parses one object; None if its metadata is malformed."""
    if not isinstance(raw, dict) or not isinstance(raw.get('meta'), dict):
        return None
    meta = raw['meta']
    if not isinstance(meta.get('name'), str):
        return None
    revision = meta.get('revision')
    if not isinstance(revision, int) or not 0 <= revision <= NUMBER_MAX:
        revision = 0
    # An object that only waits for its finalizers counts as removed.
    is_removed = is_removed or bool(meta.get('deleting'))
    return StoreItem(meta['name'], revision, raw.get('spec'), is_removed)
