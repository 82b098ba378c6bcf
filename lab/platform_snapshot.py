"""Measures the cost of a full snapshot for a process, by size of the tree."""

import sys
from collections.abc import Callable
from time import process_time
from zlib import decompress

from absl import app, flags
from attrs import astuple, define, evolve, fields
from tabulate import tabulate

from cumindrift.settings.snapshot import SnapshotStore, pack_snapshot
from cumindrift.settings.transfer import chunk_count
from cumindrift.settings.tree import Snapshot
from lab.platform_fleet import fleet_tree

_SERVICES = flags.DEFINE_list('services', ['4', '800', '7600'], 'Tree sizes.')
_REPEATS = flags.DEFINE_integer('repeats', 5, 'Runs; the median is shown.')
_CHANGES = flags.DEFINE_integer('changes_a_day', 3800, 'Changes of settings.')

SECONDS_PER_DAY = 86_400
MS_PER_S = 1000


@define(frozen=True, slots=True)
class Row:
    """The cost of one tree."""

    services: int
    document_bytes: int
    packed_bytes: int
    chunks: int
    pack_ms: float
    first_take_ms: float
    next_take_ms: float
    day_bytes_s: float
    day_cpu_percent: float


def measure_tree(service_count: int) -> Row:
    """Measures packing and applying one tree; returns the medians."""
    snapshot = Snapshot(1, fleet_tree(1, service_count))
    packed = pack_snapshot(snapshot)
    pack_s = _median_s(lambda: pack_snapshot(snapshot))
    first_s = _median_s(
        lambda: _store_at(0, service_count).apply_packed(packed)
    )
    next_s = _median_next_s(service_count)
    per_second = _CHANGES.value / SECONDS_PER_DAY
    return Row(
        service_count,
        len(decompress(packed.octets)),
        len(packed.octets),
        chunk_count(packed),
        pack_s * MS_PER_S,
        first_s * MS_PER_S,
        next_s * MS_PER_S,
        len(packed.octets) * per_second,
        next_s * per_second * 100,
    )


def _store_at(version: int, service_count: int) -> SnapshotStore:
    store = SnapshotStore(lambda _snapshot: None)
    if version:
        store.apply(Snapshot(version, fleet_tree(0, service_count)))
    return store


def _median_next_s(service_count: int) -> float:
    """Times applying a snapshot in which one service changed."""
    store = _store_at(1, service_count)
    packed = []
    for number in range(_REPEATS.value):
        tree = fleet_tree(0, service_count)
        services = tree.teams['team'].services
        changed = evolve(services['service-0'], port=8000 + number)
        services['service-0'] = changed
        packed.append(pack_snapshot(Snapshot(2 + number, tree)))
    queue = iter(packed)
    return _median_s(lambda: store.apply_packed(next(queue)))


def _median_s(call: Callable[[], object]) -> float:
    times_s = []
    for _ in range(_REPEATS.value):
        started_s = process_time()
        call()
        times_s.append(process_time() - started_s)
    return sorted(times_s)[len(times_s) // 2]


def _run(_arguments: list[str]) -> int:
    rows = [measure_tree(int(count)) for count in _SERVICES.value]
    sys.stdout.write(
        tabulate(
            [astuple(row) for row in rows],
            headers=[attribute.name for attribute in fields(Row)],
            tablefmt='github',
            floatfmt='.4g',
        )
        + '\n',
    )
    return 0


if __name__ == '__main__':
    app.run(_run)
