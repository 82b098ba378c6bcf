"""Long randomised runs of finding and placing, in virtual time.

Prints one row for each seed and their sum: established flows broken, given
up with a data centre, lost with a death, and the extra hops of packets.
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
from lab.flowchange import changes
from lab.flowworld import (
    DATA_CENTRES,
    SERVICES,
    VIEW_DELAY_S,
    FlowWorld,
    LabAgent,
)
from lab.network import VirtualNetwork

_SEED = flags.DEFINE_integer('seed', 1, 'First seed.')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to run.')
_EVENTS = flags.DEFINE_integer('events', 200_000, 'Messages in each run.')
_POLICY = flags.DEFINE_string('policy', 'lightest', 'Placement policy.')
_NO_RECORDS = flags.DEFINE_bool('no_records', False, 'Lose all records.')
_PLAIN = flags.DEFINE_bool('plain', False, 'Home only, without a search.')

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
ANSWER_S = 0.002
TARGETS_MIN = 3


@define(slots=True, eq=False)
class LabFlow:
    """One caller's flow, and where it was established."""

    service: str
    opening: bytes
    within: bytes
    ending: bytes
    ends_s: float
    holder: str = ''
    is_open: bool = False
    is_over: bool = False
    open_tries: int = 0
    reached_s: float = 0.0
    sent_s: float = 0.0
    cold: dict[int, int] = field(factory=dict)


