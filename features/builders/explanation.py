"""Builds explanations of placements, by the page and by the tool."""

import json
from types import SimpleNamespace
from typing import Any

from attrs import asdict, define

from cumindrift.address import Endpoint
from cumindrift.administration.routing import HttpRequest, HttpResponse
from cumindrift.fleet.manifest import Manifest, WeightedService
from cumindrift.steering.balancer.page import page_routes
from cumindrift.tool.client import ApiCall, ApiClient
from cumindrift.tool.command import CommandResult, run_command
from cumindrift.tool.session import Options, Session
from features.builders.core import BalancerBench
from features.builders.node import SERVICE_ADDRESS

CLIENT = '100.64.0.7:40001'
NODE = Endpoint('10.1.0.10', 9102)
QUERY = f'client={CLIENT}&address={SERVICE_ADDRESS}'


@define(slots=True, eq=False)
class ExplainBench:
    """A balancer whose page of placements is read."""

    balancer: BalancerBench

    def ask(self, query: str = QUERY) -> HttpResponse:
        """Returns the page's response."""
        node = SimpleNamespace(
            core=self.balancer.core,
            clock=lambda: self.balancer.now_s,
            settings=SimpleNamespace(name='front-1'),
        )
        request = HttpRequest('GET', f'/placement?{query}', {})
        return page_routes.get(request.route_name)(node, request)

    def explain(self, query: str = QUERY) -> dict[str, Any]:
        """Returns the content of the page."""
        return json.loads(self.ask(query).body)

    def run(self, line: str, **options: object) -> CommandResult:
        """Runs a command of the tool, whose node is this balancer."""
        client = ApiClient((), self._send)
        return run_command(Session(client, Options(**options)), line.split())

    def _send(self, endpoint: Endpoint, call: ApiCall) -> bytes:
        if endpoint != NODE:
            raise ConnectionRefusedError('refused')
        return self.ask(call.target.partition('?')[2]).body


def state_of(bench: BalancerBench) -> dict[str, Any]:
    """Returns everything that a SYN would change at a balancer."""
    core = bench.core
    kept = {
        'load': core.agent_monitor.loads,
        'queue': core.placer.queues,
        'waiting': core.placer.waiting,
        'hint': core.state.hints.hints,
    }
    found = {
        f'{kind} {key!r}': asdict(each)
        for kind, table in kept.items()
        for key, each in table.items()
    }
    found['output'] = asdict(bench.output)
    found['random'] = core.random.getstate()
    found['lines'] = len(bench.events._queue)
    return found


def put_weights(bench: BalancerBench, weights: dict[str, float]) -> None:
    """Puts a manifest that shares the address between services."""
    shares = tuple(WeightedService(*pair) for pair in weights.items())
    version = bench.directory.manifest.version + 1
    manifest = Manifest(version, {SERVICE_ADDRESS: shares})
    bench.directory.apply_manifest(manifest, version)
