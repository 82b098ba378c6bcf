"""Runs one seed: simulated surroundings, node processes and faults."""

from random import Random
from time import monotonic
from typing import Any

from circuits import handler

from cumindrift.administration.http import HttpServer
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker
from lab.soak.client import SoakClient
from lab.soak.cluster import Cluster
from lab.soak.fabric import Fabric
from lab.soak.failure import FailureRecorder
from lab.soak.fault import HARMLESS_FAULTS, JUDGED_FAULTS, faults
from lab.soak.promise import Ledger
from lab.soak.proxy import StoreProxy
from lab.soak.served import ServedWatch
from lab.soak.target import SoakTarget
from lab.soak.topology import RECOVER_S, SERVICE_ADDRESS, SERVICES, Topology
from standin.store import StoreModel, store_routes

TICK_PERIOD_S = 0.02
# Time for nodes to start and register before clients and faults begin.
STARTUP_S = 4.0
# Time after all faults have ended and RECOVER_S has passed, in which failures
# to open or to answer break a promise.
CHECKED_S = 4.0
FAULT_GAP_MIN_S, FAULT_GAP_MAX_S = 0.1, 1.2
VERSION_STEP_MAX = 3
# The fault at which balancers have to know a manifest in time.
UNHEARD = 'unheard'


