"""A small deployment on loopback: nodes as processes, stand-ins around them."""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import Random
from shutil import rmtree
from signal import SIGALRM, SIGTERM, alarm, signal
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from time import monotonic, sleep

from review.deployment.client import Client, Front, Router
from review.deployment.late import HeartbeatProxy
from review.deployment.record import Record
from review.deployment.store import Store
from review.deployment.target import Settings, Target

Address = tuple[str, int]
ROOT = Path(__file__).parents[2]
ZONES = ('hel-a', 'esp-b', 'van-c')
RUN = ('python3', '-S', '-OO', 'deploy/start.py')
BEAT_MS = 1200
# As the pages of a small site give them.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 4000,
    'ack_ms': 5000,
    'sync_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 12000,
    'warmup_factor': 1.5,
    'warmup_slack': 5,
    'evacuate_ms': 5000,
    'recovery_s': 12,
    'reorder_ms': 2000,
    'flow_ttl_s': 60,
}
CONTACT_S = BOUNDS['contact_ms'] / 1000
IDLE_MS = 15000
START_LIMIT_S = 15.0
CASE_LIMIT_S = 110
# The pause of the platform before it starts a process again.
RESTART_S = 0.5


class CannotRunError(Exception):
    """The case could not be played."""


@dataclass
class Node:
    """One node and its process."""

    name: str
    role: str
    zone: str
    ip: str
    service: str = ''
    process: subprocess.Popen | None = None
    start_count: int = 0
    # When its process was last started or ended by the case.
    touched_s: float = 0.0


