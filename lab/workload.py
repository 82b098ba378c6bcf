"""Callers of the demonstration, which send requests in long flows.

Flows of `asiakirja` carry long downloads, flows of `kaynti` short requests.
"""

from collections import Counter
from random import Random
from time import monotonic

from attrs import define, field
from circuits import Component

from cumindrift.address import Endpoint
from cumindrift.caller.client import Client
from cumindrift.caller.response import Response
from cumindrift.caller.session import make_request
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome
from lab.layout import CALLER_IP, FABRIC, SERVICES

REQUEST_PERIOD_S = 0.5
REQUEST_TIMEOUT_S = 8.0
DOWNLOAD_BYTES = 400_000
HTTP_OK = 200
# Outcomes that tell a caller that the flow itself is lost.
FLOW_LOST_CODES = frozenset(
    (
        ResultCode.NO_SUCH_FLOW,
        ResultCode.DATA_CENTRE_OUT,
        ResultCode.OTHER_INCARNATION,
        ResultCode.DEADLINE_PASSED,
    )
)
_PATTERN = bytes(range(256))


@define(slots=True, eq=False)
class CallerFlow:
    """A caller with one long flow and at most one request at a time.

    `expected` holds the right response body by request id.
    """

    client: Client
    service: str
    next_request_s: float
    expected: dict[bytes, bytes] = field(factory=dict)

    @property
    def agent(self) -> str:
        """The agent that holds the flow; empty until the flow is open."""
        return self.client.session.agent


@define(slots=True, eq=False)
class Workload:
    """Keeps a number of flows open and sends requests in each.

    The clients are registered on `root`. Flows that are refused or lost are
    counted and replaced by new ones.
    """

    root: Component
    random: Random
    flow_count: int
    flows: list[CallerFlow] = field(factory=list)
    counts: Counter = field(factory=Counter)
    # Agents of a data centre that is to be taken out: their flows are given
    # up as planned and don't count as broken.
    leaving_agents: set[str] = field(factory=set)

    def tick(self) -> None:
        """Opens a missing flow and sends the requests that are due."""
        now_s = monotonic()
        if len(self.flows) < self.flow_count:
            self._open(now_s)
        for flow in self.flows:
            if now_s >= flow.next_request_s and not flow.expected:
                flow.next_request_s = now_s + REQUEST_PERIOD_S
                self._request(flow)

    @property
    def is_idle(self) -> bool:
        """Whether no request is waiting for its outcome."""
        return all(not flow.expected for flow in self.flows)

    def _open(self, now_s: float) -> None:
        service = self.random.choice(sorted(SERVICES))
        client = Client(
            Endpoint(CALLER_IP, 0),
            FABRIC,
            SERVICES[service],
            lambda request_id, outcome: self._on_outcome(
                flow, request_id, outcome
            ),
        )
        flow = CallerFlow(client, service, now_s)
        client.register(self.root)
        self.flows.append(flow)
        self.counts['flows opened'] += 1

    def _request(self, flow: CallerFlow) -> None:
        if flow.service == 'asiakirja':
            path = f'/download?bytes={DOWNLOAD_BYTES}'
            request = make_request(
                self.random,
                'GET',
                path,
                is_idempotent=True,
            )
            repeats = DOWNLOAD_BYTES // len(_PATTERN) + 1
            body = (_PATTERN * repeats)[:DOWNLOAD_BYTES]
        else:
            body = self.random.randbytes(40).hex().encode()
            request = make_request(self.random, 'POST', '/claims', body)
        flow.expected[request.request_id] = body
        flow.client.request(request, REQUEST_TIMEOUT_S)

    def _on_outcome(
        self,
        flow: CallerFlow,
        request_id: bytes,
        outcome: Outcome,
    ) -> None:
        expected = flow.expected.pop(request_id)
        if isinstance(outcome, Done):
            self._count_response(outcome.content, expected)
        elif isinstance(outcome, NotRun):
            self.counts[f'requests not run: {outcome.code.name}'] += 1
        else:
            self.counts[f'requests unknown: {outcome.code.name}'] += 1
        if outcome.code in FLOW_LOST_CODES:
            self._replace(flow)

    def _count_response(self, response: Response, expected: bytes) -> None:
        if response.body == expected:
            self.counts['requests done'] += 1
        elif response.status == HTTP_OK:
            self.counts['answers mixed or cut'] += 1
        else:
            self.counts[f'requests answered {response.status}'] += 1

    def _replace(self, flow: CallerFlow) -> None:
        if flow not in self.flows:
            return
        self.flows.remove(flow)
        flow.client.finish()
        if flow.agent in self.leaving_agents:
            self.counts['flows given up'] += 1
        elif flow.agent:
            self.counts['flows broken'] += 1
        else:
            self.counts['flows refused'] += 1