class SoakHarness(Child):
    """Owns all simulated parts and node processes, and schedules faults."""

    def __init__(
        self,
        topology: Topology,
        seed: int,
        faults_s: float,
        names: list[str],
    ) -> None:
        """Builds all parts and starts the node processes."""
        super().__init__(channel='soak-harness')
        self.topology = topology
        self.ledger = Ledger()
        self.injected: list[tuple[float, str]] = []
        self._random = Random(seed)
        self._fault_names = names or self._default_faults()
        self._start_s = monotonic()
        self._faults_until_s = STARTUP_S + faults_s
        self._next_fault_s = STARTUP_S
        self._pending_ends: list[tuple[float, Any, str]] = []
        self._served = ServedWatch(self.ledger)
        self._is_fault_phase_over = False
        self._version = 1
        self._evacuated: set[str] = set()
        FailureRecorder(self.ledger, self.clock).register(self)
        self.store = StoreModel(self.clock, Random(seed + 1))
        self.put_manifest(SERVICES[0])
        HttpServer(self, topology.store, (store_routes,), self.clock).register(
            self
        )
        self.cluster = Cluster(topology, self.ledger, self.clock)
        self.targets = [self._build_target(n) for n in range(topology.agents)]
        self.fabric = Fabric(topology, Random(seed + 2), self.clock).register(
            self
        )
        self.clients = [self._build_client(n) for n in range(topology.clients)]
        self.cluster.build()
        self.proxies = [
            StoreProxy(topology.proxy(node.ip), topology.store).register(self)
            for node in self.cluster.nodes
        ]
        Ticker('soak-harness', TICK_PERIOD_S, self._tick).register(self)

    def clock(self) -> float:
        """Returns the seconds since the harness was created."""
        return monotonic() - self._start_s

    @property
    def length_s(self) -> float:
        """Returns how long the whole run takes."""
        return self._faults_until_s + RECOVER_S + CHECKED_S

    def put_manifest(self, service: str) -> None:
        """Writes a manifest that routes the service address to `service`."""
        self._routed_service = service
        self._version += self._random.randint(1, VERSION_STEP_MAX)
        spec = {
            'version': self._version,
            'services': [{'name': name} for name in SERVICES],
            'routes': [
                {
                    'hostname': str(SERVICE_ADDRESS.ip),
                    'path_prefix': f'/{SERVICE_ADDRESS.port}/',
                    'service': service,
                }
            ],
            'limits': {'idle_timeout_ms': 15000},
        }
        self.store.put('config', 'main', spec)

    @property
    def is_calm(self) -> bool:
        """Tells whether no fault has to be ended."""
        return not self._pending_ends

    @property
    def routed_service(self) -> str:
        """Returns the service that gets new flows."""
        return self._routed_service

    def routed_targets(self) -> list[SoakTarget]:
        """Returns the targets of the service that gets new flows."""
        return [
            target
            for target in self.targets
            if target.service == self._routed_service
        ]

    def expect_manifest(self) -> None:
        """Has targets of other services take SYNs by an old manifest for late.

        Until `excuse_manifests` is called, or a fault begins.
        """
        for target in self.targets:
            if target.service != self._routed_service:
                target.unrouted_s = self.clock()

    def excuse_manifests(self) -> None:
        """Allows balancers not to know the manifest."""
        for target in self.targets:
            target.unrouted_s = 0.0

    @property
    def is_evacuating(self) -> bool:
        """Tells whether a data centre is evacuated."""
        return bool(self._evacuated)

    def evacuate(self, name: str) -> bool:
        """Evacuates a data centre; False if one already is."""
        if self._evacuated:
            return False
        self._evacuated.add(name)
        self.store.put('evacuations', name, {})
        for target in self.targets:
            if target.data_centre == name:
                target.evacuated_s = self.clock()
        return True

    def end_evacuation(self, name: str) -> None:
        """Ends the evacuation of a data centre."""
        self._evacuated.discard(name)
        self.store.remove('evacuations', name)
        for target in self.targets:
            target.evacuated_s = 0.0

    def balancer_proxies(self) -> list[StoreProxy]:
        """Returns the proxies between the balancers and the store."""
        return [
            proxy
            for node, proxy in zip(
                self.cluster.nodes, self.proxies, strict=True
            )
            if node.role == 'balancer'
        ]

    def find_holder(self, key: bytes) -> str:
        """Returns the IP of the running target that holds a flow, or ''."""
        for target in self.targets:
            flow = target.flows.get(key)
            if target.is_running and flow is not None and flow.is_open:
                return target.ip
        return ''

    @handler('started', channel='*')
    def _on_started(self, *_details: Any) -> None:
        self.ledger.count('runs')

    def _build_target(self, number: int) -> SoakTarget:
        topology = self.topology
        return SoakTarget(
            topology.agent_ip(number),
            topology.service(number),
            topology.data_centre(number),
            Random(self._random.random()),
            self.ledger,
            self.clock,
        ).register(self)

    def _build_client(self, number: int) -> SoakClient:
        return SoakClient(
            self.topology.client_ip(number),
            Random(self._random.random()),
            self.ledger,
            self.clock,
            self.fabric.send,
            self.find_holder,
        ).register(self)

    def _tick(self) -> None:
        now_s = self.clock()
        clients = self.clients if now_s >= STARTUP_S else []
        parts = (self.store, self.cluster, self.fabric)
        for part in (*parts, *self.targets, *clients):
            part.tick()
        self._end_faults(now_s)
        if now_s >= self._faults_until_s and not self._is_fault_phase_over:
            self._end_fault_phase(now_s)
        elif self._next_fault_s <= now_s < self._faults_until_s:
            self._begin_fault(now_s)
        self._check_served(now_s)
        targets = self.routed_targets()
        has_all_back = not any(target.recovered_s for target in targets)
        if now_s >= self.length_s and has_all_back:
            self.stop()

    def _default_faults(self) -> list[str]:
        return [
            name
            for name in faults.names()
            if self.topology.judges_targets or name not in JUDGED_FAULTS
        ]

    def _check_served(self, now_s: float) -> None:
        targets = self.routed_targets()
        self._served.check_returns(targets, now_s)
        served_from_s = self._served.served_from_s(targets)
        for part in (*self.clients, *self.targets):
            part.served_from_s = served_from_s

    def _note_disturbance(self, name: str, now_s: float) -> None:
        if name not in HARMLESS_FAULTS:
            self._served.disturbed_s = now_s

    def _begin_fault(self, now_s: float) -> None:
        gap_s = self._random.uniform(FAULT_GAP_MIN_S, FAULT_GAP_MAX_S)
        self._next_fault_s = now_s + gap_s
        name = self._random.choice(self._fault_names)
        self.injected.append((now_s, name))
        if name != UNHEARD:
            self.excuse_manifests()
        for delay_s, end in faults.get(name)(self, self._random):
            self._pending_ends.append((now_s + delay_s, end, name))
        self._note_disturbance(name, now_s)

    def _end_faults(self, now_s: float) -> None:
        due = [ending for ending in self._pending_ends if ending[0] <= now_s]
        for ending in due:
            self._pending_ends.remove(ending)
            ending[1]()
            self._note_disturbance(ending[2], now_s)

    def _end_fault_phase(self, now_s: float) -> None:
        """Ends all faults; clients check recovery RECOVER_S later."""
        self._is_fault_phase_over = True
        for _, end, name in self._pending_ends:
            end()
            self._note_disturbance(name, now_s)
        self._pending_ends.clear()
        self.cluster.resume_paused()
        self.put_manifest(SERVICES[0])
        for client in self.clients:
            client.healthy_from_s = now_s + RECOVER_S
