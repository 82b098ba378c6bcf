"""Measures the costs of a packet, of a held flow and of an idle process.

Prints the balancer's packets per second, once with a handler that drains many
datagrams at a time and once with a circuits event for each datagram, the time
of an agent's decision without decoding, the memory of flows and records, and
the processor time of idle processes.
"""

import sys
import tracemalloc
from collections.abc import Callable
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from time import perf_counter, process_time

from absl import app, flags
from attrs import define, field
from circuits import Component, Event, handler
from circuits.core.pollers import EPoll
from circuits.net.sockets import UDPServer
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.context import Context, make_context
from cumindrift.membership.member import Member
from cumindrift.membership.view import ServiceName, View
from cumindrift.peer import PeerPort
from cumindrift.port import DatagramPort
from cumindrift.registry import Registry
from cumindrift.settings.process import ProcessSettings, TargetSettings
from cumindrift.settings.tree import Service, Snapshot, Team, Tree
from cumindrift.supervisor import build_root
from cumindrift.timer import SteadyTimer
from cumindrift.traffic.balancer import FabricForwarder
from cumindrift.traffic.candidates import candidate_of, candidates_in
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.flow import Flow, Record
from cumindrift.traffic.message import (
    FlowRoute,
    LoadReport,
    PacketKind,
    SteeredPacket,
)
from cumindrift.traffic.packet import udp_packet
from cumindrift.traffic.placement import policies
from cumindrift.traffic.steering import BalancerCore

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the flows.')
_ROUNDS = flags.DEFINE_integer('rounds', 20, 'Rounds of each measurement.')
_IDLE_S = flags.DEFINE_float('idle_s', 10.0, 'How long each process idles.')

SERVICE_NAME = ServiceName('todistajat', 'kaynti')
TARGET_COUNT = 7
FLOW_COUNT = 100
MEMORY_FLOW_COUNT = 100_000
FABRIC = Endpoint('127.0.9.1', 0)
PEER = '127.0.9.1:17190'
SINK = ('127.0.9.2', 17190)
PACKET_BYTES = 200
_US_PER_S = 1_000_000

Row = tuple[str, str]
measurements: Registry[Callable[[], list[Row]]] = Registry('measurement')


def process_settings(role: str) -> ProcessSettings:
    """Returns the settings of a process that has no peers."""
    return ProcessSettings(
        role=role,
        name=f'lab-{role}',
        region='fi-south',
        data_centre='hel-a',
        peer=PEER,
        admin='127.0.9.1:17290',
        keys=('00' * 32,),
        fabric='127.0.9.1:17390',
        target=TargetSettings(
            SERVICE_NAME.team,
            SERVICE_NAME.service,
            '127.0.9.1:17080',
            '127.0.9.1:17400',
        ),
    )


def make_view() -> View:
    """Returns a view of a service's targets."""
    return View(
        Member(
            f'kaynti-{number}',
            'agent',
            'fi-south',
            f'centre-{number % 3}',
            Endpoint(SINK[0], SINK[1] + number),
            1,
            team=SERVICE_NAME.team,
            service=SERVICE_NAME.service,
        )
        for number in range(TARGET_COUNT)
    )


def make_packets(random: Random) -> list[bytes]:
    """Returns one packet of each of FLOW_COUNT flows, in random order."""
    body = bytes(PACKET_BYTES)
    flows = [
        udp_packet(
            Endpoint(f'10.1.{number >> 8}.{number & 0xFF}', 4000),
            Endpoint('10.20.0.1', 700),
            body,
        )
        for number in range(FLOW_COUNT)
    ]
    random.shuffle(flows)
    return flows


def make_forwarder(context: Context) -> FabricForwarder:
    """Returns a balancer's forwarder with the service's targets."""
    core = BalancerCore(candidate_of(context.me))
    services = {'kaynti': Service('10.20.0.1', 700, 'udp', 'packets')}
    core.on_settings(
        Snapshot(1, Tree(teams={SERVICE_NAME.team: Team(services)}))
    )
    core.on_view(make_view())
    return FabricForwarder(context, core)


def open_sinks() -> list[socket]:
    """Binds the targets' addresses, so that forwarded packets arrive."""
    sinks = []
    for target in make_view().targets(SERVICE_NAME):
        sink = socket(AF_INET, SOCK_DGRAM)
        sink.bind(target.endpoint.sockaddr())
        sinks.append(sink)
    return sinks


