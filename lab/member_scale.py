"""Measures one membership core among thousands of members.

Run as ``python -m lab.member_scale --measure=view --count=19100``. A
`ProbeResponder` answers for all other members, so that one machine is enough.
"""

import sys
from collections.abc import Callable
from functools import partial
from gc import collect
from pathlib import Path
from random import Random
from time import perf_counter

from absl import app, flags
from attrs import define, evolve
from tabulate import tabulate

from cumindrift.membership.core import MembershipCore
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import Ack, Gossip, Ping, Sender, Updates
from cumindrift.membership.view import View
from cumindrift.registry import Registry
from lab.member_cluster import MemberCluster, make_member
from lab.network import VirtualNetwork

_MEASURE = flags.DEFINE_string('measure', 'view', 'Which measurement.')
_COUNT = flags.DEFINE_integer('count', 19100, 'Number of members.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of all randomness.')

Row = list[object]

measurements: Registry[Callable[[int], Row]] = Registry('measurement')

VIEW_COUNT = 300
JOIN_LIMIT_S = 300.0
RUNNING_SEEDS = 3


@define(slots=True, eq=False)
class ProbeResponder:
    """Answers a core's pings for all members that do not run."""

    cluster: MemberCluster
    members: list[Member]

    def answer(self, number: int, message: bytes, _now_s: float) -> None:
        """Answers a ping; ignores other messages."""
        member = self.members[number]
        ping = self.cluster.decode(message)
        if isinstance(ping, Ping):
            claim = member.claim()
            sender = Sender(claim, member.endpoint)
            ack = Ack(sender, ping.origin, ping.sequence, claim)
            self.cluster.send(member.endpoint, ping.sender.endpoint, ack)

    def register_receivers(self) -> None:
        """Receives the messages to all members."""
        for number, member in enumerate(self.members):
            receive = partial(self.answer, number)
            self.cluster.network.receivers[member.endpoint] = receive


def resident_mb() -> float:
    """Returns the resident memory of this process, in MB."""
    status = Path('/proc/self/status').read_text('ascii')
    line = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(line.split()[1]) / 1024


def full_core(members: list[Member], views: list[View]) -> MembershipCore:
    """Returns a core that knows all members."""
    core = MembershipCore(members[0], (), Random(_SEED.value), views.append)
    core.merge(members, 0.0)
    core.local_state.dissemination.clear()
    core.tick(0.0)
    return core


@measurements.register('view')
def measure_view(count: int) -> Row:
    """Measures the memory of views and the time of one change."""
    collect()
    before_mb = resident_mb()
    views: list[View] = []
    start_s = perf_counter()
    core = full_core([make_member(number) for number in range(count)], views)
    built_ms = (perf_counter() - start_s) * 1000
    collect()
    full_mb = resident_mb()
    times_ms = sorted(change_ms(core, number) for number in range(VIEW_COUNT))
    collect()
    many_mb = resident_mb()
    return [
        f'first view {built_ms:.0f} ms',
        f'full view {full_mb - before_mb:.1f} MB',
        f'{len(views)} more views {many_mb - full_mb:.1f} MB',
        f'one change median {times_ms[VIEW_COUNT // 2]:.2f} ms',
        f'max {times_ms[-1]:.2f} ms',
        f'data centre out {data_centre_out_ms(core):.0f} ms',
        f'process {resident_mb():.0f} MB',
    ]


def change_ms(core: MembershipCore, number: int) -> float:
    """Returns the time from receiving a change to publishing its view."""
    member = make_member(number + 1)
    claim = evolve(member.claim(), revision=1, state=MemberState.DRAINING)
    sender = make_member(9)
    gossip = Gossip(
        Sender(sender.claim(), sender.endpoint),
        Updates((claim,)),
    )
    now_s = 0.1 * (number + 1)
    start_s = perf_counter()
    core.receive(gossip, now_s)
    core.tick(now_s)
    return (perf_counter() - start_s) * 1000


def data_centre_out_ms(core: MembershipCore) -> float:
    """Returns the time to take a data centre out of all services."""
    start_s = perf_counter()
    core.on_data_centres_out(frozenset(('dc-1',)))
    for name in core.view.services:
        core.view.service_version(name)
    return (perf_counter() - start_s) * 1000


@measurements.register('join')
def measure_join(count: int) -> Row:
    """Measures a join with only three seeds and without the platform."""
    members = [make_member(number) for number in range(count)]
    network = VirtualNetwork(Random(_SEED.value))
    cluster = MemberCluster(network, is_encoded=True)
    ProbeResponder(cluster, members).register_receivers()
    for number in range(RUNNING_SEEDS):
        cluster.start(number)
        cluster.cores[number].merge(members, 0.0)
        cluster.cores[number].local_state.dissemination.clear()
        cluster.cores[number].is_joined = True
    cluster.run(2.0)
    cluster.meter = type(cluster.meter)()
    start_s = network.now_s
    core = cluster.start(count)
    while not core.is_joined and network.now_s - start_s < JOIN_LIMIT_S:
        cluster.run(0.1)
    passed_s = network.now_s - start_s
    return [
        f'joined {core.is_joined} after {passed_s:.1f} s',
        f'sees {len(core.view.members)}',
        f'{cluster.meter.sent_bytes / 1e6:.2f} MB by all',
        f'{cluster.meter.cpu_ns / 1e9:.2f} s of CPU by all',
        f'largest datagram {cluster.meter.largest_bytes} bytes',
    ]


def _run(_arguments: list[str]) -> None:
    measure = measurements.get(_MEASURE.value)
    row = [
        _MEASURE.value,
        f'{_COUNT.value} members',
        f'seed {_SEED.value}',
        *measure(_COUNT.value),
    ]
    sys.stdout.write(f'{tabulate([row], tablefmt="plain")}\n')


if __name__ == '__main__':
    app.run(_run)
