"""Builds a deployment in virtual time with real cores and encoding."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import Request
from cumindrift.caller.session import Session, make_request
from cumindrift.context import Context, make_context
from cumindrift.document import structure
from cumindrift.membership.supervisor import build_membership
from cumindrift.outcome import Outcome
from cumindrift.peer import FrameReader
from cumindrift.settings.process import ProcessSettings
from cumindrift.settings.supervisor import build_settings
from cumindrift.settings.tree import DataCentre, Service, Snapshot, Team, Tree
from cumindrift.traffic.agent import attach_agent
from cumindrift.traffic.balancer import attach_balancer
from cumindrift.traffic.packet import udp_packet
from features.builders.document import process_fields
from lab.network import Receive, VirtualNetwork

TEAM = 'todistajat'
SERVICE = 'kaynti'
REGION = 'fi-south'
DATA_CENTRES = ('hel-a', 'esp-b', 'van-c')
SERVICE_ENDPOINT = Endpoint('10.20.0.1', 700)
FABRIC = Endpoint('127.0.0.10', 7300)
WORK_S = 0.02
TICK_S = 0.05
MEMBERSHIP_TICK_S = 0.25
DISTRIBUTION_TICK_S = 0.1
FABRIC_PORT = 7300
JOIN_S = 10.0


def agent_name(number: int) -> str:
    """Returns the name of an agent, counted from 1."""
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return f'{SERVICE}-{data_centre}-{number}'


def service_tree(**out: str) -> Tree:
    """Returns the service's settings; `out` gives states of data centres."""
    return Tree(
        data_centres={
            name: DataCentre(REGION, out.get(name.replace('-', '_'), 'in'))
            for name in DATA_CENTRES
        },
        teams={
            TEAM: Team(
                {
                    SERVICE: Service(
                        ip=SERVICE_ENDPOINT.ip,
                        port=SERVICE_ENDPOINT.port,
                    ),
                }
            ),
        },
    )


@define(slots=True, eq=False)
class VirtualLink:
    """A fake target link on which every request takes `work_s`."""

    network: VirtualNetwork
    runs: Counter
    work_s: float
    last_run_s: float = 0.0
    sink: Any = None

    def run_request(self, request: Request, remaining_s: float) -> None:
        """Counts the run and schedules an answer with the request's body."""
        self.runs[request.request_id] += 1
        self.last_run_s = self.network.now_s
        self.network.at(
            self.network.now_s + self.work_s,
            lambda: self._answer(request),
        )

    def stop_request(self, request_id: bytes) -> None:
        """Does nothing: there is no connection to close."""

    def pause_request(self, request_id: bytes) -> None:
        """Does nothing: answers are short."""

    def resume_request(self, request_id: bytes) -> None:
        """Does nothing, since nothing is paused."""

    def _answer(self, request: Request) -> None:
        self.sink.on_head(request.request_id, 200)
        self.sink.on_body(request.request_id, request.body)
        self.sink.on_end(request.request_id)


@define(slots=True, eq=False)
class VirtualCaller:
    """A caller with one flow, at its own address."""

    endpoint: Endpoint
    network: VirtualNetwork
    session: Session
    outcomes: dict[bytes, Outcome]

    def send(self, payloads: list[bytes]) -> None:
        """Sends payloads through the fabric."""
        for payload in payloads:
            packet = udp_packet(self.endpoint, SERVICE_ENDPOINT, payload)
            self.network.send(self.endpoint, FABRIC, packet)

    def send_request(self, timeout_s: float = 5.0) -> bytes:
        """Starts a request and returns its id."""
        now_s = self.network.now_s
        request = make_request(self.session.random, 'POST', '/claims', b'x')
        self.send(self.session.request(request, now_s + timeout_s, now_s))
        return request.request_id


