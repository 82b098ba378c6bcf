"""Measures how fast settings are distributed, and their cost per process."""

import sys
from time import process_time

from absl import app, flags
from attrs import define, field
from loguru import logger
from tabulate import tabulate

from cumindrift.invariant import enable_strict_mode
from cumindrift.keyring import DIGEST_BYTES
from cumindrift.settings.message import distribution
from cumindrift.wire import encode_frame
from lab.platform_fleet import Fleet

_MEMBERS = flags.DEFINE_list('members', ['50', '200', '800'], 'Fleet sizes.')
_CHANGES = flags.DEFINE_integer('changes', 100, 'Changes per fleet size.')
_LOSS = flags.DEFINE_float('loss', 0.1, 'Share of messages lost.')
_SERVICES = flags.DEFINE_integer('services', 4, 'Services in the tree.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the run.')

# Multiplied by 0.5 to 1.5 at random, so that changes come at any phase of
# the distribution rounds.
CHANGE_PERIOD_S = 10.0
IDLE_S = 60.0
UDP_IP_BYTES = 28
WARM_UP_S = 15.0


@define(slots=True)
class TrafficCount:
    """Bytes and messages sent, including digest and UDP/IP headers."""

    octets: int = 0
    messages: int = 0


@define(frozen=True, slots=True)
class Row:
    """The figures of one fleet."""

    members: int
    changes: int
    missed: int
    median_s: float
    p999_s: float
    max_s: float
    went_down: int
    quiet_bytes_s: float
    change_bytes: float
    quiet_cpu_percent: float
    calls_s: float
    quiet_calls_s: float
    watches: int
    feeders: int


@define(frozen=True, slots=True)
class IdleCost:
    """The cost of a process while no settings change."""

    bytes_s: float
    cpu_percent: float
    calls_s: float


@define(slots=True)
class ChangeStats:
    """Delays and failures in distributing the changes."""

    delays_s: list[float] = field(factory=list)
    missed_count: int = 0
    went_down_count: int = 0

    def delay_s(self, share: float) -> float:
        """Returns the delay at a quantile; `delays_s` must be sorted."""
        return self.delays_s[int(len(self.delays_s) * share)]


def measure_fleet(member_count: int) -> Row:
    """Runs one fleet for a quiet minute and then through all changes."""
    fleet = Fleet(member_count, _SEED.value, _LOSS.value)
    traffic = _count_octets(fleet)
    fleet.write_settings(_SERVICES.value)
    fleet.run(WARM_UP_S)
    quiet = _measure_idle(fleet, traffic)
    calls = fleet.model.call_count
    before = traffic.octets
    started_s = fleet.network.now_s
    change = _measure_changes(fleet)
    spent_s = fleet.network.now_s - started_s
    octets = (traffic.octets - before) / member_count
    change.delays_s.sort()
    return Row(
        member_count,
        _CHANGES.value,
        change.missed_count,
        change.delay_s(0.5),
        change.delay_s(0.999),
        change.delays_s[-1],
        change.went_down_count,
        quiet.bytes_s,
        (octets - quiet.bytes_s * spent_s) / _CHANGES.value,
        quiet.cpu_percent,
        (fleet.model.call_count - calls) / spent_s,
        quiet.calls_s,
        fleet.model.watch_count,
        len(fleet.feeders()),
    )


def _measure_idle(fleet: Fleet, traffic: TrafficCount) -> IdleCost:
    calls = fleet.model.call_count
    before = traffic.octets
    started_s = process_time()
    fleet.run(IDLE_S)
    share = 1 / (IDLE_S * len(fleet.processes))
    return IdleCost(
        (traffic.octets - before) * share,
        (process_time() - started_s) * share * 100,
        (fleet.model.call_count - calls) / IDLE_S,
    )


def _measure_changes(fleet: Fleet) -> ChangeStats:
    """Makes all changes, about CHANGE_PERIOD_S apart."""
    change = ChangeStats()
    for _ in range(_CHANGES.value):
        older = [process.version for process in fleet.processes]
        written_s = fleet.network.now_s
        version = fleet.write_settings(_SERVICES.value)
        fleet.run(CHANGE_PERIOD_S * (0.5 + fleet.network.random.random()))
        for process, old in zip(fleet.processes, older, strict=True):
            change.went_down_count += process.version < old
            applied_s = process.applied_s.get(version)
            if applied_s is None:
                change.missed_count += 1
            else:
                change.delays_s.append(applied_s - written_s)
    return change


def _count_octets(fleet: Fleet) -> TrafficCount:
    """Wraps the processes' send function to count their traffic."""
    traffic = TrafficCount()
    send = fleet.network.send

    def count_and_send(sender: object, peer: object, message: object) -> None:
        frame = encode_frame(distribution, message)
        traffic.octets += len(frame) + DIGEST_BYTES + UDP_IP_BYTES
        traffic.messages += 1
        send(sender, peer, message)

    for process in fleet.processes:
        process.send = count_and_send
    return traffic


def _run(_arguments: list[str]) -> int:
    enable_strict_mode()
    logger.remove()
    rows = [measure_fleet(int(count)) for count in _MEMBERS.value]
    names = [attribute.name for attribute in Row.__attrs_attrs__]
    sys.stdout.write(
        tabulate(
            [[getattr(row, name) for name in names] for row in rows],
            headers=names,
            tablefmt='github',
            floatfmt='.4g',
        )
        + '\n',
    )
    return 0


if __name__ == '__main__':
    app.run(_run)
