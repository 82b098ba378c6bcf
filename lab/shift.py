"""Runs callers against a running deployment and prints what became of it."""

import json
import sys
from collections import Counter
from http.client import HTTPConnection
from random import Random
from time import monotonic, sleep
from typing import Any

from absl import app, flags
from attrs import define, field
from circuits import Component
from circuits.core.pollers import EPoll
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.caller.answer import Answer
from cumindrift.caller.client import Client
from cumindrift.caller.session import make_request
from cumindrift.document import unstructure
from cumindrift.outcome import Done, NotRun, Outcome
from cumindrift.ticker import Ticker
from lab.layout import (
    BALANCER_COUNT,
    FABRIC,
    SERVICES,
    balancer_ip,
    target_places,
    tree,
)

_SECONDS = flags.DEFINE_float('seconds', 20.0, 'How long callers go on.')
_FLOWS = flags.DEFINE_integer('flows', 60, 'Flows that are kept open.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the callers.')

TICK_PERIOD_S = 0.05
HTTP_OK = 200
REQUEST_PERIOD_S = 0.5
REQUEST_WITHIN_S = 5.0
DOWNLOAD_BYTES = 400_000
HTTP_TIMEOUT_S = 5.0
START_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.1


def call_admin(ip: str, method: str, path: str, bare: Any = None) -> Any:
    """Calls an administration page and returns its JSON."""
    connection = HTTPConnection(ip, 7200, timeout=HTTP_TIMEOUT_S)
    connection.request(method, path, json.dumps(bare) if bare else None)
    return json.loads(connection.getresponse().read())


def wait_until_up(member_count: int) -> None:
    """Waits until every balancer sees all members; raises TimeoutError."""
    deadline_s = monotonic() + START_TIMEOUT_S
    for number in range(1, BALANCER_COUNT + 1):
        while not _sees(balancer_ip(number), member_count):
            if monotonic() > deadline_s:
                raise TimeoutError(f'balancer-{number} sees too few members')
            sleep(POLL_PERIOD_S)


def _sees(ip: str, member_count: int) -> bool:
    try:
        return call_admin(ip, 'GET', '/ready')['members'] >= member_count
    except OSError:
        return False


@define(slots=True, eq=False)
class CallerFlow:
    """One caller with a long flow and one request at a time."""

    client: Client
    service: str
    next_s: float
    expected: dict[bytes, bytes | None] = field(factory=dict)


class Shift(Component):
    """Keeps flows open and requests running; the root of this program."""

    def __init__(self) -> None:
        """Opens nothing yet."""
        super().__init__()
        self._random = Random(_SEED.value)
        self._flows: list[CallerFlow] = []
        self._start_s = monotonic()
        self.counts: Counter[str] = Counter()
        self.run_ids: set[str] = set()
        Ticker('shift', TICK_PERIOD_S, self._tick).register(self)

    def _tick(self) -> None:
        now_s = monotonic()
        if now_s > self._start_s + _SECONDS.value:
            if all(not flow.expected for flow in self._flows):
                self.stop()
            return
        if len(self._flows) < _FLOWS.value:
            self._open(now_s)
        for flow in self._flows:
            if now_s >= flow.next_s and not flow.expected:
                flow.next_s = now_s + REQUEST_PERIOD_S
                self._request(flow)

    def _open(self, now_s: float) -> None:
        service = self._random.choice(sorted(SERVICES))
        flow_box: list[CallerFlow] = []
        client = Client(
            Endpoint('127.0.4.1', 0),
            FABRIC,
            SERVICES[service],
            lambda request_id, outcome: self._note(
                flow_box[0],
                request_id,
                outcome,
            ),
        )
        flow = CallerFlow(client, service, now_s)
        flow_box.append(flow)
        client.register(self)
        self._flows.append(flow)
        self.counts['flows opened'] += 1

    def _request(self, flow: CallerFlow) -> None:
        if flow.service == 'asiakirja':
            path = f'/download?bytes={DOWNLOAD_BYTES}'
            request = make_request(
                self._random, 'GET', path, is_idempotent=True
            )
            expected = (bytes(range(256)) * 2000)[:DOWNLOAD_BYTES]
        else:
            body = self._random.randbytes(40).hex().encode()
            request = make_request(self._random, 'POST', '/claims', body)
            expected = body
        flow.expected[request.request_id] = expected
        self.run_ids.add(request.request_id.hex())
        flow.client.request(request, REQUEST_WITHIN_S)

    def _note(
        self,
        flow: CallerFlow,
        request_id: bytes,
        outcome: Outcome,
    ) -> None:
        expected = flow.expected.pop(request_id)
        if isinstance(outcome, Done):
            answer: Answer = outcome.content
            if answer.body == expected:
                self.counts['requests done'] += 1
            elif answer.status == HTTP_OK:
                self.counts['answers mixed'] += 1
            else:
                self.counts[f'status {answer.status}'] += 1
        elif isinstance(outcome, NotRun):
            self.counts[f'not run: {outcome.code.name}'] += 1
        else:
            self.counts[f'unknown: {outcome.code.name}'] += 1


def count_run_twice() -> int:
    """Asks every target which ids it ran more than once."""
    runs: Counter[str] = Counter()
    for place in target_places():
        connection = HTTPConnection(place.ip, 8080, timeout=HTTP_TIMEOUT_S)
        connection.request('GET', '/runs')
        runs.update(json.loads(connection.getresponse().read()))
    return sum(1 for count in runs.values() if count > 1)


def _run(_arguments: list[str]) -> int:
    wait_until_up(BALANCER_COUNT + len(target_places()))
    call_admin(balancer_ip(1), 'PUT', '/settings', unstructure(tree()))
    shift = Shift()
    EPoll().register(shift)
    shift.run()
    shift.counts['requests run twice'] = count_run_twice()
    sys.stdout.write(f'{tabulate(sorted(shift.counts.items()))}\n')
    return 0


if __name__ == '__main__':
    app.run(_run)