@define(slots=True, eq=False)
class Deployment:
    """Balancers, agents, callers and a fabric on one virtual network.

    Messages are encoded, sealed, opened and decoded as between processes;
    only sockets, the target link and the clock are virtual.
    """

    network: VirtualNetwork
    contexts: dict[str, Context] = field(factory=dict)
    links: dict[str, VirtualLink] = field(factory=dict)
    runs: Counter = field(factory=Counter)
    balancer_endpoints: list[Endpoint] = field(factory=list)
    dead: set[str] = field(factory=set)
    work_s: float = WORK_S

    def __attrs_post_init__(self) -> None:
        """Registers the fabric with the network."""
        self.network.receivers[FABRIC] = self._forward_to_random_balancer

    def add_balancer(self, number: int) -> Context:
        """Starts a balancer, which gets fabric packets on port 7300."""
        ip = f'127.0.1.{number}'
        name = f'balancer-{number}'
        context = self._context(name, DATA_CENTRES[0], ip, role='balancer')
        forwarder = attach_balancer(context)
        endpoint = Endpoint(ip, FABRIC_PORT)
        self.balancer_endpoints.append(endpoint)
        self.network.receivers[endpoint] = self._unless_dead(
            context,
            lambda packet, _now_s: forwarder.receive(
                packet, endpoint.sockaddr()
            ),
        )
        return context

    def add_agent(self, number: int) -> Context:
        """Starts an agent with a target that answers every request."""
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = agent_name(number)
        context = self._context(name, data_centre, f'127.0.2.{number}')
        core = attach_agent(context)
        link = VirtualLink(self.network, self.runs, self.work_s)
        core.attach_link(link)
        self.links[name] = link
        self._every(context, TICK_S, core.tick)
        return context

    def restart_agent(self, number: int) -> Context:
        """Stops an agent gracefully, as the daemon does, and restarts it."""
        name = agent_name(number)
        context = self.contexts[name]
        context.is_stopping = True
        until_s = self.network.now_s + context.settings.stop_within_s
        steps = context.stop_steps
        while steps and self.network.now_s < until_s:
            steps = [step for step in steps if not step(self.network.now_s)]
            self.network.run(self.network.now_s + TICK_S)
        return self.add_agent(number)

    def add_caller(self, number: int) -> VirtualCaller:
        """Opens a flow of a new caller."""
        endpoint = Endpoint(f'127.0.4.{number}', 5000)
        outcomes: dict[bytes, Outcome] = {}
        session = Session(self.network.random, outcomes.__setitem__)
        caller = VirtualCaller(endpoint, self.network, session, outcomes)
        self.network.receivers[endpoint] = lambda payload, now_s: caller.send(
            session.receive(payload, now_s),
        )
        self.network.every(
            TICK_S,
            lambda: caller.send(session.tick(self.network.now_s)),
        )
        caller.send(session.open(self.network.now_s))
        return caller

    def publish_settings(self, tree: Tree, version: int) -> None:
        """Publishes a settings tree at the first balancer."""
        context = self.contexts['balancer-1']
        context.distribution.publish(Snapshot(version, tree))

    def kill(self, name: str) -> None:
        """Stops a process: it neither receives nor acts any more."""
        self.dead.add(name)

    def _context(
        self,
        name: str,
        data_centre: str,
        ip: str,
        role: str = 'agent',
    ) -> Context:
        fields = process_fields(
            role=role,
            name=name,
            data_centre=data_centre,
            peer=f'{ip}:7100',
            admin=f'{ip}:7200',
            fabric=f'{ip}:{FABRIC_PORT}',
            seeds=['127.0.1.1:7100', '127.0.1.2:7100'],
        )
        if role == 'balancer':
            fields['target'] = None
        context = make_context(structure(fields, ProcessSettings).content)
        self.contexts[name] = context
        self._connect(context)
        return context

    def _connect(self, context: Context) -> None:
        network = self.network
        me = context.me.endpoint
        context.clock = lambda: network.now_s
        context.random.seed(network.random.random())
        reader = FrameReader(context)
        network.receivers[me] = self._unless_dead(
            context,
            lambda datagram, _now_s: reader.read(datagram),
        )
        context.send_frame = lambda peer, frame: network.send(
            me,
            peer,
            context.keyring.sign(frame),
        )
        context.send_raw = lambda peer, octets: network.send(me, peer, octets)
        build_membership(context)
        build_settings(context)
        self._every(
            context,
            MEMBERSHIP_TICK_S,
            lambda: context.send_all(context.membership.tick(network.now_s)),
        )
        self._every(
            context,
            DISTRIBUTION_TICK_S,
            lambda: context.send_all(context.distribution.tick(network.now_s)),
        )

    def _every(
        self,
        context: Context,
        period_s: float,
        call: Callable[[], Any],
    ) -> None:
        self.network.every(
            period_s,
            lambda: call() if self._is_alive(context) else None,
        )

    def _unless_dead(self, context: Context, receive: Receive) -> Receive:
        def receive_alive(message: Any, now_s: float) -> None:
            if self._is_alive(context):
                receive(message, now_s)

        return receive_alive

    def _is_alive(self, context: Context) -> bool:
        name = context.me.name
        return self.contexts.get(name) is context and name not in self.dead

    def _forward_to_random_balancer(self, packet: Any, _now_s: float) -> None:
        balancer = self.network.random.choice(self.balancer_endpoints)
        self.network.send(FABRIC, balancer, packet)


def small_deployment(
    seed: int,
    loss_share: float,
    settle_s: float,
) -> Deployment:
    """Returns 3 balancers and 7 targets whose membership has converged."""
    network = VirtualNetwork(Random(seed), loss_share=loss_share)
    deployment = Deployment(network)
    for number in range(1, 4):
        deployment.add_balancer(number)
    for number in range(1, 8):
        deployment.add_agent(number)
    network.run(JOIN_S)
    deployment.publish_settings(service_tree(), 1)
    network.run(JOIN_S + settle_s)
    return deployment
