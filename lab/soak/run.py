"""Runs the soak for the seeds given by flags and prints a report.

Example::

    python -m lab.soak.run --seeds=1,2,3 --faults_s=15
    python -m lab.soak.run --fresh=20 --faults=kill,pause,store
    python -m lab.soak.run --regressions
"""

import sys
from collections import Counter
from pathlib import Path
from random import SystemRandom
from tempfile import mkdtemp

from absl import app, flags
from attrs import define
from circuits.core.pollers import EPoll

from lab.soak.fault import JUDGED_FAULTS, faults
from lab.soak.harness import SoakHarness
from lab.soak.topology import Topology

_SEEDS = flags.DEFINE_list('seeds', [], 'Seeds to run, one after the other.')
_FRESH = flags.DEFINE_integer('fresh', 0, 'Number of new random seeds.')
_REGRESSIONS = flags.DEFINE_bool('regressions', False, 'Run earlier failures.')
_FAULTS_S = flags.DEFINE_float('faults_s', 15.0, 'Seconds of faults per seed.')
_FAULTS = flags.DEFINE_list('faults', [], 'Only these faults; all if empty.')
_BALANCERS = flags.DEFINE_integer('balancers', 3, 'Balancers, 2 or more.')
_AGENTS = flags.DEFINE_integer('agents', 8, 'Agents, each with a target.')
_CLIENTS = flags.DEFINE_integer('clients', 12, 'Clients.')
_SLOT = flags.DEFINE_integer('slot', 0, 'Address range of this run.')
_KEEP = flags.DEFINE_string('keep', '', 'Log folder; a new one if empty.')
_JUDGES = flags.DEFINE_bool(
    'judges_targets', False, 'Nodes judge targets by what they do.'
)
REGRESSIONS = Path(__file__).with_name('regressions.txt')
SEED_MAX = 10**9
BREACHES_SHOWN_MAX = 12


@define(frozen=True, slots=True)
class SoakCase:
    """A seed, the seconds of faults, and the faults that it draws from.

    All faults if `fault_names` is empty.
    """

    seed: int
    faults_s: float
    fault_names: tuple[str, ...]


def read_regressions() -> list[SoakCase]:
    """Returns the cases that failed once."""
    rows = [
        line.split(maxsplit=3)
        for line in REGRESSIONS.read_text('utf-8').splitlines()
        if line and not line.startswith('#')
    ]
    return [
        SoakCase(int(seed), float(faults_s), tuple(names.split(',')))
        for seed, faults_s, names, _cause in rows
    ]


def list_cases() -> list[SoakCase]:
    """Returns the cases that the flags ask for."""
    draw = SystemRandom()
    seeds = [int(seed) for seed in _SEEDS.value]
    seeds.extend(draw.randrange(SEED_MAX) for _ in range(_FRESH.value))
    names = tuple(_FAULTS.value)
    cases = [SoakCase(seed, _FAULTS_S.value, names) for seed in seeds]
    if _REGRESSIONS.value:
        cases.extend(read_regressions())
    return cases


def run_case(case: SoakCase) -> SoakHarness:
    """Runs one case and returns its finished harness."""
    folder = Path(_KEEP.value or mkdtemp(prefix=f'soak-{case.seed}-'))
    folder.mkdir(parents=True, exist_ok=True)
    topology = Topology(
        _SLOT.value,
        _BALANCERS.value,
        _AGENTS.value,
        _CLIENTS.value,
        folder,
        _JUDGES.value,
    )
    harness = SoakHarness(
        topology, case.seed, case.faults_s, list(case.fault_names)
    )
    EPoll().register(harness)
    try:
        harness.run()
    finally:
        harness.cluster.stop()
        for child in list(harness.components):
            getattr(child, 'release', list)()
    return harness


def report(seed: int, harness: SoakHarness) -> str:
    """Returns a readable report of injected faults and recorded events."""
    injected = Counter(name for _, name in harness.injected)
    ledger = harness.ledger
    lines = [
        f'seed {seed}: {len(ledger.breaches)} promises broken',
        f'  injected: {dict(sorted(injected.items()))}',
        f'  seen: {dict(sorted(ledger.counts.items()))}',
    ]
    lines.extend(
        f'  BROKEN {each}' for each in ledger.breaches[:BREACHES_SHOWN_MAX]
    )
    if ledger.breaches:
        lines.append(f'  logs: {harness.topology.folder}')
    return '\n'.join(lines)


def _run(_arguments: list[str]) -> int:
    unknown = [name for name in _FAULTS.value if name not in faults]
    if unknown:
        sys.stderr.write(f'unknown faults {unknown}; {faults.names()}\n')
        return 2
    judged = JUDGED_FAULTS.intersection(_FAULTS.value)
    if judged and not _JUDGES.value:
        sys.stderr.write(f'{sorted(judged)} need --judges_targets\n')
        return 2
    cases = list_cases()
    broken_count = 0
    for case in cases:
        harness = run_case(case)
        broken_count += bool(harness.ledger.breaches)
        sys.stdout.write(f'{report(case.seed, harness)}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{len(cases)} seeds, {broken_count} with a breach\n')
    return 1 if broken_count else 0


if __name__ == '__main__':
    app.run(_run)
