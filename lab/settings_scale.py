"""Measures settings writes at growing numbers of services.

Prints, for each number, the size of the stored object and the processor time
of each step of a write in a balancer. Compares the parsers of JSON with and
without comments on a quarter of the smallest tree.
"""

import json
import sys
from collections.abc import Callable
from random import Random
from time import process_time
from typing import Any

from absl import app, flags
from attrs import evolve
from json5 import loads
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.administration import check as _check
from cumindrift.administration.deployment import collect_deployment_state
from cumindrift.administration.handover import run_handover_checks
from cumindrift.membership.member import Member
from cumindrift.objects.store import VALUE_BYTES_MAX
from cumindrift.settings.edit import WriteRequest, plan_write
from cumindrift.settings.path import parse_path
from cumindrift.settings.record import (
    SettingsRecord,
    decode_record,
    encode_record,
    unstructure_tree,
)
from cumindrift.settings.token import Author
from cumindrift.settings.tree import DataCentre, Service, Snapshot, Team, Tree

# Importing the module registers its checks.
CHECK_MODULES = (_check,)

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the trees.')
_RUNS = flags.DEFINE_integer(
    'runs', 5, 'Runs of each step; the minimum counts.'
)

SIZES = (760, 1900, 3800, 7600)
SERVICES_EACH_TEAM = 20
DATA_CENTRES = ('north-1', 'north-2', 'south-1', 'south-2')
CHANGE_COUNT = 200
MS_PER_S = 1000


def make_tree(count: int, random: Random) -> Tree:
    """Returns a tree of `count` services in teams of twenty."""
    teams: dict[str, Team] = {}
    for number in range(count):
        team = f'team-{number // SERVICES_EACH_TEAM}'
        name = f'service-{number}'
        planned = {place: random.randint(0, 1) for place in DATA_CENTRES}
        service = Service(
            ip=f'10.{number // 65536}.{number // 256 % 256}.{number % 256}',
            port=700,
            endpoints=planned,
            peak_slots=random.randint(1, 4),
        )
        teams.setdefault(team, Team()).services[name] = service
    data_centres = {name: DataCentre(name[:5]) for name in DATA_CENTRES}
    return Tree(data_centres, teams)


def make_write_request(version: int, random: Random) -> WriteRequest:
    """Returns a request that writes one field of a random service."""
    number = random.randrange(SIZES[0])
    team = f'team-{number // SERVICES_EACH_TEAM}'
    path = f'/teams/{team}/services/service-{number}/port'
    return WriteRequest(
        parse_path(path),
        version,
        f'{team}/{random.randbytes(8).hex()}',
        Author(team),
        content=random.randrange(1000, 60000),
    )


def with_history(record: SettingsRecord, random: Random) -> SettingsRecord:
    """Returns the record with a full history of single-field changes."""
    first = plan_write(
        record, make_write_request(1, random), 0.0
    ).content.record
    entries = tuple(
        evolve(
            first.history[0],
            version=1 + CHANGE_COUNT - number,
            write_id=random.randbytes(12).hex(),
            changed_at_s=1700000000.0 + number,
        )
        for number in range(CHANGE_COUNT)
    )
    return evolve(first, version=1 + CHANGE_COUNT, history=entries)


def min_cpu_ms(call: Callable[[], Any]) -> float:
    """Returns the minimum processor time over all runs."""
    times_s = []
    for _ in range(_RUNS.value):
        start_s = process_time()
        call()
        times_s.append(process_time() - start_s)
    return min(times_s) * MS_PER_S


def targets_of(team: str, name: str, service: Service) -> list[Member]:
    """Returns the planned targets of a service."""
    return [
        Member(
            name=f'{name}-{place}',
            role='agent',
            region=place[:5],
            data_centre=place,
            endpoint=Endpoint('10.0.0.1', 7100),
            incarnation=1,
            team=team,
            service=name,
        )
        for place, planned in service.endpoints.items()
        if planned
    ]


def handover_ms(record: SettingsRecord) -> float:
    """Returns the processor time of a handover report on all targets."""
    members: list[Member] = []
    for team_name, team in record.tree.teams.items():
        for name, service in team.services.items():
            members.extend(targets_of(team_name, name, service))
    snapshot = Snapshot(record.version, record.tree)
    return min_cpu_ms(
        lambda: run_handover_checks(
            collect_deployment_state(snapshot, members, {}, 1)
        ),
    )


def measure(count: int) -> list[Any]:
    """Returns the report row of one size."""
    random = Random(_SEED.value)
    record = SettingsRecord(1, make_tree(count, random))
    tree_bytes = len(encode_record(record).content)
    record = with_history(record, random)
    body = encode_record(record).content
    request = make_write_request(record.version, random)
    steps_ms = [
        min_cpu_ms(lambda: decode_record(body)),
        min_cpu_ms(lambda: plan_write(record, request, 0.0)),
        min_cpu_ms(lambda: encode_record(record)),
    ]
    share = 100 * len(body) / VALUE_BYTES_MAX
    return [
        count,
        tree_bytes,
        len(body),
        f'{share:.0f}',
        *(f'{step_ms:.1f}' for step_ms in steps_ms),
        f'{sum(steps_ms):.1f}',
        f'{handover_ms(record):.1f}',
    ]


def _run(_arguments: list[str]) -> int:
    headers = [
        'services',
        'tree bytes',
        'with 200 changes',
        '% of a megabyte',
        'decode ms',
        'plan and check ms',
        'encode ms',
        'one write ms',
        'handover ms',
    ]
    rows = [measure(count) for count in SIZES]
    sys.stdout.write(f'{tabulate(rows, headers, tablefmt="github")}\n')
    text = json.dumps(
        unstructure_tree(make_tree(SIZES[0] // 4, Random(_SEED.value)))
    )
    strict_ms = min_cpu_ms(lambda: json.loads(text))
    start_s = process_time()
    loads(text)
    comments_ms = (process_time() - start_s) * MS_PER_S
    sys.stdout.write(
        f'\n{len(text)} bytes: json {strict_ms:.2f} ms,'
        f' json5 {comments_ms:.0f} ms\n',
    )
    return 0


if __name__ == '__main__':
    app.run(_run)
