"""Builds an administration API on loopback with an in-memory store."""

import json
from threading import RLock
from time import monotonic
from typing import Any

from attrs import define, evolve, field
from circuits import Component
from circuits.core.events import generate_events, started
from circuits.core.pollers import Select

from cumindrift.address import Endpoint
from cumindrift.administration.http import HttpServer
from cumindrift.administration.supervisor import build_administration
from cumindrift.context import Context, make_context
from cumindrift.document import structure
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.view import View
from cumindrift.settings.process import ProcessSettings
from cumindrift.settings.token import make_token
from cumindrift.settings.tree import Snapshot
from features.builders.document import process_fields
from features.builders.settings import (
    FakePublisher,
    FaultyStore,
    WriterFixture,
)
from features.builders.socket import RawSocket

RESPONSE_TIMEOUT_S = 20.0
# After this many steps the server has read everything that was sent.
LATE_STEP_COUNT = 10
TOKENS = {
    holder: make_token(holder, bytes([number]) * 48)
    for number, holder in enumerate(('supervisors', 'todistajat', 'studio'))
}


def context_of(role: str) -> Context:
    """Returns the context of a process that listens on a free port."""
    fields = process_fields(
        role=role,
        admin='127.0.0.1:0',
        platform='127.0.0.1:1',
        target=None,
    )
    settings = structure(fields, ProcessSettings).content
    kept = tuple(entry for _, entry in TOKENS.values())
    return make_context(evolve(settings, tokens=kept))


@define(slots=True, eq=False)
class PuttingPublisher(FakePublisher):
    """Applies published snapshots in the process, as the real one does."""

    context: Any = None

    def publish(self, snapshot: Snapshot, on_replicated: Any) -> bool:
        """Applies the snapshot, then confirms."""
        self.context.snapshots.apply(snapshot)
        return FakePublisher.publish(self, snapshot, on_replicated)


@define(slots=True, eq=False)
class AdminBench:
    """A running administration API that tests call over sockets."""

    role: str = 'balancer'
    context: Context = field(init=False)
    bench: WriterFixture = field(factory=WriterFixture)
    root: Component = field(init=False)
    server: HttpServer = field(init=False)
    port: int = 0

    def __attrs_post_init__(self) -> None:
        """Starts with the tree of the settings builders as version 1."""
        self.context = context_of(self.role)
        self.context.store = self.store
        self.context.distribution = PuttingPublisher(context=self.context)
        self.context.snapshots.apply(self.bench.publisher.published[0])
        supervisor = build_administration(self.context)
        self.root = Component()
        Select().register(self.root)
        supervisor.register(self.root)
        self.root.fire(started(self.root), '*')
        self.server = supervisor.child('http')
        self._tick()
        self.port = self.server.bound_port

    @property
    def store(self) -> FaultyStore:
        """Returns the store behind the API."""
        return self.bench.store

    def call(
        self,
        method: str,
        target: str,
        holder: str = '',
        body: bytes = b'',
        *,
        is_late: bool = False,
        **headers: str,
    ) -> tuple[int, Any]:
        """Sends a request; returns the status and the JSON of the response."""
        lines = [f'{method} {target} HTTP/1.1', 'Host: test']
        lines.append(f'Content-Length: {len(body)}')
        if holder:
            lines.append(f'Authorization: Bearer {TOKENS[holder][0]}')
        lines.extend(
            f'{name.replace("_", "-")}: {content}'
            for name, content in headers.items()
        )
        head = '\r\n'.join(lines)
        octets = f'{head}\r\n\r\n'.encode() + body
        return self.exchange(octets, is_late=is_late)

    def exchange(
        self, octets: bytes, *, is_late: bool = False
    ) -> tuple[int, Any]:
        """Sends raw octets and returns the response.

        With `is_late` the server's clock jumps forward once all is sent.
        """
        raw = RawSocket(Endpoint('127.0.0.1', self.port), octets)
        end_s = monotonic() + RESPONSE_TIMEOUT_S
        step_count = 0
        while not raw.is_answered and monotonic() < end_s:
            raw.step()
            self._tick()
            step_count += 1
            if is_late and step_count > LATE_STEP_COUNT:
                self.server.clock = lambda: monotonic() + 3600
                self.server.expire_connections()
        raw.close()
        self._tick()
        head, _, answer = raw.received.partition(b'\r\n\r\n')
        is_json = b'application/json' in head
        return int(head.split()[1]), json.loads(answer) if is_json else answer

    def put(
        self,
        path: str,
        content: Any,
        holder: str = 'supervisors',
        write_id: str = 'w',
        *,
        is_late: bool = False,
    ) -> tuple[int, Any]:
        """Puts content at a path, based on version 1."""
        return self.call(
            'PUT',
            f'/settings{path}',
            holder,
            json.dumps(content).encode(),
            is_late=is_late,
            If_Match='1',
            Idempotency_Key=write_id,
        )

    def stop(self) -> None:
        """Closes the sockets."""
        self.server.release()
        self._tick()

    def _tick(self) -> None:
        for _ in range(4):
            self.root.fire(generate_events(RLock(), 0), '*')
            self.root.tick(0)


def target_member(
    number: int,
    data_centre: str,
    service: str = 'kaynti',
    state: MemberState = MemberState.SERVING,
    team: str = 'todistajat',
) -> Member:
    """Returns a target with a unique address."""
    return Member(
        name=f'{service}-{data_centre}-{number}',
        role='agent',
        region='fi-south',
        data_centre=data_centre,
        endpoint=Endpoint(f'127.0.2.{number}', 7100),
        incarnation=1,
        state=state,
        team=team,
        service=service,
    )


def view_of(counts: dict[str, int]) -> View:
    """Returns a view with targets of kaynti, counted by data centre."""
    members = [
        target_member(number * 10 + index, place)
        for index, place in enumerate(counts)
        for number in range(counts[place])
    ]
    return View(members)
