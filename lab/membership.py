"""Measures membership in virtual time, with the real core and encoding.

Prints one row for each cluster size. Run as ``python -m lab.membership
--measure=detection --counts=50,200,800 --seed=1``.
"""

import sys
from collections.abc import Callable
from functools import partial
from random import Random

from absl import app, flags
from tabulate import tabulate

from cumindrift.invariant import enable_strict_mode
from cumindrift.registry import Registry
from lab.member_cluster import MemberCluster
from lab.network import VirtualNetwork

_MEASURE = flags.DEFINE_string('measure', 'load', 'Which measurement.')
_COUNTS = flags.DEFINE_list('counts', ['50', '200'], 'Cluster sizes.')
_LOSS = flags.DEFINE_float('loss', 0, 'Share of messages lost.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of all randomness.')
_SECONDS = flags.DEFINE_float('seconds', 60, 'Measured virtual time.')
_DEATHS = flags.DEFINE_integer('deaths', 20, 'Deaths per cluster size.')

Row = list[object]

measurements: Registry[Callable[[int], Row]] = Registry('measurement')

SETTLE_S = 20.0
PAUSE_S = 5.0
DETECTION_LIMIT_S = 60.0
STEP_S = 0.05


def make_cluster(count: int, *, is_encoded: bool) -> MemberCluster:
    """Returns a cluster whose members know each other, after SETTLE_S."""
    network = VirtualNetwork(Random(_SEED.value))
    network.loss_share = _LOSS.value
    cluster = MemberCluster(network, is_encoded)
    cluster.start_joined(count)
    cluster.run(SETTLE_S)
    return cluster


def detection_s(cluster: MemberCluster, number: int) -> float:
    """Stops a member; returns the time until all others removed it."""
    start_s = cluster.network.now_s
    cluster.stop(number)
    while cluster.count_seeing(number):
        cluster.run(STEP_S)
        if cluster.network.now_s - start_s > DETECTION_LIMIT_S:
            break
    return cluster.network.now_s - start_s


@measurements.register('detection')
def measure_detection(count: int) -> Row:
    """Measures the time until all members detect a death."""
    cluster = make_cluster(count, is_encoded=False)
    times_s = []
    for _ in range(_DEATHS.value):
        number = cluster.network.random.randrange(count)
        times_s.append(detection_s(cluster, number))
        cluster.resume(number)
        cluster.run(PAUSE_S)
    times_s.sort()
    return [
        f'{len(times_s)} deaths',
        f'median {times_s[len(times_s) // 2]:.2f} s',
        f'max {times_s[-1]:.2f} s',
        f'false {false_removals(cluster, count)}',
    ]


@measurements.register('false-deaths')
def measure_false_deaths(count: int) -> Row:
    """Counts members wrongly removed or suspected while none dies."""
    cluster = make_cluster(count, is_encoded=False)
    removals = 0
    for _ in range(int(_SECONDS.value)):
        cluster.run(1.0)
        removals += false_removals(cluster, count)
    revisions = sum(core.me.revision for core in cluster.running())
    return [
        f'{_SECONDS.value:.0f} s',
        f'false removals {removals}',
        f'refutations {revisions - count}',
    ]


def false_removals(cluster: MemberCluster, count: int) -> int:
    """Returns how often a running member is missing from another's view."""
    running_count = count - len(cluster.stopped)
    return sum(
        max(0, running_count - len(core.view.members))
        for core in cluster.running()
    )


@measurements.register('load')
def measure_load(count: int) -> Row:
    """Measures the traffic and processor time of a member at rest."""
    cluster = make_cluster(count, is_encoded=True)
    return cost_row(cluster, count, _SECONDS.value)


@measurements.register('churn')
def measure_churn(count: int) -> Row:
    """Measures the same while one member restarts every 10 seconds."""
    cluster = make_cluster(count, is_encoded=True)
    reset_meter(cluster)
    for turn in range(int(_SECONDS.value / 10)):
        number = cluster.network.random.randrange(count)
        cluster.start(number, incarnation=turn + 2)
        cluster.run(10.0)
    return cost_row(cluster, count, 0, _SECONDS.value)


@measurements.register('mass-restart')
def measure_mass_restart(count: int) -> Row:
    """Restarts every member within 10 seconds, knowing only the seeds."""
    cluster = make_cluster(count, is_encoded=True)
    reset_meter(cluster)
    return measure_recovery(cluster, count, range(count))


@measurements.register('centre-back')
def measure_centre_back(count: int) -> Row:
    """Stops one data centre of four, then restarts it after its removal."""
    cluster = make_cluster(count, is_encoded=True)
    lost = range(1, count, 4)
    for number in lost:
        cluster.stop(number)
    cluster.run(100.0)
    seen = {len(core.view.members) for core in cluster.running()}
    reset_meter(cluster)
    return [f'seen without it {seen}', *measure_recovery(cluster, count, lost)]


def measure_recovery(cluster: MemberCluster, count: int, numbers: range) -> Row:
    """Restarts members over 10 s and measures the time until convergence."""
    begin_s = cluster.network.now_s
    for number in numbers:
        cluster.network.at(
            begin_s + cluster.network.random.random() * 10,
            partial(cluster.start, number, 2),
        )
    cluster.run(10.0)
    while not is_converged(cluster, count):
        cluster.run(0.5)
        if cluster.network.now_s - begin_s > DETECTION_LIMIT_S * 10:
            break
    converged_s = cluster.network.now_s - begin_s
    return [
        f'whole again after {converged_s:.1f} s',
        *cost_row(cluster, count, 0, converged_s),
    ]


def is_converged(cluster: MemberCluster, count: int) -> bool:
    """Returns whether all members see all in their newest incarnation."""
    newest = {core.me.claim().member_id: core for core in cluster.running()}
    return all(
        len(core.view.members) == count
        and all(
            member.incarnation == newest[member_id].me.incarnation
            for member_id, member in core.view.members.items()
        )
        for core in cluster.running()
    )


def reset_meter(cluster: MemberCluster) -> None:
    """Resets the cluster's meter to zero."""
    cluster.meter = type(cluster.meter)()


def cost_row(
    cluster: MemberCluster,
    count: int,
    run_s: float,
    passed_s: float = 0,
) -> Row:
    """Returns a member's mean traffic and processor time.

    Runs the cluster for `run_s` first; if that is 0, the meter covers
    `passed_s` already.
    """
    if run_s:
        reset_meter(cluster)
        cluster.run(run_s)
    meter = cluster.meter
    member_s = count * (run_s or passed_s)
    return [
        f'{meter.sent_count / member_s:.2f} messages/s',
        f'{meter.sent_bytes / member_s / 1000:.2f} KB/s sent',
        f'{meter.cpu_ns / member_s / 1e7:.3f} % of a core',
        f'largest datagram {meter.largest_bytes} bytes',
    ]


def _run(_arguments: list[str]) -> None:
    enable_strict_mode()
    measure = measurements.get(_MEASURE.value)
    for size in _COUNTS.value:
        row = [
            _MEASURE.value,
            f'{size} members',
            f'loss {_LOSS.value:g}',
            f'seed {_SEED.value}',
            *measure(int(size)),
        ]
        sys.stdout.write(f'{tabulate([row], tablefmt="plain")}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    app.run(_run)