@define(slots=True, eq=False)
class FlowRun:
    """Drives callers and changes through a world; one for each seed."""

    world: FlowWorld
    random: Random
    has_changes: bool = True
    flows: dict[bytes, LabFlow] = field(factory=dict)
    counts: Counter[str] = field(factory=Counter)
    _flow_number: int = 0
    _leaving: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Adds targets and balancers, and starts the callers."""
        world = self.world
        world.on_delivered = self.on_delivered
        world.on_refused = self.on_refused
        world.on_dropped = self.on_dropped
        for service, count in TARGET_COUNTS.items():
            for number in range(count):
                centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                world.add_agent(service, centre)
        for _ in range(BALANCER_COUNT):
            world.add_balancer()
        start_s = VIEW_DELAY_S + 1
        for _ in range(FLOW_COUNT):
            world.network.at(
                start_s + self.random.random() * 2,
                self.open_flow,
            )
        if self.has_changes:
            world.network.at(start_s + 2 * CHANGE_PERIOD_S, self.change)

    def run(self, events: int) -> None:
        """Runs until so many messages were sent."""
        network = self.world.network
        while network.sent_count < events:
            network.run(network.now_s + 1.0)

    def open_flow(self) -> None:
        """Starts a caller with a flow of its own address."""
        self._flow_number += 1
        number = self._flow_number
        source = Endpoint(f'10.1.{number >> 8 & 0xFF}.{number & 0xFF}', 4000)
        source = evolve(source, port=4000 + (number >> 16))
        service = self.random.choice(tuple(SERVICES))
        target = SERVICES[service].endpoint()
        if SERVICES[service].protocol == 'tcp':
            made = [
                tcp_packet(source, target, marks)
                for marks in (TH_SYN, TH_ACK, TH_FIN | TH_ACK)
            ]
        else:
            whole = udp_packet(source, target, b'whole')
            made = [whole, whole, whole]
        now_s = self.world.network.now_s
        life_s = self.random.expovariate(1 / FLOW_LIFE_S)
        flow = LabFlow(service, *made, ends_s=now_s + life_s)
        self.flows[peek_flow_key(made[0])] = flow
        self.counts['opens'] += 1
        self._try_open(flow)

    def on_delivered(self, agent: LabAgent, action: Deliver) -> None:
        """Checks where a packet arrived."""
        flow = self.flows.get(action.flow_key)
        if flow is None or flow.is_over:
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
            flow.reached_s = self.world.network.now_s
        elif flow.is_open:
            self._deliver_elsewhere(flow, action, name)
        else:
            self._answer(flow, name)

    def on_refused(self, action: Refuse) -> None:
        """Counts a refusal; of an established flow it is a broken one."""
        flow = self.flows.get(peek_flow_key(action.packet))
        if flow is None or flow.is_over or not flow.is_open:
            self.counts['refused opens'] += 1
            return
        self._break(flow, f'refused {action.code.name}')

    def on_dropped(self, _action: Drop) -> None:
        """Leaves a dropped packet to the caller's next one."""

    def change(self) -> None:
        """Makes one change and plans the next."""
        network = self.world.network
        name = self.random.choice(changes.names())
        changes.get(name)(self)
        wait_s = self.random.expovariate(1 / CHANGE_PERIOD_S)
        network.at(network.now_s + wait_s, self.change)

    def servers(self, service: str = '') -> list[str]:
        """Returns the agents that serve, in centres that are in."""
        return [
            name
            for name, agent in self.world.agents.items()
            if name in self.world.members
            and name not in self._leaving
            and service in {'', agent.member.service}
            and agent.member.data_centre not in self.world.centres_out
        ]

    def pick_to_stop(self) -> str:
        """Picks an agent whose service keeps enough others, or nobody."""
        servers = self.servers()
        if not servers:
            return ''
        chosen = self.random.choice(servers)
        service = self.world.members[chosen].service
        return chosen if len(self.servers(service)) > TARGETS_MIN else ''

    def start_leaving(self, name: str) -> None:
        """Announces that an agent drains."""
        self._leaving.add(name)
        self.world.change_state(name, MemberState.DRAINING)

    def end_leaving(self, name: str) -> None:
        """Lets a name be chosen again."""
        self._leaving.discard(name)

    def end_flows_of(self, name: str) -> None:
        """Ends the flows that died with their holder."""
        for flow in list(self.flows.values()):
            if flow.holder == name and not flow.is_over:
                self._finish(flow, 'lost')

    def end_flows_in(self, centre: str) -> None:
        """Gives up the flows of a data centre, of agents away too."""
        for flow in list(self.flows.values()):
            if f'-{centre}-' in flow.holder and not flow.is_over:
                self._finish(flow, 'given up')

    def _try_open(self, flow: LabFlow) -> None:
        if flow.is_over or flow.is_open:
            return
        flow.open_tries += 1
        if flow.open_tries > OPEN_TRIES_MAX:
            self._finish(flow, 'not opened')
            return
        self._send(flow, flow.opening)
        network = self.world.network
        network.at(network.now_s + RETRY_S, lambda: self._try_open(flow))

    def _answer(self, flow: LabFlow, name: str) -> None:
        """Brings the target's answer to the caller, unless it is lost."""
        network = self.world.network
        if self.random.random() < LOSS_SHARE:
            return
        network.at(
            network.now_s + ANSWER_S,
            lambda: self._establish(flow, name),
        )

    def _establish(self, flow: LabFlow, name: str) -> None:
        if flow.is_open or flow.is_over:
            return
        flow.is_open = True
        flow.holder = name
        flow.reached_s = self.world.network.now_s
        self.counts['opened'] += 1
        agent = self.world.agents.get(name)
        if agent is None:
            self._finish(flow, 'lost')
        elif agent.member.data_centre in self.world.centres_out:
            self._finish(flow, 'given up')
        else:
            self._send_next(flow)

    def _send_next(self, flow: LabFlow) -> None:
        if flow.is_over:
            return
        now_s = self.world.network.now_s
        if now_s >= flow.ends_s:
            self._send(flow, flow.ending)
            self._finish(flow, 'closed')
            return
        if now_s - flow.reached_s > UNREACHABLE_S:
            self._break(flow, 'unreachable')
            return
        self.counts['checks'] += 1
        self._send(flow, flow.within)
        wait_s = self.random.expovariate(1 / PACKET_PERIOD_S)
        self.world.network.at(now_s + wait_s, lambda: self._send_next(flow))

    def _send(self, flow: LabFlow, packet: bytes) -> None:
        balancer = self.random.choice(self.world.balancers)
        flow.sent_s = self.world.network.now_s
        self.world.send_packet(balancer, packet)

    def _deliver_elsewhere(
        self,
        flow: LabFlow,
        action: Deliver,
        name: str,
    ) -> None:
        if flow.opening is not flow.within and action.packet == flow.opening:
            self.counts['opened twice'] += 1
            return
        self._break(flow, f'delivered at {name}, not {flow.holder}')

    def _break(self, flow: LabFlow, why: str) -> None:
        self.counts[f'broken: {why.split(maxsplit=1)[0]}'] += 1
        self._finish(flow, 'broken')

    def _finish(self, flow: LabFlow, counter: str) -> None:
        flow.is_over = True
        self.counts[counter] += 1
        now_s = self.world.network.now_s
        self.world.network.at(now_s + RETRY_S, self.open_flow)


def make_run(
    seed: int,
    policy: str = 'lightest',
    *,
    has_records: bool = True,
    is_plain: bool = False,
) -> FlowRun:
    """Builds a run, ready to be run."""
    random = Random(seed)
    network = VirtualNetwork(
        random,
        jitter_s=JITTER_S,
        loss_share=LOSS_SHARE,
        double_share=DOUBLE_SHARE,
    )
    world = FlowWorld(random, network, policy, has_records, is_plain)
    return FlowRun(world, random)


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
    """Returns the columns, with the mean extra hops of a packet."""
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
            is_plain=_PLAIN.value,
        )
        run.run(_EVENTS.value)
        counts = run.counts + run.world.counts
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
