"""The emulated deployment: nodes, clients and links between them."""

from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import Manifest, RequestLimits, WeightedService
from cumindrift.platform.packet import client_ip
from lab.emulator.client import EmulatedClients
from lab.emulator.experiment import Experiment
from lab.emulator.ledger import Ledger, RequestRecord
from lab.emulator.node import EmulatedAgent, EmulatedBalancer, Store
from lab.emulator.router import Router, routers
from lab.emulator.target import SERVICE, EmulatedTarget
from lab.network import VirtualNetwork

SERVICE_IP = '198.18.0.1'
_MS_PER_S = 1000
# A node that was out of touch this recently may be wrong about a flow.
CONTACT_S = 4.0
_RST = 4
# Nodes start this long before the first request.
SETTLE_S = 2.0
# Requests of the last moments are still answered after the last arrival.
_END_S = 4.0


@define(slots=True, eq=False)
class World:
    """One emulation; `run` plays it and leaves the result in `ledger`."""

    plan: Experiment
    ledger: Ledger = field(factory=Ledger)
    store: Store = field(factory=Store)
    random: Random = field(init=False)
    network: VirtualNetwork = field(init=False)
    router: Router = field(init=False)
    loss_share: float = field(init=False)
    balancers: dict[str, EmulatedBalancer] = field(factory=dict)
    agents: dict[str, EmulatedAgent] = field(factory=dict)
    clients: dict[int, EmulatedClients] = field(factory=dict)
    # The nodes that reach no other node.
    cut_off: set[str] = field(factory=set)
    records: dict[int, RequestRecord] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Builds nodes, targets and clients."""
        plan = self.plan
        self.random = Random(plan.seed)
        self.network = VirtualNetwork(self.random)
        self.loss_share = plan.loss_share
        for number in range(plan.balancers):
            self._add_balancer(number)
        for number in range(plan.targets):
            self._add_agent(number)
        for number, each in enumerate(plan.classes):
            self.clients[number] = EmulatedClients(
                number,
                each,
                plan.load,
                self.network,
                self.random,
                self.ledger,
                self.records,
                self.from_client,
            )
        self._write_manifest()
        self.router = routers.get(plan.router)(tuple(self.balancers.values()))

    def run(self) -> Ledger:
        """Plays the experiment to its end."""
        for node in (*self.balancers.values(), *self.agents.values()):
            node.start()
        self.network.run(SETTLE_S)
        self._probe()
        for clients in self.clients.values():
            clients.start()
        end_s = SETTLE_S + self.plan.length_s
        self.network.run(end_s)
        for clients in self.clients.values():
            clients.has_stopped = True
        self.network.run(end_s + _END_S)
        return self.ledger

    def read_store_soon(self) -> None:
        """Has every balancer read a change, each after its own delay."""
        for balancer in self.balancers.values():
            delay_s = self.random.uniform(0.01, 0.5)
            self.network.at(self.network.now_s + delay_s, balancer.read_store)

    def from_client(self, octets: bytes) -> None:
        """Takes a client's packet to the balancer that the router selects."""
        if self._is_lost():
            return
        balancer = self.router.select(octets[12:24])
        delay_s = self.plan.client_delay_ms / _MS_PER_S
        self.ledger.counts['packets'] += 1
        self.network.at(
            self.network.now_s + delay_s, lambda: balancer.on_packet(octets)
        )

    def to_client(self, sender_ip: str, key: bytes, octets: bytes) -> None:
        """Takes a packet of a target or a node to a client."""
        number = int(client_ip(key).split('.')[2])
        clients = self.clients[number]
        is_made_here = octets[10] & _RST and octets[4:8] == bytes(4)
        if is_made_here:
            self._check_reset(sender_ip, key)
        if self._is_lost():
            return
        delay_s = self.plan.client_delay_ms / _MS_PER_S
        self.network.at(
            self.network.now_s + delay_s, lambda: clients.receive(key, octets)
        )

    def to_node(self, sender_ip: str, ip: str, octets: bytes) -> None:
        """Takes a frame from node to node."""
        node = self.agents.get(ip) or self.balancers.get(ip)
        is_cut = bool(self.cut_off & {sender_ip, ip})
        if node is None or is_cut or self._is_lost():
            return
        self.ledger.counts['frames'] += 1
        delay_s = self.plan.link_delay_ms / _MS_PER_S
        self.network.at(
            self.network.now_s + delay_s,
            lambda: node.on_frame(sender_ip, octets),
        )

    def _is_lost(self) -> bool:
        return bool(self.loss_share) and self.random.random() < self.loss_share

    def _add_balancer(self, number: int) -> None:
        ip = f'10.1.0.{number + 1}'
        self.balancers[ip] = EmulatedBalancer(
            ip,
            self._data_centre(number),
            self.network,
            self.random,
            self.to_node,
            self.to_client,
            self.plan.judges_targets,
            store=self.store,
            queue_order=self.plan.queue_order,
        )

    def _add_agent(self, number: int) -> None:
        plan = self.plan
        ip = f'10.2.{number // 200}.{number % 200 + 1}'
        data_centre = self._data_centre(number)
        agent = EmulatedAgent(
            ip,
            data_centre,
            self.network,
            self.random,
            self.to_node,
            self.to_client,
            plan.judges_targets,
        )
        agent.target = EmulatedTarget(
            ip,
            data_centre,
            plan.slots,
            plan.queue_max,
            plan.speeds[number % len(plan.speeds)],
            self.network,
            self.random,
            self.ledger,
            self.records,
            agent.on_target_octets,
        )
        self.agents[ip] = agent
        name = f'side-{number}'
        self.store.agents[name] = AgentEntry(name, ip, data_centre, SERVICE)

    def _data_centre(self, number: int) -> str:
        return f'dc-{number % self.plan.data_centres}'

    def _write_manifest(self) -> None:
        places = {
            Endpoint(SERVICE_IP, each.service_port): each.plan
            for each in self.clients.values()
        }
        self.store.manifest = Manifest(
            1,
            dict.fromkeys(places, (WeightedService(SERVICE),)),
            limits={
                place: RequestLimits(
                    each.time_limit_ms / _MS_PER_S,
                    each.target_latency_ms / _MS_PER_S,
                    each.priority,
                    each.is_idempotent,
                )
                for place, each in places.items()
            },
        )

    def _probe(self) -> None:
        self.router.probe()
        self.network.at(self.network.now_s + 0.5, self._probe)

    def _check_reset(self, sender_ip: str, key: bytes) -> None:
        """Checks that no living target holds a flow that a node resets."""
        now_s = self.network.now_s
        for agent in self.agents.values():
            flow = agent.target.flows.get(key)
            sender = self.agents.get(sender_ip) or self.balancers[sender_ip]
            harmed_until_s = max(agent.harmed_until_s, sender.harmed_until_s)
            is_in_touch = now_s > harmed_until_s + CONTACT_S
            if flow is not None and flow.is_open and is_in_touch:
                self.ledger.breach('reset', now_s, f'{sender_ip} {agent.ip}')
