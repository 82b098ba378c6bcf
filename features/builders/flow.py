"""Builds agents of one service that exchange messages in memory."""

from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.view import ServiceName, View
from cumindrift.traffic.action import (
    Action,
    Deliver,
    Drop,
    ForwardPacket,
    Refuse,
    SendMessage,
)
from cumindrift.traffic.candidates import candidate_of, candidates_in
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.message import (
    FlowHint,
    FlowRoute,
    HandoverAck,
    HandoverPart,
    HandoverRequest,
    HolderRecord,
    LoadReport,
    OpenSearch,
    PacketKind,
    RecordAck,
    SteeredPacket,
)
from cumindrift.traffic.placement import policies

NAME = ServiceName('todistajat', 'kaynti')
CENTRES = ('hel-a', 'esp-b', 'van-c')
CAPACITY = 5000
TICK_S = 0.05


def member(name: str, centre: str = '', service: str = 'kaynti') -> Member:
    """Returns an agent; the last letter of its name sets its data centre."""
    number = ord(name[-1])
    return Member(
        name,
        'agent',
        'fi-south',
        centre or CENTRES[number % len(CENTRES)],
        Endpoint(f'127.9.0.{number}', 7100),
        1,
        team=NAME.team,
        service=service,
    )


def key_of(number: int) -> bytes:
    """Returns a flow key."""
    return b'flow' + number.to_bytes(9)


BALANCER = candidate_of(member('balancer-z', service=''))


