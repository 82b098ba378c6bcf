"""Balancers read store objects from each other while the store is down."""

import json
from typing import Any

from cumindrift.address import Endpoint
from cumindrift.exchange import (
    HttpClientRequest,
    HttpClientResponse,
    HttpExchange,
)
from cumindrift.fleet.call import StoreItem
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.settings import METRICS_PORT
from cumindrift.lenient_json import parse_json
from cumindrift.platform.documents import PARSE_ERRORS, check_number
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker

BELIEFS_PATH = '/beliefs'
TICK_PERIOD_S = 0.3
CALL_TIMEOUT_S = 1.0
STATUS_OK = 200


def encode_known_objects(context: NodeContext) -> bytes:
    """Returns all store objects that this balancer watches, as JSON."""
    raw = {
        kind: {
            'as_of': watcher.version.as_of,
            'objects': [
                [item.name, item.revision, item.content]
                for item in watcher.objects.values()
            ],
        }
        for kind, watcher in context.watchers.items()
    }
    return json.dumps(raw).encode()


def adopt_known_objects(context: NodeContext, octets: bytes) -> list[str]:
    """Takes over the kinds that a peer knows at a newer revision.

    Returns these kinds. Raises one of PARSE_ERRORS for a malformed response.
    """
    raw: dict[str, Any] = parse_json(octets)
    adopted = []
    for kind, watcher in context.watchers.items():
        objects = {
            name: StoreItem(name, check_number(revision, name), content)
            for name, revision, content in raw[kind]['objects']
        }
        as_of = check_number(int(raw[kind]['as_of']), 'as_of')
        if watcher.adopt(objects, as_of, context.clock()):
            adopted.append(kind)
    return adopted


class PeerReader(Child):
    """Reads from peers while the store is unreachable and data is missing.

    So a balancer that starts during an outage can serve, and one that the
    store rejects still gets a manifest that others have.
    """

    def __init__(self, context: NodeContext) -> None:
        """Registers a ticker for `read_due`."""
        super().__init__(channel='peer-reader')
        self._context = context
        self._exchange: HttpExchange | None = None
        self._until_s = 0.0
        Ticker('peer-reader', TICK_PERIOD_S, self.read_due).register(self)

    def release(self) -> None:
        """Aborts the running request."""
        self._abort()

    def read_due(self) -> None:
        """Reads from one random peer if data is missing."""
        now_s = self._context.clock()
        if self._exchange is not None:
            if now_s < self._until_s:
                return
            self._abort()
        peers = self._peers()
        if self._context.needs_peers and peers:
            self._read(self._context.random.choice(peers), now_s)

    def _peers(self) -> list[str]:
        settings = self._context.settings
        return [ip for ip in settings.seeds if ip != settings.ip]

    def _read(self, ip: str, now_s: float) -> None:
        def on_end(answer: HttpClientResponse | None, _was_sent: bool) -> None:
            self._exchange = None
            if answer is not None and answer.status == STATUS_OK:
                self._adopt(ip, answer.body)

        self._until_s = now_s + CALL_TIMEOUT_S
        self._exchange = HttpExchange(
            f'beliefs-{ip}-{now_s}',
            Endpoint(ip, METRICS_PORT),
            HttpClientRequest('GET', BELIEFS_PATH),
            on_end,
        )
        self._exchange.register(self)
        self._exchange.start()

    def _adopt(self, ip: str, octets: bytes) -> None:
        events = self._context.events
        try:
            adopted = adopt_known_objects(self._context, octets)
        except PARSE_ERRORS as error:
            events.note('beliefs-unreadable', peer=ip, detail=repr(error))
            return
        events.note_urgently('beliefs-adopted', peer=ip, kinds=adopted)

    def _abort(self) -> None:
        if self._exchange is not None:
            self._exchange.abort()
            self._exchange = None