class World:
    """Starts everything; `close` ends every process that it started."""

    def __init__(
        self,
        record: Record,
        seed: int,
        fronts: tuple[str, ...],
        sides: tuple[tuple[str, str], ...],
        work_s: float = 0.05,
        spare: int = 0,
    ) -> None:
        """Takes the zone of each balancer; zone and service of each agent.

        The last `spare` agents are not started by `start`.
        """
        self._first_count = len(sides) - spare
        self._has_started = False
        self.record = record
        self.random = Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        record.note(f'settings and logs are in {self.folder}')
        self._subnet = _free_subnet()
        self.ports = _free_ports(self._subnet)
        self.route: Address = (f'{self._subnet}.8.1', 443)
        self.other_route: Address = (f'{self._subnet}.8.2', 443)
        self._services = [service for _zone, service in sides]
        self.store = Store((f'{self._subnet}.9.1', self.ports['store']))
        self.fronts = [
            Node(f'front-{zone}-{n}', 'balancer', zone, self.ip(1, n))
            for n, zone in enumerate(fronts, 1)
        ]
        self.sides = [
            Node(f'side-{zone}-{n}', 'agent', zone, self.ip(2, n), service)
            for n, (zone, service) in enumerate(sides, 1)
        ]
        self.proxies = [
            HeartbeatProxy(
                (node.ip, self.ports['late']),
                (node.ip, self.ports['control']),
                record,
            )
            for node in self.sides
        ]
        self.targets = [self._target_of(node, work_s) for node in self.sides]
        self.store.put('config', 'main', self.manifest(1))
        self.router = Router(
            [
                Front(
                    node.name,
                    node.zone,
                    (node.ip, self.ports['datagram_addr']),
                    (node.ip, self.ports['ready_addr']),
                )
                for node in self.fronts
            ],
            record,
        )

    def ip(self, group: int, number: int) -> str:
        """Returns a loopback address."""
        return f'{self._subnet}.{group}.{number}'

    def manifest(self, version: int) -> dict:
        """Returns a manifest: a route for each of the two services."""
        names = sorted(set(self._services))
        routes = [
            {
                'name': f'r-{name}',
                'hostname': address[0],
                'path_prefix': f'/{address[1]}/',
                'service': name,
                'route_type': 'unsafe',
                'timeout_ms': 4000,
                'target_latency_ms': 300,
                'max_attempts': 1,
                'priority': 1,
            }
            for name, address in zip(
                names[::-1], (self.route, self.other_route), strict=False
            )
        ]
        services = [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 2000,
                'warmup_s': 2.0,
                'warmup_per_s': 0.0,
            }
            for name in names
        ]
        return {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {'idle_timeout_ms': IDLE_MS},
        }

    def start(self) -> None:
        """Starts all nodes and endpoints, and waits until all serve."""
        first = self._first_count
        for node in self.fronts + self.sides[:first]:
            self.start_node(node)
        targets = self.targets[:first]
        for target in targets:
            target.start()
        fronts = self.router.fronts
        self.wait(
            lambda: (
                all(front.is_in_rotation for front in fronts)
                and all(target.acked_s for target in targets)
                and self._entry_count() == first
            ),
            'all nodes to serve',
        )
        self._has_started = True
        sleep(2.0)

    def wait(self, is_done: Callable[[], bool], what: str) -> None:
        """Waits for a condition; raises CannotRunError if it takes too long."""
        until_s = monotonic() + START_LIMIT_S
        while not is_done():
            if monotonic() > until_s:
                raise CannotRunError(f'waited in vain for {what}')
            sleep(0.02)

    def client(self, zone: str, number: int = 1) -> Client:
        """Returns a client in a zone."""
        address = (self.ip(3, number), self.ports['datagram_addr'])
        return Client(address, zone, self.router, self.record, self.random)

    def start_node(self, node: Node) -> None:
        """Starts a node with the command of the deploy file."""
        path = self.folder / f'{node.name}.toml'
        path.write_text(self._settings_of(node), 'utf-8')
        environment = {
            'CUMINDRIFT_NODE_FILE': str(path),
            'PYTHONPATH': 'target/deps',
        }
        for name in ('PATH', 'HOME', 'LANG'):
            if name in os.environ:
                environment[name] = os.environ[name]
        node.start_count += 1
        node.touched_s = self.record.now_s()
        with (self.folder / f'{node.name}.log').open('ab') as log:
            node.process = subprocess.Popen(  # noqa: S603
                RUN, stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self.record.note(f'{node.name} is started')

    def end_node(self, node: Node, number: int = SIGTERM) -> None:
        """Sends a signal to a node that ends it, and waits for its end."""
        self.record.note(f'{node.name} gets signal {int(number)}')
        node.process.send_signal(number)
        try:
            node.process.wait(BOUNDS['grace_s'])
        except subprocess.TimeoutExpired:
            node.process.kill()
            node.process.wait()
        node.touched_s = self.record.now_s()

    def restart_node(self, node: Node, number: int = SIGTERM) -> None:
        """Ends a node and starts it again, as planned work does."""
        self.end_node(node, number)
        sleep(RESTART_S)
        self.start_node(node)

    def is_in_touch(self, node: Node) -> bool:
        """Returns whether nothing was done to a node for `contact_ms`."""
        return self.record.now_s() - node.touched_s > CONTACT_S

    def serves(self, node: Node) -> bool:
        """Returns whether a node's port for pages or heartbeats is open."""
        port = 'control' if node.role == 'agent' else 'ready_addr'
        return _is_listening((node.ip, self.ports[port]))

    def events_of(self, node: Node, event: str) -> list[dict]:
        """Returns the lines of one event that a node has logged."""
        found = []
        path = self.folder / f'{node.name}.log'
        for line in path.read_text('utf-8').splitlines():
            if f'"event": "{event}"' in line:
                found.append(json.loads(line))
        return found

    def close(self) -> None:
        """Ends all processes."""
        for node in self.fronts + self.sides:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if 'KEEP' not in os.environ:
            rmtree(self.folder, ignore_errors=True)

    def _entry_count(self) -> int:
        return len(self.store.objects.get('cumindrift-agents', {}))

    def _target_of(self, node: Node, work_s: float) -> Target:
        settings = Settings(
            node.name,
            node.service,
            node.zone,
            (node.ip, self.ports['app']),
            (node.ip, self.ports['outbound']),
            (node.ip, self.ports['late']),
            BEAT_MS / 1000,
            work_s,
        )
        return Target(settings, self.record, Random(self.random.random()))

    def _settings_of(self, node: Node) -> str:
        ports = self.ports
        is_agent = node.role == 'agent'
        fields = {
            'node_name': node.name,
            'role': node.role,
            'machine_class': 'side' if is_agent else 'front',
            'serves': ['side'] if is_agent else ['front', 'control'],
            'ip': node.ip,
            'zone': node.zone,
            'region': 'fi-south',
            'internal_port_range': [ports['peer'], ports['peer'] + 15],
            'seed_addrs': [
                f'{each.ip}:{ports["control"]}' for each in self.fronts[:3]
            ],
            'bootstrap': node.start_count == 0 and not self._has_started,
            'loss_counts': not is_agent,
            'discovery': 'local',
            'entry': 'advertise',
            'heartbeat_ms': BEAT_MS,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'flows',
                'places',
                'platform',
            ],
            'hash_mode': 'steady',
            'forwarding_mode': 'agent',
        }
        listen = ['datagram_addr', 'ready_addr', 'control']
        if is_agent:
            listen.append('outbound')
            fields['service'] = node.service
            fields['app'] = f'{node.ip}:{ports["app"]}'
        tables = {
            'zones': dict.fromkeys(ZONES, 'fi-south'),
            'listen_addrs': {
                name: f'{node.ip}:{ports[name]}' for name in listen
            },
            'limits': {
                'cpu_share': 0.645,
                'cpu_cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
            },
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': f'{self._subnet}.9.1:{ports["store"]}',
                'forwarding_mode': 'objects',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
            },
        }
        lines = [f'{key} = {json.dumps(each)}' for key, each in fields.items()]
        for table, entries in tables.items():
            lines.append(f'[{table}]')
            lines.extend(
                f'{key} = {json.dumps(each)}' for key, each in entries.items()
            )
        return '\n'.join(lines) + '\n'


