"""Simulates flow routing with the real balancer and agent cores."""

from collections import Counter
from functools import partial
from random import Random
from typing import Any

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.invariant import require
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.view import ServiceName, View
from cumindrift.outcome import Dropped
from cumindrift.registry import Registry
from cumindrift.settings.tree import Service, Snapshot, Team, Tree
from cumindrift.traffic.action import (
    Action,
    Deliver,
    Drop,
    ForwardPacket,
    Refuse,
    SendMessage,
)
from cumindrift.traffic.candidates import candidate_of
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.message import (
    FlowHint,
    HolderRecord,
    LoadReport,
    SteeredPacket,
)
from cumindrift.traffic.placement import policies
from cumindrift.traffic.steering import BalancerCore, OpenAt, to_steered_packet
from lab.flowagent import SimulatedAgent
from lab.network import VirtualNetwork

TEAM = 'todistajat'
DATA_CENTRES = ('hel-a', 'esp-b', 'van-c')
SERVICES = {
    'kaynti': Service('10.20.0.1', 700, 'tcp', 'packets'),
    'asiakirja': Service('10.20.0.2', 700, 'udp', 'packets'),
}
TICK_S = 0.05
VIEW_DELAY_MAX_S = 3.0
CONNECTIONS_MAX = 400
_PPM = 1_000_000
_PEER_PORT = 7100


@define(slots=True, eq=False)
class SimulatedBalancer:
    """A balancer's core, attached to the virtual network."""

    member: Member
    core: BalancerCore
    view_number: int = 0


