"""Measures the cost of a flow for each role, and computes the full load.

The full load is that of the largest deployment that the system is built for.
"""

import sys
import tracemalloc
from collections.abc import Callable
from time import process_time

from absl import app, flags
from attrs import define
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member
from cumindrift.membership.view import View
from cumindrift.settings.tree import Service, Snapshot, Team, Tree
from cumindrift.traffic.candidates import candidate_of, candidates_in
from cumindrift.traffic.message import (
    FlowRoute,
    HolderRecord,
    LoadReport,
    OpenSearch,
    RecordAck,
    traffic,
)
from cumindrift.traffic.packet import udp_packet
from cumindrift.traffic.steering import BalancerCore
from cumindrift.wire import decode_frame, encode_frame

_FLOWS = flags.DEFINE_integer(
    'flows', 20_000, 'Flows in the memory measurement.'
)
_REPEATS = flags.DEFINE_integer('repeats', 2000, 'Repeats of each message.')

# Size and limits of the largest deployment, as its operators stated them.
BALANCER_COUNT = 3100
AGENT_COUNT = 16_000
OPEN_FLOWS = 61_000_000
NEW_FLOWS_PER_S = 220_000
CANDIDATES = 4
RECORD_KEEPERS = 2
CORE_SHARE_MAX = 0.019
BYTES_PER_S_MAX = 25_000
IP_UDP_BYTES = 28
DIGEST_BYTES = 16
PAYLOAD_BYTES = 41

SERVICE = Service(ip='10.0.0.1', port=700)


@define(frozen=True, slots=True)
class MessageCost:
    """The size of a message and its processor time at both ends."""

    name: str
    size_bytes: int
    encode_s: float
    decode_s: float


def make_view(target_count: int) -> View:
    """Returns a view of one service's targets."""
    return View(
        Member(
            name=f'target-{number}',
            role='agent',
            region='region',
            data_centre=f'centre-{number % 4}',
            endpoint=Endpoint(f'127.0.2.{number}', 7100),
            incarnation=1,
            team='team',
            service='service',
        )
        for number in range(1, target_count + 1)
    )


def make_core(view: View) -> BalancerCore:
    """Returns a balancer's core with the service of the view."""
    core = BalancerCore(candidate_of(next(iter(view.members.values()))))
    core.on_view(view)
    tree = Tree(teams={'team': Team({'service': SERVICE})})
    core.on_settings(Snapshot(1, tree))
    return core


def seconds_each(call: Callable[[], object], repeats: int) -> float:
    """Returns the mean processor time of a call."""
    start_s = process_time()
    for _ in range(repeats):
        call()
    return (process_time() - start_s) / repeats


def flow_packets(count: int) -> list[bytes]:
    """Returns one packet for each of `count` flows."""
    return [
        udp_packet(
            Endpoint(f'10.{index >> 16}.{index >> 8 & 255}.{index & 255}', 9),
            SERVICE.endpoint(),
            bytes(PAYLOAD_BYTES),
        )
        for index in range(count)
    ]


def message_costs() -> list[MessageCost]:
    """Measures the messages that are sent for a new flow."""
    view = make_view(7)
    key = b'0123456789abc'
    name = next(iter(view.services))
    candidates = candidates_in(view, name, key)
    holder = candidates[0]
    route = FlowRoute('team', 'service', key, 1, candidates, holder)
    report = LoadReport(1, 1, 1, can_take=True)
    packet = flow_packets(1)[0]
    messages = (
        OpenSearch(route, 2, 2, False, (report,) * 2, packet),
        HolderRecord(
            team='team',
            service='service',
            flow_key=key,
            holder=holder,
            incarnation=1,
            sequence=1,
            age_ms=1,
            held=True,
            teller=holder,
        ),
        RecordAck(key, 1, 1),
    )
    return [_measure(message) for message in messages]


def _measure(message: object) -> MessageCost:
    frame = encode_frame(traffic, message)
    return MessageCost(
        type(message).__name__,
        len(frame) + DIGEST_BYTES + IP_UDP_BYTES,
        seconds_each(lambda: encode_frame(traffic, message), _REPEATS.value),
        seconds_each(lambda: decode_frame(frame), _REPEATS.value),
    )


def balancer_rows() -> list[tuple[str, str]]:
    """Measures a balancer's entry size and its time for each packet."""
    core = make_core(make_view(7))
    packets = flow_packets(_FLOWS.value)
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    for packet in packets:
        core.steer(packet)
    entry_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    known_s = seconds_each(lambda: core.steer(packets[-1]), _REPEATS.value)
    fresh = make_core(make_view(7))
    iterator = iter(packets)
    new_s = seconds_each(lambda: fresh.steer(next(iterator)), _REPEATS.value)
    return [
        ('balancer: bytes an entry', f'{entry_bytes / len(packets):.0f}'),
        ('balancer: known flow, us', f'{known_s * 1e6:.1f}'),
        ('balancer: new flow, us', f'{new_s * 1e6:.1f}'),
    ]


def agent_rows(costs: list[MessageCost]) -> list[tuple[str, str]]:
    """Computes what new flows cost an agent of the largest deployment."""
    flows_per_s = NEW_FLOWS_PER_S / AGENT_COUNT
    counts = (CANDIDATES, RECORD_KEEPERS, RECORD_KEEPERS)
    share = sum(
        flows_per_s * count * (cost.encode_s + cost.decode_s)
        for count, cost in zip(counts, costs, strict=True)
    )
    bytes_per_s = sum(
        flows_per_s * count * cost.size_bytes
        for count, cost in zip(counts, costs, strict=True)
    )
    record_bytes_per_s = sum(
        flows_per_s * RECORD_KEEPERS * cost.size_bytes for cost in costs[1:]
    )
    return [
        ('agent: open flows each', f'{OPEN_FLOWS / AGENT_COUNT:.0f}'),
        ('agent: new flows a second', f'{flows_per_s:.2f}'),
        (f'agent: core share (bound {CORE_SHARE_MAX:.1%})', f'{share:.2%}'),
        (
            f'agent: bytes a second sent (bound {BYTES_PER_S_MAX})',
            f'{bytes_per_s:.0f}',
        ),
        ('agent: of these for records and acks', f'{record_bytes_per_s:.0f}'),
    ]


def _run(_arguments: list[str]) -> int:
    costs = message_costs()
    headers = ('message', 'bytes on the wire', 'encode us', 'decode us')
    rows = [
        (
            cost.name,
            cost.size_bytes,
            f'{cost.encode_s * 1e6:.0f}',
            f'{cost.decode_s * 1e6:.0f}',
        )
        for cost in costs
    ]
    sys.stdout.write(f'{tabulate(rows, headers)}\n\n')
    figures = [*balancer_rows(), *agent_rows(costs)]
    sys.stdout.write(f'{tabulate(figures, ("figure", "value"))}\n')
    return 0


if __name__ == '__main__':
    app.run(_run)