@define(slots=True, eq=False)
class Burst:
    """Packets that are sent to a socket's receive buffer all at once."""

    packets: list[bytes]
    _sock: socket = field(factory=lambda: socket(AF_INET, SOCK_DGRAM))

    def send_to(self, pair: tuple[str, int]) -> None:
        """Sends all packets to a bound socket."""
        for packet in self.packets:
            self._sock.sendto(packet, pair)


class EventForwarder(Component):
    """Receives each datagram by a circuits event; the baseline."""

    channel = 'server'

    def __init__(
        self, forwarder: FabricForwarder, burst: Burst, rounds: int
    ) -> None:
        """Prepares `rounds` timed bursts after one that isn't timed."""
        super().__init__()
        self._forwarder = forwarder
        self._burst = burst
        self._remaining = (rounds + 1) * len(burst.packets)
        self._is_timing = False
        self._start_s = 0.0
        self.seconds = 0.0
        self.server = UDPServer((FABRIC.ip, 0), channel=self.channel)
        self.server.register(self)

    @handler('started', channel='*')
    def _on_started(self, _component: object) -> None:
        self._refill()

    @handler('read')
    def _on_read(self, pair: tuple[str, int], datagram: bytes) -> None:
        self._forwarder.receive(datagram, pair)
        self._remaining -= 1
        if self._remaining % len(self._burst.packets) == 0:
            if self._is_timing:
                self.seconds += perf_counter() - self._start_s
            self._is_timing = True
            self._refill()
        if not self._remaining:
            self.root.stop()

    def _refill(self) -> None:
        self._burst.send_to((self.server.host, self.server.port))
        self._start_s = perf_counter()


def time_draining(
    burst: Burst, forwarder: FabricForwarder, rounds: int
) -> float:
    """Returns the seconds per round when a handler drains datagrams."""
    port = DatagramPort(FABRIC, forwarder.receive)
    seconds = 0.0
    for number in range(rounds + 1):
        burst.send_to(port.endpoint.sockaddr())
        start_s = perf_counter()
        drained = 0
        while drained < len(burst.packets):
            drained += port.drain()
        if number:
            # Round 0 isn't timed: it creates the entries of the flows.
            seconds += perf_counter() - start_s
    port.release()
    return seconds / rounds


def time_events(burst: Burst, forwarder: FabricForwarder, rounds: int) -> float:
    """Returns the seconds per round with an event for each datagram."""
    root = EventForwarder(forwarder, burst, rounds)
    EPoll().register(root)
    root.run()
    return root.seconds / rounds


@measurements.register('1 balancer')
def measure_balancer() -> list[Row]:
    """Measures packets per second with draining and with events."""
    burst = Burst(make_packets(Random(_SEED.value)))
    context = make_context(process_settings('balancer'))
    peer_port = PeerPort(context)
    forwarder = make_forwarder(context)
    sinks = open_sinks()
    drained_s = time_draining(burst, forwarder, _ROUNDS.value)
    events_s = time_events(burst, forwarder, _ROUNDS.value)
    for sink in sinks:
        sink.close()
    peer_port.release()
    return [
        ('balancer, drained, packets/s', f'{FLOW_COUNT / drained_s:,.0f}'),
        (
            'balancer, an event each, packets/s',
            f'{FLOW_COUNT / events_s:,.0f}',
        ),
        ('ratio', f'{events_s / drained_s:.1f}'),
    ]


def make_finder(view: View, number: int) -> FlowFinder:
    """Returns the finder of one target of the view."""
    me = candidate_of(view.targets(SERVICE_NAME)[number])

    def probe(flow_count: int) -> LoadReport:
        return LoadReport(me.member_id, flow_count, 0, can_take=True)

    finder = FlowFinder(me, SERVICE_NAME, policies.get('lightest'), probe, 1)
    finder.on_view(view, 0)
    return finder


def make_steered_packets(view: View) -> list[SteeredPacket]:
    """Returns one steered packet of each flow."""
    version = view.service_version(SERVICE_NAME)
    balancer = candidate_of(view.targets(SERVICE_NAME)[0])
    packets = []
    for number in range(FLOW_COUNT):
        flow_key = number.to_bytes(13)
        candidates = candidates_in(view, SERVICE_NAME, flow_key)
        route = FlowRoute(
            *_team_and_service(), flow_key, version, candidates, balancer
        )
        body = bytes(PACKET_BYTES)
        packets.append(SteeredPacket(route, PacketKind.WITHIN, 0, 0, body))
    return packets