@define(slots=True, eq=False)
class FlowSimulation:
    """Balancers and agents whose membership views differ in age.

    Each process receives a new view after a random delay. Whoever drives the
    simulation sets `on_delivered`, `on_refused` and `on_dropped`, which are
    called with the outcome of each packet.
    """

    random: Random
    network: VirtualNetwork
    policy: str = 'lightest'
    has_records: bool = True
    is_hash_only: bool = False
    members: dict[str, Member] = field(factory=dict)
    centres_out: frozenset[str] = frozenset()
    out_since_s: dict[str, float] = field(factory=dict)
    views: list[View] = field(factory=lambda: [View()])
    agents: dict[str, SimulatedAgent] = field(factory=dict)
    balancers: list[SimulatedBalancer] = field(factory=list)
    counts: Counter[str] = field(factory=Counter)
    on_delivered: Any = None
    on_refused: Any = None
    on_dropped: Any = None
    _member_count: int = 0
    _last_steering: dict[tuple[int, bytes], tuple[View, bool]] = field(
        factory=dict
    )

    def add_agent(self, service: str, centre: str) -> str:
        """Adds a target with its agent; returns the agent's name."""
        name = f'{service}-{centre}-{self._member_count}'
        self.start_agent(self._make_member(name, 'agent', centre, service))
        return name

    def start_agent(self, member: Member) -> None:
        """Starts an incarnation of an agent and publishes its record."""

        def probe(flow_count: int) -> LoadReport:
            load = flow_count * _PPM // CONNECTIONS_MAX
            can_take = flow_count < CONNECTIONS_MAX
            return LoadReport(member.member_id, flow_count, load, can_take)

        finder = FlowFinder(
            candidate_of(member),
            ServiceName(member.team, member.service),
            policies.get(self.policy),
            probe,
            member.incarnation,
        )
        finder.opener.random = self.random
        agent = SimulatedAgent(member, finder, is_hash_only=self.is_hash_only)
        self.agents[member.name] = agent
        self.network.receivers[member.endpoint] = lambda message, now_s: (
            self._deliver_to_agent(agent, message, now_s)
        )
        self._tick(agent)
        self.members[member.name] = member
        self.publish()

    def stop_agent(self, name: str) -> SimulatedAgent:
        """Ends an agent's process without publishing a view."""
        agent = self.agents.pop(name)
        self.network.receivers.pop(agent.endpoint)
        return agent

    def add_balancer(self) -> None:
        """Adds a balancer with the newest view and no flows."""
        name = f'balancer-{self._member_count}'
        member = self._make_member(name, 'balancer', DATA_CENTRES[0], '')
        core = BalancerCore(candidate_of(member))
        core.on_settings(Snapshot(1, Tree(teams={TEAM: Team(SERVICES)})))
        balancer = SimulatedBalancer(member, core)
        self.balancers.append(balancer)
        self.network.receivers[member.endpoint] = lambda message, _now_s: (
            self._deliver_hint(balancer, message)
        )
        self._apply_view(balancer, len(self.views) - 1)

    def change_state(self, name: str, state: MemberState) -> None:
        """Publishes a member's state; the member applies it at once."""
        member = evolve(self.members[name], state=state)
        self.members[name] = member
        if state >= MemberState.LEFT:
            self.members.pop(name)
        self.publish()

    def set_centre(self, centre: str, *, is_out: bool) -> None:
        """Marks a data centre as out or as in."""
        if is_out:
            self.centres_out |= {centre}
            self.out_since_s[centre] = self.network.now_s
        else:
            self.centres_out -= {centre}
            self.out_since_s.pop(centre)
        self.publish()

    def publish(self) -> None:
        """Builds a view, which each process applies after its own delay.

        The delay is random, up to VIEW_DELAY_MAX_S; members that changed
        apply the view at once.
        """
        former = set(self.views[-1].members)
        self.views.append(View(self.members.values(), self.centres_out))
        number = len(self.views) - 1
        changed = {
            name
            for name, member in self.members.items()
            if member.member_id not in former
            or member is not self.views[-2].members[member.member_id]
        }
        for process in (*self.agents.values(), *self.balancers):
            is_own = process.member.name in changed
            delay_s = 0 if is_own else self.random.random() * VIEW_DELAY_MAX_S
            self.network.at(
                self.network.now_s + delay_s,
                partial(self._apply_view, process, number),
            )

    def send_packet(self, balancer: SimulatedBalancer, packet: bytes) -> bool:
        """Gives a packet to a balancer; returns False if it is dropped."""
        decision = balancer.core.steer(packet)
        if isinstance(decision, Dropped):
            self.counts[f'balancer drop {decision.code.name}'] += 1
            return False
        if isinstance(decision, OpenAt):
            endpoint = decision.endpoint
            message: Any = decision.search
        else:
            endpoint = decision.entry.endpoint
            message = to_steered_packet(decision, packet)
            self._track_view_reuse(balancer, message.route.flow_key)
        self.check_not_out(endpoint, 'balancer steers to what is out')
        self.network.send(balancer.member.endpoint, endpoint, message)
        return True

    def perform(self, agent: SimulatedAgent, actions: list[Action]) -> None:
        """Performs an agent's actions."""
        for action in actions:
            action_handlers.get(type(action).__name__)(self, agent, action)

    def send(self, agent: SimulatedAgent, peer: Endpoint, message: Any) -> None:
        """Sends an agent's message; drops records if records are off."""
        if isinstance(message, HolderRecord) and not self.has_records:
            return
        self.network.send(agent.endpoint, peer, message)

    def _make_member(
        self,
        name: str,
        role: str,
        centre: str,
        service: str,
    ) -> Member:
        self._member_count += 1
        number = self._member_count
        ip = f'127.1.{number // 250}.{number % 250 + 1}'
        return Member(
            name,
            role,
            'fi-south',
            centre,
            Endpoint(ip, _PEER_PORT),
            incarnation=1,
            team=TEAM if service else '',
            service=service,
        )

    def _apply_view(
        self, process: SimulatedAgent | SimulatedBalancer, number: int
    ) -> None:
        if process.view_number >= number:
            return
        process.view_number = number
        view = self.views[number]
        if isinstance(process, SimulatedBalancer):
            process.core.on_view(view)
        elif process is self.agents.get(process.member.name):
            now_s = self.network.now_s
            self.perform(process, process.finder.on_view(view, now_s))

    def _tick(self, agent: SimulatedAgent) -> None:
        if self.agents.get(agent.member.name) is not agent:
            return
        now_s = self.network.now_s
        self.perform(agent, agent.finder.tick(now_s))
        self.network.at(now_s + TICK_S, lambda: self._tick(agent))

    def _deliver_to_agent(
        self, agent: SimulatedAgent, message: Any, now_s: float
    ) -> None:
        actions = agent.receive(message, now_s)
        if isinstance(message, SteeredPacket) and actions:
            self._count_hops(message, actions[0])
        self.perform(agent, actions)

    def _track_view_reuse(
        self, balancer: SimulatedBalancer, flow_key: bytes
    ) -> None:
        """Stores whether the balancer steers the flow by the same view again.

        Such packets are counted as warm: since the flow's packet before, the
        balancer may have received a hint that names the holder.
        """
        pair = (balancer.member.member_id, flow_key)
        former = self._last_steering.get(pair)
        is_warm = former is not None and former[0] is balancer.core.view
        self._last_steering[pair] = (balancer.core.view, is_warm)

    def _count_hops(self, steered: SteeredPacket, action: Action) -> None:
        if not isinstance(action, Deliver):
            return
        pair = (steered.route.balancer.member_id, steered.route.flow_key)
        is_warm = self._last_steering.get(pair, (None, False))[1]
        kind = 'warm' if is_warm else 'cold'
        self.counts[f'{kind} packets'] += 1
        self.counts[f'{kind} hops'] += steered.hop_count

    def _deliver_hint(
        self, balancer: SimulatedBalancer, hint: FlowHint
    ) -> None:
        if not self.is_hash_only:
            balancer.core.on_hint(hint)

    def check_not_out(self, endpoint: Endpoint, what: str) -> None:
        """Requires that no packet goes to a data centre that is out.

        They are tolerated for VIEW_DELAY_MAX_S after it was taken out, until
        every process has the new view.
        """
        since_s = min(self.out_since_s.values(), default=None)
        if since_s is None or self.network.now_s - since_s <= VIEW_DELAY_MAX_S:
            return
        for agent in self.agents.values():
            if agent.endpoint == endpoint:
                require(
                    agent.member.data_centre not in self.centres_out,
                    what,
                    agent=agent.member.name,
                )


action_handlers: Registry[Any] = Registry('action handler')


@action_handlers.register('ForwardPacket')
def _forward_packet(
    simulation: FlowSimulation,
    agent: SimulatedAgent,
    action: ForwardPacket,
) -> None:
    simulation.send(agent, action.endpoint, action.steered)


@action_handlers.register('SendMessage')
def _send_message(
    simulation: FlowSimulation,
    agent: SimulatedAgent,
    action: SendMessage,
) -> None:
    simulation.send(agent, action.endpoint, action.message)


@action_handlers.register('Deliver')
def _deliver(
    simulation: FlowSimulation, agent: SimulatedAgent, action: Deliver
) -> None:
    simulation.check_not_out(agent.endpoint, 'delivered while out')
    simulation.on_delivered(agent, action)


@action_handlers.register('Refuse')
def _refuse(
    simulation: FlowSimulation, _agent: SimulatedAgent, action: Refuse
) -> None:
    simulation.on_refused(action)


@action_handlers.register('Drop')
def _drop(
    simulation: FlowSimulation, _agent: SimulatedAgent, action: Drop
) -> None:
    simulation.counts[f'drop {action.code.name}'] += 1
    simulation.on_dropped(action)
