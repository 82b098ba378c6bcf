"""The platform's metadata store: objects, conditions and watches."""

import json
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Condition, Thread
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ANSWER_S = 0.004
_OK, _ABSENT, _CONFLICT = 200, 404, 409


class Store:
    """Keeps objects under one revision counter; loses nothing."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Serves at an address."""
        self.objects: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            """Passes calls to the store."""

            protocol_version = 'HTTP/1.1'

            def _serve(self) -> None:
                length = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(length) or b'{}')
                status, answer = store.call(self.command, self.path, body)
                octets = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(octets)))
                try:
                    self.end_headers()
                    self.wfile.write(octets)
                except OSError:
                    # The caller has ended.
                    self.close_connection = True

            do_GET = do_PUT = do_POST = do_DELETE = _serve  # noqa: N815

            def log_message(self, *_details: Any) -> None:
                """Writes nothing."""

        self._server = ThreadingHTTPServer(address, Handler)
        self._server.daemon_threads = True
        Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object as the administrator."""
        with self._changed:
            self._store(kind, name, spec)

    def call(
        self, method: str, path: str, body: dict[str, Any]
    ) -> tuple[int, Any]:
        """Carries a call out; returns status and answer."""
        split = urlsplit(path)
        parts = [unquote(part) for part in split.path.strip('/').split('/')]
        query = {key: each[0] for key, each in parse_qs(split.query).items()}
        kind, name = parts[2], (parts[3] if len(parts) > 3 else '')
        with self._changed:
            self._changed.wait_for(lambda: False, ANSWER_S)
            if method == 'GET':
                return self._read(kind, name, query)
            return self._write(method, kind, name, query, body)

    def _read(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        found = self.objects.get(kind, {})
        if 'watch' in query:
            return self._watch(kind, query)
        if name:
            item = found.get(name)
            return (_OK, item) if item else (_ABSENT, {})
        after = query.get('after', '')
        items = [found[each] for each in sorted(found) if each > after]
        answer = {'items': items, 'has_more': False, 'as_of': self.revision}
        return _OK, answer

    def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query['watch'])
        until_s = monotonic() + int(query.get('wait_ms', 0)) / 1000

        def events() -> list[dict[str, Any]]:
            return [
                event
                for revision, of_kind, event in self._events
                if revision > since and of_kind == kind
            ]

        while not events() and monotonic() < until_s:
            self._changed.wait(until_s - monotonic())
        return _OK, {'events': events(), 'as_of': self.revision}

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        query: dict[str, str],
        body: dict[str, Any],
    ) -> tuple[int, Any]:
        meta = body.get('meta', {})
        name = name or meta['name']
        found = self.objects.get(kind, {}).get(name)
        wanted = int(query.get('revision') or meta.get('revision') or 0)
        if method == 'POST':
            if found is not None:
                return _CONFLICT, found
        elif found is None:
            return _ABSENT, {}
        elif wanted and wanted != found['meta']['revision']:
            return _CONFLICT, found
        if method == 'DELETE':
            self.objects[kind].pop(name)
            self._publish(kind, {'object': found, 'removed': True})
            return _OK, {}
        return _OK, self._store(kind, name, body.get('spec'))

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found['spec'] == spec:
            return found
        created = found['meta']['create_rev'] if found else self.revision + 1
        meta = {
            'name': name,
            'revision': self.revision + 1,
            'create_rev': created,
            'finalizers': [],
            'deleting': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': {}}
        self.objects[kind][name] = stored
        self._publish(kind, {'object': stored, 'removed': False})
        return stored

    def _publish(self, kind: str, event: dict[str, Any]) -> None:
        self.revision += 1
        self._events.append((self.revision, kind, event))
        self._changed.notify_all()