def _team_and_service() -> tuple[str, str]:
    return SERVICE_NAME.team, SERVICE_NAME.service


def time_each(
    call: Callable[[SteeredPacket], object], packets: list[SteeredPacket]
) -> str:
    """Returns the microseconds of one call in the best round."""
    best_s = float('inf')
    for _ in range(_ROUNDS.value):
        start_s = perf_counter()
        for packet in packets:
            call(packet)
        best_s = min(best_s, perf_counter() - start_s)
    return f'{best_s / len(packets) * _US_PER_S:.2f}'


@measurements.register('2 agent')
def measure_agent() -> list[Row]:
    """Times the agent's decisions, and separately the decoding."""
    view = make_view()
    packets = make_steered_packets(view)
    finder = make_finder(view, 0)
    other = candidate_of(view.targets(SERVICE_NAME)[1])
    context = make_context(process_settings('agent'))
    frames = [
        context.keyring.sign(context.codec.encode(packet)) for packet in packets
    ]

    def decide(packet: SteeredPacket) -> object:
        return finder.on_steered(packet, 1)

    def decode(frame: bytes) -> object:
        return context.codec.decode(context.keyring.verify(frame))

    rows = [('agent, not held, to the next, us', time_each(decide, packets))]
    for packet in packets:
        record = Record(other, 1, 1, 0)
        finder.table.records[packet.route.flow_key] = record
    rows.append(('agent, by record, us', time_each(decide, packets)))
    for packet in packets:
        finder.table.held[packet.route.flow_key] = Flow(0, 0)
    rows.extend(
        (
            ('agent, held, us', time_each(decide, packets)),
            ('agent, open seal and decode, us', time_each(decode, frames)),
        ),
    )
    return rows


def traced_bytes(fill: Callable[[int], None]) -> str:
    """Returns the mean memory that a call of `fill` allocates, in bytes."""
    tracemalloc.start()
    for number in range(MEMORY_FLOW_COUNT):
        fill(number)
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return f'{size_bytes / MEMORY_FLOW_COUNT:.0f}'


@measurements.register('3 memory')
def measure_memory() -> list[Row]:
    """Traces the memory of held flows, with two record keepers, and records."""
    view = make_view()
    table = make_finder(view, 0).table
    ids = [target.member_id for target in view.targets(SERVICE_NAME)]
    other = candidate_of(view.targets(SERVICE_NAME)[1])

    def hold(number: int) -> None:
        flow = Flow(float(number), float(number + 1))
        flow.add_notified(ids[number % 3])
        flow.add_notified(ids[number % 3 + 1])
        table.held[number.to_bytes(13)] = flow

    def keep(number: int) -> None:
        record = Record(other, 1, number, float(number))
        table.records[number.to_bytes(13)] = record

    return [
        ('held flow, bytes', traced_bytes(hold)),
        ('kept record, bytes', traced_bytes(keep)),
    ]


class halt(Event):  # noqa: N801 - circuits derives event names from classes
    """Stops the loop of an idle process."""


class LoopStopper(Component):
    """Stops the loop when its timer fires."""

    channel = 'loop_stopper'

    @handler('halt')
    def _on_halt(self) -> None:
        self.root.stop()


def idle_share(role: str) -> float:
    """Returns the share of a core that an idle process of a role uses."""
    context: Context = make_context(process_settings(role))
    root = build_root(context)
    EPoll().register(root)
    LoopStopper().register(root)
    SteadyTimer(_IDLE_S.value, halt(), 'loop_stopper').register(root)
    start_s = perf_counter()
    start_cpu_s = process_time()
    root.run()
    share = (process_time() - start_cpu_s) / (perf_counter() - start_s)
    root.release()
    return share


@measurements.register('4 idle')
def measure_idle() -> list[Row]:
    """Measures each role without traffic and without peers."""
    return [
        (f'idle {role}, share of a core', f'{idle_share(role):.2%}')
        for role in ('balancer', 'agent')
    ]


def _run(_arguments: list[str]) -> int:
    rows = [row for _name, measure in measurements for row in measure()]
    sys.stdout.write(f'{tabulate(rows, disable_numparse=True)}\n')
    return 0


if __name__ == '__main__':
    app.run(_run)