def play(case: Callable[[World, bool], bool], **world: object) -> int:
    """Plays a case; returns 1 if its rule was broken, 0 if it held, else 2.

    `case` gets the world and whether the disruption is on; it returns whether
    the rule held.
    """
    path = Path(sys.argv[0]).parent / 'record.txt'
    record = Record(path)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'the disruption is {"on" if has_trouble else "off"}')
    played = None
    signal(SIGALRM, _on_late)
    alarm(CASE_LIMIT_S)
    try:
        played = World(record, seed=int(os.environ.get('SEED', '1')), **world)
        played.start()
        has_held = case(played, has_trouble)
    except Exception as error:
        record.note(f'could not run: {error!r}')
        return 2
    finally:
        alarm(0)
        if played is not None:
            played.close()
    record.note('the rule held' if has_held else 'the rule was broken')
    return 0 if has_held else 1


def _on_late(_number: int, _frame: object) -> None:
    raise CannotRunError('the case took too long')


def _is_listening(address: Address) -> bool:
    connection = HTTPConnection(*address, timeout=0.2)
    try:
        connection.connect()
    except (OSError, HTTPException):
        return False
    connection.close()
    return True


def _free_subnet() -> str:
    """Returns the first half of the addresses of this run."""
    return f'127.{40 + os.getpid() % 160}'


def _free_ports(subnet: str) -> dict[str, int]:
    """Returns ports that are free on all addresses of the deployment."""
    names = (
        'datagram_addr',
        'ready_addr',
        'control',
        'outbound',
        'app',
        'late',
    )
    for base in range(18100, 30000, 40):
        ports = {name: base + n for n, name in enumerate(names)}
        ports |= {'store': base + 6, 'peer': base + 10}
        if all(_is_free(f'{subnet}.1.1', base + n) for n in range(26)):
            return ports
    raise CannotRunError(f'no free ports in {subnet}')


def _is_free(ip: str, port: int) -> bool:
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with socket(AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True
