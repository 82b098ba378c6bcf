"""Long randomised runs of flow placement and search, in virtual time.

Prints one row for each seed and a row of totals: established flows that
broke, that were given up with a data centre and that were lost with a target,
and the mean number of extra hops of packets.
"""

import sys
from collections import Counter
from random import Random

from absl import app, flags
from attrs import define, evolve, field
from dpkt.tcp import TH_ACK, TH_FIN, TH_SYN
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.invariant import enable_strict_mode, require
from cumindrift.membership.member import MemberState
from cumindrift.traffic.action import Deliver, Drop, Refuse
from cumindrift.traffic.packet import peek_flow_key, tcp_packet, udp_packet
from lab.flowagent import SimulatedAgent
from lab.flowchange import changes
from lab.flowworld import (
    DATA_CENTRES,
    SERVICES,
    VIEW_DELAY_MAX_S,
    FlowSimulation,
)
from lab.network import VirtualNetwork

_SEED = flags.DEFINE_integer('seed', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to run.')
_EVENTS = flags.DEFINE_integer('events', 200_000, 'Messages in each run.')
_POLICY = flags.DEFINE_string('policy', 'lightest', 'Placement policy.')
_NO_RECORDS = flags.DEFINE_bool('no_records', False, 'Drop all holder records.')
_PLAIN = flags.DEFINE_bool(
    'plain', False, 'Rendezvous hashing only, no search.'
)

TARGET_COUNTS = {'kaynti': 7, 'asiakirja': 4}
BALANCER_COUNT = 3
FLOW_COUNT = 150
FLOW_LIFE_S = 30.0
PACKET_PERIOD_S = 0.25
CHANGE_PERIOD_S = 2.0
RETRY_S = 0.3
OPEN_TRIES_MAX = 20
UNREACHABLE_S = 8.0
LOSS_SHARE = 0.05
DOUBLE_SHARE = 0.02
JITTER_S = 0.004
RESPONSE_DELAY_S = 0.002
TARGETS_MIN = 3


@define(slots=True, eq=False)
class SimulatedFlow:
    """One caller's flow and the agent that holds it."""

    service: str
    opening_packet: bytes
    data_packet: bytes
    closing_packet: bytes
    ends_s: float
    holder: str = ''
    is_open: bool = False
    is_finished: bool = False
    open_tries: int = 0
    last_delivered_s: float = 0.0
    last_sent_s: float = 0.0
    cold: dict[int, int] = field(factory=dict)


@define(slots=True, eq=False)
class FlowRun:
    """Drives the callers and the changes of one simulation.

    Every packet that is delivered must reach the agent that holds its flow;
    an established flow that does not is counted as broken.
    """

    simulation: FlowSimulation
    random: Random
    has_changes: bool = True
    flows: dict[bytes, SimulatedFlow] = field(factory=dict)
    counts: Counter[str] = field(factory=Counter)
    _flow_number: int = 0
    _leaving: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Adds targets and balancers and schedules the callers."""
        simulation = self.simulation
        simulation.on_delivered = self.on_delivered
        simulation.on_refused = self.on_refused
        simulation.on_dropped = self.on_dropped
        for service, count in TARGET_COUNTS.items():
            for number in range(count):
                centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                simulation.add_agent(service, centre)
        for _ in range(BALANCER_COUNT):
            simulation.add_balancer()
        start_s = VIEW_DELAY_MAX_S + 1
        for _ in range(FLOW_COUNT):
            simulation.network.at(
                start_s + self.random.random() * 2,
                self.open_flow,
            )
        if self.has_changes:
            simulation.network.at(start_s + 2 * CHANGE_PERIOD_S, self.change)

    def run(self, events: int) -> None:
        """Runs until at least `events` messages have been sent."""
        network = self.simulation.network
        while network.sent_count < events:
            network.run(network.now_s + 1.0)

    def open_flow(self) -> None:
        """Starts a caller with a flow from an address of its own."""
        self._flow_number += 1
        number = self._flow_number
        source = Endpoint(f'10.1.{number >> 8 & 0xFF}.{number & 0xFF}', 4000)
        source = evolve(source, port=4000 + (number >> 16))
        service = self.random.choice(tuple(SERVICES))
        target = SERVICES[service].endpoint()
        if SERVICES[service].protocol == 'tcp':
            packets = [
                tcp_packet(source, target, marks)
                for marks in (TH_SYN, TH_ACK, TH_FIN | TH_ACK)
            ]
        else:
            packet = udp_packet(source, target, b'whole')
            packets = [packet, packet, packet]
        now_s = self.simulation.network.now_s
        life_s = self.random.expovariate(1 / FLOW_LIFE_S)
        flow = SimulatedFlow(service, *packets, ends_s=now_s + life_s)
        self.flows[peek_flow_key(packets[0])] = flow
        self.counts['opens'] += 1
        self._try_open(flow)

    def on_delivered(self, agent: SimulatedAgent, action: Deliver) -> None:
        """Checks that a packet was delivered at the holder of its flow."""
        flow = self.flows.get(action.flow_key)
        if flow is None or flow.is_finished:
            return
        name = agent.member.name
        require(
            agent.member.service == flow.service,
            'packet reached another service',
            agent=name,
        )
        require(
            peek_flow_key(action.packet) == action.flow_key,
            'packet of another flow',
            agent=name,
        )
        if flow.is_open and name == flow.holder:
            self.counts['delivered'] += 1
            flow.last_delivered_s = self.simulation.network.now_s
        elif flow.is_open:
            self._on_wrong_agent(flow, action, name)
        else:
            self._return_response(flow, name)

    def on_refused(self, action: Refuse) -> None:
        """Counts a refusal; an established flow that is refused broke."""
        flow = self.flows.get(peek_flow_key(action.packet))
        if flow is None or flow.is_finished or not flow.is_open:
            self.counts['refused opens'] += 1
            return
        self._count_broken(flow, f'refused {action.code.name}')

    def on_dropped(self, _action: Drop) -> None:
        """Ignores a dropped packet; the caller sends another one later."""

    def change(self) -> None:
        """Makes one random change and schedules the next."""
        network = self.simulation.network
        name = self.random.choice(changes.names())
        changes.get(name)(self)
        wait_s = self.random.expovariate(1 / CHANGE_PERIOD_S)
        network.at(network.now_s + wait_s, self.change)

    def serving_agents(self, service: str = '') -> list[str]:
        """Returns the serving agents in data centres that are in."""
        return [
            name
            for name, agent in self.simulation.agents.items()
            if name in self.simulation.members
            and name not in self._leaving
            and service in {'', agent.member.service}
            and agent.member.data_centre not in self.simulation.centres_out
        ]

    def pick_to_stop(self) -> str:
        """Picks an agent to stop, or '' if too few others would remain."""
        serving_agents = self.serving_agents()
        if not serving_agents:
            return ''
        chosen = self.random.choice(serving_agents)
        service = self.simulation.members[chosen].service
        return chosen if len(self.serving_agents(service)) > TARGETS_MIN else ''

    def start_leaving(self, name: str) -> None:
        """Publishes that an agent is draining."""
        self._leaving.add(name)
        self.simulation.change_state(name, MemberState.DRAINING)

    def end_leaving(self, name: str) -> None:
        """Makes an agent's name available for later changes."""
        self._leaving.discard(name)

    def end_flows_of(self, name: str) -> None:
        """Counts the flows of a killed target as lost."""
        for flow in list(self.flows.values()):
            if flow.holder == name and not flow.is_finished:
                self._finish(flow, 'lost')

    def end_flows_in(self, centre: str) -> None:
        """Gives up the flows of a data centre, also of stopped agents."""
        for flow in list(self.flows.values()):
            if f'-{centre}-' in flow.holder and not flow.is_finished:
                self._finish(flow, 'given up')

    def _try_open(self, flow: SimulatedFlow) -> None:
        if flow.is_finished or flow.is_open:
            return
        flow.open_tries += 1
        if flow.open_tries > OPEN_TRIES_MAX:
            self._finish(flow, 'not opened')
            return
        self._send(flow, flow.opening_packet)
        network = self.simulation.network
        network.at(network.now_s + RETRY_S, lambda: self._try_open(flow))

    def _return_response(self, flow: SimulatedFlow, name: str) -> None:
        """Delivers the target's response to the caller, or loses it."""
        network = self.simulation.network
        if self.random.random() < LOSS_SHARE:
            return
        network.at(
            network.now_s + RESPONSE_DELAY_S,
            lambda: self._establish(flow, name),
        )

    def _establish(self, flow: SimulatedFlow, name: str) -> None:
        if flow.is_open or flow.is_finished:
            return
        flow.is_open = True
        flow.holder = name
        flow.last_delivered_s = self.simulation.network.now_s
        self.counts['opened'] += 1
        agent = self.simulation.agents.get(name)
        if agent is None:
            self._finish(flow, 'lost')
        elif agent.member.data_centre in self.simulation.centres_out:
            self._finish(flow, 'given up')
        else:
            self._send_next(flow)

    def _send_next(self, flow: SimulatedFlow) -> None:
        if flow.is_finished:
            return
        now_s = self.simulation.network.now_s
        if now_s >= flow.ends_s:
            self._send(flow, flow.closing_packet)
            self._finish(flow, 'closed')
            return
        if now_s - flow.last_delivered_s > UNREACHABLE_S:
            self._count_broken(flow, 'unreachable')
            return
        self.counts['checks'] += 1
        self._send(flow, flow.data_packet)
        wait_s = self.random.expovariate(1 / PACKET_PERIOD_S)
        self.simulation.network.at(
            now_s + wait_s, lambda: self._send_next(flow)
        )

    def _send(self, flow: SimulatedFlow, packet: bytes) -> None:
        balancer = self.random.choice(self.simulation.balancers)
        flow.last_sent_s = self.simulation.network.now_s
        self.simulation.send_packet(balancer, packet)

    def _on_wrong_agent(
        self,
        flow: SimulatedFlow,
        action: Deliver,
        name: str,
    ) -> None:
        if (
            flow.opening_packet is not flow.data_packet
            and action.packet == flow.opening_packet
        ):
            self.counts['opened twice'] += 1
            return
        self._count_broken(flow, f'delivered at {name}, not {flow.holder}')

    def _count_broken(self, flow: SimulatedFlow, reason: str) -> None:
        self.counts[f'broken: {reason.split(maxsplit=1)[0]}'] += 1
        self._finish(flow, 'broken')

    def _finish(self, flow: SimulatedFlow, counter: str) -> None:
        flow.is_finished = True
        self.counts[counter] += 1
        now_s = self.simulation.network.now_s
        self.simulation.network.at(now_s + RETRY_S, self.open_flow)


def make_run(
    seed: int,
    policy: str = 'lightest',
    *,
    has_records: bool = True,
    is_hash_only: bool = False,
) -> FlowRun:
    """Returns a run that is ready to start."""
    random = Random(seed)
    network = VirtualNetwork(
        random,
        jitter_s=JITTER_S,
        loss_share=LOSS_SHARE,
        double_share=DOUBLE_SHARE,
    )
    simulation = FlowSimulation(
        random, network, policy, has_records, is_hash_only
    )
    return FlowRun(simulation, random)


COLUMNS = (
    'opened',
    'checks',
    'delivered',
    'broken',
    'given up',
    'lost',
    'left',
    'restarts',
    'deaths',
    'centres out',
    'opened twice',
    'not opened',
)


def row_of(counts: Counter[str]) -> list[float]:
    """Returns the counts of COLUMNS and the mean extra hops of a packet."""
    hops = [
        round(counts[f'{kind} hops'] / max(counts[f'{kind} packets'], 1), 3)
        for kind in ('cold', 'warm')
    ]
    return [*(counts[column] for column in COLUMNS), *hops]


def _run(_arguments: list[str]) -> int:
    enable_strict_mode()
    total: Counter[str] = Counter()
    rows = []
    for seed in range(_SEED.value, _SEED.value + _SEEDS.value):
        run = make_run(
            seed,
            _POLICY.value,
            has_records=not _NO_RECORDS.value,
            is_hash_only=_PLAIN.value,
        )
        run.run(_EVENTS.value)
        counts = run.counts + run.simulation.counts
        rows.append([seed, *row_of(counts)])
        total.update(counts)
    rows.append(['all', *row_of(total)])
    headers = ['seed', *COLUMNS, 'hops cold', 'hops warm']
    sys.stdout.write(f'{tabulate(rows, headers)}\n')
    others = sorted(set(total) - set(COLUMNS))
    sys.stdout.write(f'{tabulate([(name, total[name]) for name in others])}\n')
    return 0


if __name__ == '__main__':
    app.run(_run)
