"""Store stand-in: the users' object store, with injected faults."""

import json
from collections import deque
from collections.abc import Callable
from itertools import islice
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.administration.routing import (
    DeferredResponse,
    HttpRequest,
    HttpResponse,
)
from cumindrift.registry import Registry
from standin.store_past import StorePast, StoreState

PAGE_ITEMS_MAX = 500
HISTORY_EVENTS_MAX = 4096
STATUS_OK, STATUS_CREATED = 200, 201
STATUS_NOT_FOUND, STATUS_CONFLICT, STATUS_GONE = 404, 409, 410
STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE = 429, 503
_MS_PER_S = 1000
_OBJECT_PATH_SEGMENTS = 4

Reply = Callable[[HttpResponse], None]
store_routes: Registry[Any] = Registry('store route')
# Fault modes by name; each returns True if it has handled the call.
store_modes: Registry[Callable[..., bool]] = Registry('store mode')


@define(slots=True, eq=False, repr=False)
class Watch:
    """An open watch for changes to objects of one kind."""

    kind: str
    revision: int
    until_s: float
    reply: Reply


@define(slots=True, eq=False, repr=False)
class StoreModel:
    """Objects of all kinds under one revision counter; time is passed in.

    `mode` selects the fault: well (none), down, busy, slow or lossy. What may
    be stale is `stale_s` old.
    """

    clock: Callable[[], float]
    random: Random
    mode: str = 'well'
    stale_s: float = 0.0
    revision: int = 1
    call_count: int = 0
    objects: dict[str, dict[str, dict[str, Any]]] = field(factory=dict)
    _watches: list[Watch] = field(factory=list)
    _history: deque[tuple[int, str, dict[str, Any]]] = field(
        factory=lambda: deque(maxlen=HISTORY_EVENTS_MAX),
    )
    _compacted_revision: int = 0
    # The revision of the last change of each kind.
    _last_revisions: dict[str, int] = field(factory=dict)
    _past: StorePast = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Records the empty store."""
        self._past = StorePast(self.clock)
        self._past.record(self.revision, self.objects)

    def serve(self, request: HttpRequest) -> HttpResponse | DeferredResponse:
        """Answers one call according to the current mode."""
        self.call_count += 1

        def start(responder: Any) -> None:
            if not store_modes.get(self.mode)(self, request, responder):
                self.answer(request, responder.reply)

        return DeferredResponse(start)

    def answer(self, request: HttpRequest, reply: Reply) -> None:
        """Executes a call and answers it, or adds its watch."""
        parts = request.path.strip('/').split('/')
        kind = parts[2] if len(parts) > 2 else ''
        name = parts[3] if len(parts) == _OBJECT_PATH_SEGMENTS else ''
        revision = request.query_number('watch')
        if request.method == 'GET' and revision is not None:
            self._watch(request, kind, revision, reply)
        elif request.method == 'GET':
            reply(self._read(request, kind, name))
        elif request.method == 'DELETE':
            reply(self._remove(request, kind, name))
        else:
            reply(self._write(request, kind, name))

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object on behalf of an operator; returns the revision."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found['spec'] == spec:
            return self.revision
        self.revision += 1
        created = found['meta']['create_rev'] if found else self.revision
        meta = {'name': name, 'revision': self.revision, 'create_rev': created}
        stored = {'meta': meta, 'spec': spec}
        self.objects[kind][name] = stored
        self._publish(kind, {'object': stored, 'removed': False})
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object on behalf of an operator."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._publish(kind, {'object': stored, 'removed': True})

    def compact(self) -> None:
        """Discards the change history and ends all open watches with 410."""
        self._compacted_revision = self.revision
        self._history.clear()
        for watch in self._watches:
            watch.reply(HttpResponse.of_json(STATUS_GONE, {}))
        self._watches.clear()

    def tick(self) -> None:
        """Answers watches that have expired or missed a change.

        Changes made in another mode than `well` are reported when it ends.
        """
        now_s = self.clock()
        for watch in list(self._watches):
            is_behind = watch.revision < self._last_revisions.get(watch.kind, 0)
            if now_s >= watch.until_s or (is_behind and self.mode == 'well'):
                self._watches.remove(watch)
                watch.reply(self._events_after(watch.kind, watch.revision))

    def _publish(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        self._last_revisions[kind] = self.revision
        self._past.record(self.revision, self.objects)
        for watch in list(self._watches):
            if watch.kind == kind and self.mode == 'well':
                self._watches.remove(watch)
                watch.reply(self._events_after(kind, watch.revision))

    def _events_after(
        self, kind: str, revision: int, until_revision: int | None = None
    ) -> HttpResponse:
        as_of = self.revision if until_revision is None else until_revision
        events = [
            event
            for at, of_kind, event in self._history
            if revision < at <= as_of and of_kind == kind
        ]
        body = {'events': events, 'as_of': as_of}
        return HttpResponse.of_json(STATUS_OK, body)

    def _watch(
        self,
        request: HttpRequest,
        kind: str,
        revision: int,
        reply: Reply,
    ) -> None:
        if revision < self._compacted_revision:
            reply(HttpResponse.of_json(STATUS_GONE, {}))
            return
        until_revision = self._state_for(request).revision
        found = self._events_after(kind, revision, until_revision)
        wait_s = (request.query_number('wait_ms') or 0) / _MS_PER_S
        if json.loads(found.body)['events'] or not wait_s:
            reply(found)
            return
        watch = Watch(kind, revision, self.clock() + wait_s, reply)
        self._watches.append(watch)

    def _read(self, request: HttpRequest, kind: str, name: str) -> HttpResponse:
        state = self._state_for(request)
        objects = state.objects.get(kind, {})
        if name:
            found = objects.get(name)
            if found is None:
                return HttpResponse.of_json(STATUS_NOT_FOUND, {})
            return HttpResponse.of_json(STATUS_OK, found)
        _, _, after = request.target.partition('after=')
        after = after.partition('&')[0]
        rest = [each for each in sorted(objects) if each > after]
        page = list(islice(rest, PAGE_ITEMS_MAX))
        body = {
            'items': [objects[each] for each in page],
            'has_more': len(page) < len(rest),
            'as_of': state.revision,
        }
        return HttpResponse.of_json(STATUS_OK, body)

    def _state_for(self, request: HttpRequest) -> StoreState:
        """Returns the state that a call reads, which may be stale."""
        if self.stale_s and request.query_number('serializable'):
            return self._past.state_before(self.stale_s)
        return StoreState(self.clock(), self.revision, self.objects)

    def _write(
        self, request: HttpRequest, kind: str, name: str
    ) -> HttpResponse:
        body = json.loads(request.body)
        meta = body.get('meta', {})
        name = name or str(meta.get('name'))
        found = self.objects.get(kind, {}).get(name)
        if request.method == 'POST' and found is not None:
            return HttpResponse.of_json(STATUS_CONFLICT, found)
        if request.method == 'PUT':
            if found is None:
                return HttpResponse.of_json(STATUS_NOT_FOUND, {})
            wanted = meta.get('revision')
            if wanted and wanted != found['meta']['revision']:
                return HttpResponse.of_json(STATUS_CONFLICT, found)
        self.put(kind, name, body.get('spec'))
        return HttpResponse.of_json(STATUS_OK, self.objects[kind][name])

    def _remove(
        self, request: HttpRequest, kind: str, name: str
    ) -> HttpResponse:
        found = self.objects.get(kind, {}).get(name)
        if found is None:
            return HttpResponse.of_json(STATUS_NOT_FOUND, {})
        wanted = request.query_number('revision')
        if wanted and wanted != found['meta']['revision']:
            return HttpResponse.of_json(STATUS_CONFLICT, found)
        self.remove(kind, name)
        return HttpResponse.of_json(STATUS_OK, {})


@store_modes.register('well')
def answer_normally(
    model: StoreModel, request: HttpRequest, responder: Any
) -> bool:
    """Leaves the call to the model."""
    return False


@store_modes.register('down')
def never_answer(
    model: StoreModel, request: HttpRequest, responder: Any
) -> bool:
    """Sends no answer."""
    return True


@store_modes.register('busy')
def refuse_call(
    model: StoreModel, request: HttpRequest, responder: Any
) -> bool:
    """Refuses every call with 429 or 503 and does not execute it."""
    is_limit = model.random.random() < 1 / 2
    status = STATUS_TOO_MANY_REQUESTS if is_limit else STATUS_UNAVAILABLE
    responder.reply(HttpResponse.of_json(status, {}))
    return True


@store_modes.register('slow')
def delay_answer(
    model: StoreModel, request: HttpRequest, responder: Any
) -> bool:
    """Answers after 0.3 to 1.2 s."""
    responder.call_after(
        model.random.uniform(0.3, 1.2),
        lambda: model.answer(request, responder.reply),
    )
    return True


@store_modes.register('lossy')
def lose_answers(
    model: StoreModel, request: HttpRequest, responder: Any
) -> bool:
    """Executes half of the writes without an answer, some of them late."""
    if request.method == 'GET' or model.random.random() > 1 / 2:
        return False
    delay_s = model.random.choice((0.01, 1.5))
    responder.call_after(
        delay_s, lambda: model.answer(request, _discard_response)
    )
    return True


def _discard_response(_answer: HttpResponse) -> None:
    """Discards an answer, as if it were lost."""


@store_routes.register('GET /cumindrift')
@store_routes.register('POST /cumindrift')
@store_routes.register('PUT /cumindrift')
@store_routes.register('DELETE /cumindrift')
def serve_call(
    context: Any, request: HttpRequest
) -> HttpResponse | DeferredResponse:
    """Serves a call from the model in the context's `store`."""
    return context.store.serve(request)
