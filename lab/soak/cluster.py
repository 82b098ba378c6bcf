"""Starts, signals and restarts the node processes of a soak."""

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM

from attrs import define, field

from lab.soak.promise import Ledger
from lab.soak.topology import (
    CONTROL_PORT,
    DRAIN_S,
    HEARTBEAT_S,
    OUTBOUND_PORT,
    PACKETS_PORT,
    PEER_PORTS,
    READY_PORT,
    RECOVER_S,
    TARGET_PORT,
    Topology,
)

PROJECT = Path(__file__).parents[2]
RESTART_DELAY_S = 0.3
# Time for a node to shut down after SIGTERM.
GRACE_S = 6.0


@define(slots=True, eq=False)
class Node:
    """One node and its current process."""

    name: str
    role: str
    ip: str
    number: int
    process: subprocess.Popen | None = None
    is_paused: bool = False
    # Whether the soak has sent SIGTERM or SIGKILL to its process.
    is_ending: bool = False
    ended_s: float = 0.0
    start_count: int = 0


@define(slots=True, eq=False)
class Cluster:
    """Starts the nodes, restarts them when they end, and stops them."""

    topology: Topology
    ledger: Ledger
    clock: Callable[[], float]
    nodes: list[Node] = field(factory=list)

    def build(self) -> None:
        """Creates and starts all nodes."""
        topology = self.topology
        for number in range(topology.balancers):
            ip = topology.balancer_ip(number)
            self.nodes.append(Node(f'front-{number}', 'balancer', ip, number))
        for number in range(topology.agents):
            ip = topology.agent_ip(number)
            self.nodes.append(Node(f'side-{number}', 'agent', ip, number))
        for node in self.nodes:
            self.start(node)

    def start(self, node: Node) -> None:
        """Writes a node's settings file and starts its process."""
        settings_path = self.topology.folder / f'{node.name}.toml'
        settings_path.write_text(self.settings_of(node), 'utf-8')
        environment = {**os.environ, 'CUMINDRIFT_NODE_FILE': str(settings_path)}
        node.start_count += 1
        node.is_ending = False
        node.is_paused = False
        with (self.topology.folder / f'{node.name}.log').open('ab') as log:
            node.process = subprocess.Popen(
                [sys.executable, '-m', 'cumindrift.node'],
                stdout=log,
                stderr=log,
                env=environment,
                cwd=PROJECT,
            )

    def signal(self, node: Node, number: int) -> None:
        """Sends a signal to a node if its process is running."""
        if node.process is None or node.process.poll() is not None:
            return
        node.is_ending = node.is_ending or number in {SIGKILL, SIGTERM}
        if number in {SIGSTOP, SIGCONT}:
            node.is_paused = number == SIGSTOP
        node.process.send_signal(number)

    def tick(self) -> None:
        """Restarts ended nodes after RESTART_DELAY_S."""
        now_s = self.clock()
        for node in self.nodes:
            if node.process is None:
                if now_s - node.ended_s >= RESTART_DELAY_S:
                    self.start(node)
            elif node.process.poll() is not None:
                if not node.is_ending:
                    code = node.process.returncode
                    detail = f'{node.name} ended by itself with {code}'
                    self.ledger.breach('process', now_s, detail)
                node.process = None
                node.ended_s = now_s

    def resume_paused(self) -> None:
        """Resumes all paused nodes."""
        for node in self.nodes:
            if node.is_paused:
                self.signal(node, SIGCONT)

    def stop(self) -> None:
        """Terminates every node process; kills those that exceed GRACE_S."""
        self.resume_paused()
        running = [node for node in self.nodes if node.process is not None]
        for node in running:
            self.signal(node, SIGTERM)
        for node in running:
            try:
                node.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.ledger.count('nodes that outlasted their grace time')
                node.process.kill()
                node.process.wait()

    def settings_of(self, node: Node) -> str:
        """Returns the text of a node's settings file.

        It has the form in which the users' platform writes that file.
        """
        topology = self.topology
        seeds = [f'{topology.balancer_ip(n)}:{CONTROL_PORT}' for n in range(3)]
        fields = {
            'node_name': node.name,
            'role': node.role,
            'ip': node.ip,
            'zone': topology.data_centre(node.number),
            'internal_port_range': list(PEER_PORTS),
            'seed_addrs': seeds,
            'bootstrap': node.start_count == 0,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
        }
        if topology.judges_targets:
            fields['contracts'] = ['health']
        listen = {'datagram_addr': PACKETS_PORT, 'ready_addr': READY_PORT}
        if node.role == 'agent':
            listen |= {'outbound': OUTBOUND_PORT, 'control': CONTROL_PORT}
            fields['app'] = f'{node.ip}:{TARGET_PORT}'
            fields['service'] = topology.service(node.number)
        lines = [
            f'{key} = {json.dumps(found)}' for key, found in fields.items()
        ]
        lines.append('[listen_addrs]')
        lines.extend(
            f'{key} = "{node.ip}:{port}"' for key, port in listen.items()
        )
        lines.extend(
            (
                '[bounds]',
                f'grace_s = {GRACE_S:g}',
                f'drain_ms = {DRAIN_S * 1000:g}',
                f'recovery_s = {RECOVER_S:g}',
                'addr_reuse_s = 2',
                'flow_ttl_s = 60',
                '[platform]',
                f'address = "{topology.proxy(node.ip)}"',
            ),
        )
        return '\n'.join(lines)
