"""Measures the load imbalance of the placement policies.

Long flows open and close at random, placed by the agents' own flow opener.
Load is relative to a target's speed; a row gives the highest load over the
mean load, averaged over samples of the second half of the run.
"""

import sys
from random import Random

from absl import app, flags
from attrs import define, field
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member
from cumindrift.membership.view import ServiceName, View
from cumindrift.traffic.action import Refuse, SendMessage
from cumindrift.traffic.candidates import candidate_of, candidates_in
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.message import FlowRoute, LoadReport, OpenSearch
from cumindrift.traffic.placement import policies

_CONNECTIONS = flags.DEFINE_integer(
    'connections',
    2000,
    'Flow capacity of a target of speed 1.',
)
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the flows.')
_OPENS = flags.DEFINE_integer('opens_each', 4000, 'Opens for each target.')

SERVICE_NAME = ServiceName('todistajat', 'kaynti')
SPEEDS = (1, 1, 2, 3)
CASES = ((7, 0.5), (7, 0.85), (100, 0.5))
DATA_CENTRES = ('hel-a', 'esp-b', 'van-c')
SAMPLE_COUNT = 50
_PPM = 1_000_000


@define(slots=True, eq=False)
class TargetPool:
    """Targets of different speeds, each behind its agent's finder."""

    target_count: int
    policy: str
    random: Random
    connections: int
    view: View = field(init=False)
    capacities: dict[Endpoint, int] = field(factory=dict)
    finders: dict[Endpoint, FlowFinder] = field(factory=dict)
    refused_count: int = 0
    flow_number: int = 0
    open_flows: list[tuple[Endpoint, bytes]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Builds the members, their view and their finders."""
        members = [
            Member(
                f'kaynti-{number}',
                'agent',
                'fi-south',
                DATA_CENTRES[number % len(DATA_CENTRES)],
                Endpoint(f'127.0.2.{number + 1}', 7100),
                1,
                team=SERVICE_NAME.team,
                service=SERVICE_NAME.service,
            )
            for number in range(self.target_count)
        ]
        self.view = View(members)
        for number, member in enumerate(members):
            speed = SPEEDS[number % len(SPEEDS)]
            self._add(member, speed * self.connections)

    def churn(self, open_count: int, wanted_count: int) -> None:
        """Opens flows, closing one first when `wanted_count` are open."""
        for _ in range(open_count):
            if len(self.open_flows) >= wanted_count:
                self._close_one()
            self.open_flow()

    def open_flow(self) -> None:
        """Opens one flow, or counts its refusal."""
        self.flow_number += 1
        flow_key = self.flow_number.to_bytes(13)
        candidates = candidates_in(self.view, SERVICE_NAME, flow_key)
        route = FlowRoute(
            SERVICE_NAME.team,
            SERVICE_NAME.service,
            flow_key,
            self.view.service_version(SERVICE_NAME),
            candidates,
            candidates[0],
        )
        search = OpenSearch(route, 0, 0, False, (), b'', searched=True)
        self._route_open(candidates[0].endpoint(), search)

    def imbalance(self) -> float:
        """Returns the highest relative load over the mean."""
        loads = [
            len(self.finders[endpoint].table.held) / capacity
            for endpoint, capacity in self.capacities.items()
        ]
        return max(loads) * len(loads) / sum(loads)

    def _close_one(self) -> None:
        chosen = self.random.randrange(len(self.open_flows))
        endpoint, flow_key = self.open_flows[chosen]
        self.open_flows[chosen] = self.open_flows[-1]
        self.open_flows.pop()
        self.finders[endpoint].table.held.pop(flow_key)

    def _add(self, member: Member, capacity: int) -> None:
        def probe(flow_count: int) -> LoadReport:
            load = flow_count * _PPM // capacity
            can_take = flow_count < capacity
            return LoadReport(member.member_id, flow_count, load, can_take)

        me = candidate_of(member)
        policy = policies.get(self.policy)
        finder = FlowFinder(me, SERVICE_NAME, policy, probe, 1)
        finder.opener.random = self.random
        finder.on_view(self.view, 0)
        self.finders[member.endpoint] = finder
        self.capacities[member.endpoint] = capacity

    def _route_open(self, endpoint: Endpoint, search: OpenSearch) -> None:
        """Forwards an open between agents until one holds or refuses it."""
        flow_key = search.route.flow_key
        while True:
            finder = self.finders[endpoint]
            action = finder.opener.on_open(search, 0)[0]
            if flow_key in finder.table.held:
                finder.opener.discard(flow_key)
                finder.replicator.clear()
                self.open_flows.append((endpoint, flow_key))
                return
            if isinstance(action, Refuse):
                self.refused_count += 1
                return
            if not isinstance(action, SendMessage):
                raise TypeError(action)
            endpoint = action.endpoint
            search = action.message


def measure(
    case: tuple[int, float],
    policy: str,
    opens_each: int,
    connections: int,
    seed: int,
) -> tuple[str, str]:
    """Returns the mean imbalance and the refused share of one case."""
    target_count, load = case
    pool = TargetPool(target_count, policy, Random(seed), connections)
    wanted_count = int(sum(pool.capacities.values()) * load)
    for _ in range(wanted_count):
        pool.open_flow()
    samples = []
    period = opens_each * target_count // SAMPLE_COUNT
    for _ in range(SAMPLE_COUNT):
        pool.churn(period, wanted_count)
        samples.append(pool.imbalance())
    late = samples[SAMPLE_COUNT // 2 :]
    refused = pool.refused_count / pool.flow_number
    return f'{sum(late) / len(late):.3f}', f'{refused:.2%}'


def measure_policy(name: str) -> list[str]:
    """Returns a policy's row: imbalance and refused share of each case."""
    row = [name]
    for case in CASES:
        row.extend(
            measure(
                case,
                name,
                _OPENS.value,
                _CONNECTIONS.value,
                _SEED.value,
            ),
        )
    return row


def _run(_arguments: list[str]) -> int:
    rows = [measure_policy(name) for name in policies.names()]
    headers = ['policy']
    for target_count, load in CASES:
        headers.extend((f'{target_count} at {load:.0%}', 'refused'))
    sys.stdout.write(f'{tabulate(rows, headers, disable_numparse=True)}\n')
    return 0


if __name__ == '__main__':
    app.run(_run)