@define(slots=True, eq=False, repr=False)
class FlowBench:
    """Flow finders that share a clock and deliver messages at once."""

    now_s: float = 100.0
    members: dict[str, Member] = field(factory=dict)
    finders: dict[str, FlowFinder] = field(factory=dict)
    loads: dict[str, int] = field(factory=dict)
    full: set[str] = field(factory=set)
    delivered: list[tuple[str, bytes]] = field(factory=list)
    refused: list[int] = field(factory=list)
    dropped: list[int] = field(factory=list)
    hints: list[FlowHint] = field(factory=list)
    hop_counts: list[int] = field(factory=list)
    sent_count: int = 0
    # Whether a message is lost, or delivered twice.
    is_lost: Callable[[Any], bool] = lambda _message: False
    is_duplicated: Callable[[Any], bool] = lambda _message: False
    lost: list[Any] = field(factory=list)

    def add(self, *names: str) -> None:
        """Adds agents and gives all agents the newest view."""
        for name in names:
            self.members[name] = member(name)
        for name in names:
            self.start(name)
        self.publish_view()

    def start(self, name: str) -> None:
        """Starts an incarnation of an agent."""
        agent = self.members[name]

        def probe(flow_count: int) -> LoadReport:
            load = self.loads.get(name, flow_count)
            can_take = name not in self.full and flow_count < CAPACITY
            return LoadReport(agent.member_id, flow_count, load, can_take)

        self.finders[name] = FlowFinder(
            candidate_of(agent),
            NAME,
            policies.get('lightest'),
            probe,
            agent.incarnation,
        )

    def restart(self, name: str) -> None:
        """Starts the next incarnation of an agent and updates all views."""
        agent = self.members[name]
        self.members[name] = evolve(agent, incarnation=agent.incarnation + 1)
        self.start(name)
        self.publish_view()

    def change(self, name: str, state: MemberState) -> None:
        """Changes an agent's state and updates all views."""
        self.members[name] = evolve(self.members[name], state=state)
        self.publish_view()

    def view(self, out: tuple[str, ...] = ()) -> View:
        """Returns the view of all members."""
        return View(self.members.values(), frozenset(out))

    def publish_view(self, out: tuple[str, ...] = ()) -> None:
        """Gives all agents the newest view."""
        for finder in self.finders.values():
            finder.on_view(self.view(out), self.now_s)

    def settle(self) -> None:
        """Advances the clock past the grace period of former views."""
        self.wait(0.2)
        self.now_s += 32.0
        self.wait(0.2)

    def wait(self, seconds: float) -> None:
        """Advances the clock with a tick of every agent per step."""
        for _ in range(int(seconds / TICK_S)):
            self.now_s += TICK_S
            for name, finder in list(self.finders.items()):
                self.run_actions(name, finder.tick(self.now_s))

    def route(self, key: bytes, view: View | None = None) -> FlowRoute:
        """Returns a flow's route as a balancer with `view` computes it."""
        seen = view or self.view()
        return FlowRoute(
            NAME.team,
            NAME.service,
            key,
            seen.service_version(NAME),
            candidates_in(seen, NAME, key),
            BALANCER,
        )

    def open(self, key: bytes, view: View | None = None) -> str:
        """Opens a flow; returns the name of its holder, or ''."""
        route = self.route(key, view)
        search = OpenSearch(route, 0, 0, False, (), b'open')
        self.deliver(route.candidates[0].endpoint(), search)
        return self.holder(key)

    def holder(self, key: bytes) -> str:
        """Returns the names of a flow's holders, joined by commas."""
        return ','.join(
            name
            for name, finder in self.finders.items()
            if key in finder.table.held
        )

    def send(
        self,
        key: bytes,
        view: View | None = None,
        to: str = '',
        kind: PacketKind = PacketKind.WITHIN,
    ) -> None:
        """Sends a packet by a balancer's view, or by its hint `to`."""
        route = self.route(key, view)
        endpoint = route.candidates[0].endpoint()
        if to:
            endpoint = self.members[to].endpoint
        self.deliver(endpoint, SteeredPacket(route, kind, 0, 0, b'within'))

    def deliver(self, endpoint: Endpoint, message: Any) -> None:
        """Delivers a message to an agent and all messages that follow."""
        self.run_actions('', [SendMessage(endpoint, message)])

    def run_actions(self, name: str, actions: list[Action]) -> None:
        """Carries out an agent's actions and all actions that follow."""
        waiting = deque((name, action) for action in actions)
        while waiting:
            actor, action = waiting.popleft()
            for follow_up in self._perform(actor, action):
                waiting.append(follow_up)

    def name_at(self, endpoint: Endpoint) -> str:
        """Returns the name of the agent running at an address, or ''."""
        for name in self.finders:
            if self.members[name].endpoint == endpoint:
                return name
        return ''

    def _perform(self, actor: str, action: Action) -> list[Any]:
        if isinstance(action, Deliver):
            self.delivered.append((actor, action.flow_key))
        elif isinstance(action, Refuse):
            self.refused.append(action.code)
        elif isinstance(action, Drop):
            self.dropped.append(action.code)
        elif isinstance(action, ForwardPacket):
            self.hop_counts.append(action.steered.hop_count)
            return self._deliver_message(action.endpoint, action.steered)
        elif isinstance(action, SendMessage):
            return self._deliver_message(action.endpoint, action.message)
        return []

    def _deliver_message(self, endpoint: Endpoint, message: Any) -> list[Any]:
        self.sent_count += 1
        if isinstance(message, FlowHint):
            self.hints.append(message)
            return []
        name = self.name_at(endpoint)
        if not name or self.is_lost(message):
            self.lost.append(message)
            return []
        actions = self._handle(self.finders[name], message)
        if self.is_duplicated(message):
            actions += self._handle(self.finders[name], message)
        return [(name, action) for action in actions]

    def _handle(self, finder: FlowFinder, message: Any) -> list[Action]:
        handlers = {
            SteeredPacket: finder.on_steered,
            OpenSearch: finder.on_open,
            HolderRecord: finder.on_record,
            HandoverPart: finder.on_part,
        }
        if type(message) in handlers:
            return handlers[type(message)](message, self.now_s)
        if isinstance(message, RecordAck):
            return finder.on_ack(message)
        if isinstance(message, HandoverRequest):
            return finder.handover.on_request(message)
        if isinstance(message, HandoverAck):
            finder.handover.on_ack(message)
        return []


def flow_bench(names: str = 'abcdefg') -> FlowBench:
    """Returns a bench whose agents keep no former views."""
    bench = FlowBench()
    bench.add(*names)
    bench.settle()
    return bench
