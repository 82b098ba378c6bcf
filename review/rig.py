# ruff: noqa
"""Test rig of the review: real nodes, and stand-ins for all around them.

The nodes are the programs of `deploy/system.toml`. Store, routers, clients
and targets are small stand-ins in this one process, on loopback addresses and
the real clock. They follow the users' pages; where a page is silent, they do
what a sound server, client or platform would do.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HEAD = struct.Struct('>IIHBBH4sH4sII')
SYN, ACK, FIN, RST, BOUNCED = 1, 128, 8, 4, 2
DATAGRAM, OUTBOUND, READY, CONTROL, APP, STORE = (
    8172,
    8162,
    8167,
    8166,
    8165,
    8169,
)
HEARTBEAT_S = 0.77
SYN_COPIES_S = (0.2, 0.6)
OPEN_LIMIT_S = 1.4
RESTART_S = 0.3
TIME_LIMIT_S = 115
MASK = 0xFFFFFFFF
# Bounds of the users' pages, as in the settings of their small installations.
BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'contact_ms': 4000, 'ack_ms': 5000,
    'sync_s': 4, 'drain_ms': 3000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 3000, 'rollback_slack_ms': 250, 'max_skew_ms': 12000,
    'warmup_factor': 1.5, 'warmup_slack': 5, 'evacuate_ms': 5000,
    'recovery_s': 12, 'reorder_ms': 2000, 'flow_ttl_s': 60,
}  # fmt: skip


def checksum(octets):
    """Returns the sum over all fields but echo, pad and BOUNCED."""
    flags = bytes((octets[10] & ~BOUNCED,))
    return zlib.crc32(b'review' + octets[8:10] + flags + octets[12:]) or 1


def make_packet(src, sport, dst, dport, flags, seq, ack, data=b''):
    """Returns a packet with a valid sum."""
    head = HEAD.pack(
        0, 0, len(data), flags, 0, sport, socket.inet_aton(dst), dport,
        socket.inet_aton(src), seq & MASK, ack & MASK,
    )  # fmt: skip
    octets = head + data
    return octets[:4] + checksum(octets).to_bytes(4, 'big') + octets[8:]


def leave_unjudged(kind, error, trace):
    """Ends a case that could not run; Python itself would exit with 1."""
    sys.__excepthook__(kind, error, trace)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = leave_unjudged


class Packet:
    """A parsed packet."""

    def __init__(self, octets):
        (
            _echo, self.sum, _len, self.flags, _pad, self.sport, dst,
            self.dport, src, self.seq, self.ack,
        ) = HEAD.unpack_from(octets)  # fmt: skip
        self.src, self.dst = socket.inet_ntoa(src), socket.inet_ntoa(dst)
        self.data = octets[HEAD.size :]
        self.octets = octets
        self.is_valid = self.sum == checksum(octets)


class Udp(asyncio.DatagramProtocol):
    """A UDP socket that hands what it receives to a function."""

    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data, addr)

    def error_received(self, exc):
        pass


async def open_udp(ip, port, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(receive), local_addr=(ip, port)
    )
    return transport


async def read_http(reader):
    """Reads one HTTP message; returns its first line and its body."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    size = 0
    for line in lines[1:]:
        name, _, found = line.partition(':')
        if name.lower() == 'content-length':
            size = int(found)
    return lines[0], await reader.readexactly(size)


async def call_http(ip, port, method, target, body=None, timeout_s=1.0):
    """Makes one call; returns its status, or 0 without an answer in time."""

    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            octets = b'' if body is None else json.dumps(body).encode()
            writer.write(
                f'{method} {target} HTTP/1.1\r\nHost: {ip}:{port}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(octets)}\r\n\r\n'.encode()
                + octets
            )
            line, _body = await read_http(reader)
            return int(line.split()[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0


class Store:
    """The platform's metadata store."""

    def __init__(self, rig, ip):
        self.rig, self.ip = rig, ip
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        # While it is silent, calls that come get no answer, neither now nor
        # later; their connections stay open.
        self.is_silent = False
        self.unanswered = []
        # Watches that were open when channels went silent for good.
        self.open_watches = set()
        self.muted = set()
        # How old lists are that may be stale (`serializable`).
        self.stale_s = 0.0
        self.past = [(time.monotonic(), self.revision, {})]

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, STORE)

    def put(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        created = known['meta']['create_rev'] if known else self.revision
        meta = {
            'name': name, 'revision': self.revision, 'create_rev': created,
            'finalizers': [], 'deleting': False,
        }  # fmt: skip
        found = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind][name] = found
        self._publish(kind, found, False)
        return found

    def remove(self, kind, name):
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._publish(kind, found, True)

    def _publish(self, kind, found, is_removed):
        event = {'object': found, 'removed': is_removed}
        self.history.append((self.revision, kind, event))
        copy = {each: dict(named) for each, named in self.objects.items()}
        self.past.append((time.monotonic(), self.revision, copy))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            line, body = await read_http(reader)
            if self.is_silent:
                self.unanswered.append((reader, writer))
                self.rig.note(
                    'store-silent-to',
                    call=line.split(' HTTP')[0],
                    peer=writer.get_extra_info('peername')[0],
                )
                return
            status, answer = await self._answer(line, body)
            if asyncio.current_task() in self.muted:
                self.unanswered.append((reader, writer))
                return
            octets = json.dumps(answer).encode()
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(octets)}\r\n\r\n'.encode()
                + octets
            )
            await writer.drain()
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(' ')
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        path = parts.path.strip('/').split('/')
        kind = path[2]
        name = path[3] if len(path) > 3 else ''
        named = self.objects.setdefault(kind, {})
        if method == 'GET' and 'watch' in query:
            return await self._watch(kind, query)
        if method == 'GET' and name:
            return (200, named[name]) if name in named else (404, {})
        if method == 'GET' and 'serializable' in query and self.stale_s:
            at_s = time.monotonic() - self.stale_s
            states = [each for each in self.past if each[0] <= at_s]
            _, revision, objects = states[-1] if states else self.past[0]
            named = objects.get(kind, {})
            items = [named[each] for each in sorted(named)]
            return 200, {
                'items': items, 'has_more': False, 'as_of': revision
            }  # fmt: skip
        if method == 'GET':
            items = [named[each] for each in sorted(named)]
            return 200, {
                'items': items, 'has_more': False, 'as_of': self.revision
            }  # fmt: skip
        sent = json.loads(body) if body else {}
        name = name or sent['meta']['name']
        found = named.get(name)
        wanted = query.get('revision') or sent.get('meta', {}).get('revision')
        if method == 'POST' and found is not None:
            return 409, found
        if method != 'POST' and found is None:
            return 404, {}
        if wanted and int(wanted) != found['meta']['revision']:
            return 409, found
        if method == 'DELETE':
            self.rig.note('store-removes', kind=kind, name=name)
            self.remove(kind, name)
            return 200, {}
        if found is None and kind == 'cumindrift-agents':
            self.rig.note('store-creates', kind=kind, name=name)
        return 200, self.put(kind, name, sent.get('spec'))

    def mute_channels(self):
        """All open channels go silent for good, without a reset."""
        self.muted |= self.open_watches
        self.rig.note('channels-silent', count=len(self.open_watches))

    async def _watch(self, kind, query):
        task = asyncio.current_task()
        self.open_watches.add(task)
        try:
            return await self._wait_for_events(kind, query)
        finally:
            self.open_watches.discard(task)

    async def _wait_for_events(self, kind, query):
        since = int(query['watch'])
        until = time.monotonic() + int(query.get('wait_ms', 30000)) / 1000
        while True:
            events = [
                event for at, of, event in self.history
                if at > since and of == kind
            ]  # fmt: skip
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Target:
    """An endpoint beside its agent."""

    def __init__(self, rig, ip, service, zone, peer_of=None):
        self.rig, self.ip, self.service, self.zone = rig, ip, service, zone
        self.flows = {}
        self.ended = set()
        self.resets = set()
        self.is_alive = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.id = f'i-{self.ip}-{self.born}'
        self.sequence = 0
        self.is_alive = True
        self.udp = await open_udp(self.ip, APP, self.receive)
        self.tcp = await asyncio.start_server(self._accept, self.ip, APP)
        self.task = asyncio.create_task(self._beat())

    async def _accept(self, reader, writer):
        try:
            await read_http(reader)
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def heartbeat(self):
        """Returns the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.service, 'address': f'{self.ip}:{APP}',
            'zone': self.zone, 'version': 'v1', 'max_concurrency': 4,
            'state': 'ready', 'warmup_left_ms': 0,
            'sequence': self.sequence, 'born': self.born,
        }  # fmt: skip

    async def _beat(self):
        while True:
            path = f'/cumindrift/instances/{self.id}'
            await call_http(self.ip, CONTROL, 'PUT', path, self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Ends at once, and loses all flows."""
        self.rig.note('target-crashes', target=self.ip)
        self.is_alive = False
        self.task.cancel()
        self.flows.clear()
        self.ended.clear()
        self.udp.close()
        self.tcp.close()
        await asyncio.sleep(0)

    def receive(self, octets, _addr):
        packet = Packet(octets)
        if not packet.is_valid:
            self.rig.breach('UNASKED', f'{self.ip} got a changed packet')
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {'seq': random.getrandbits(31), 'open': False,
                        'next': packet.seq + 1, 'sent': {}}  # fmt: skip
                self.flows[key] = flow
                self.rig.on_open_packet(self, key)
            self._send(key, SYN | ACK, flow['seq'], packet.seq + 1)
            return
        if key in self.ended:
            if packet.flags & FIN:
                self._send(key, ACK, packet.ack, packet.seq + 1)
            elif packet.data:
                self.resets.add(key)
                self._send(key, RST | ACK, packet.ack, packet.seq)
            return
        if flow is None or not (flow['open'] or packet.ack == flow['seq'] + 1):
            self._bounce(octets)
            return
        if not flow['open']:
            flow['open'] = True
            flow['seq'] += 1
            self.rig.on_flow_open(self, key)
        if packet.data:
            self._on_data(key, flow, packet)
        if packet.flags & FIN:
            self.flows.pop(key)
            self.ended.add(key)
            self._send(key, FIN | ACK, flow['seq'], packet.seq + 1)

    def _on_data(self, key, flow, packet):
        if packet.seq not in flow['sent']:
            request = packet.data.split(b' ')[1].decode()
            self.rig.on_request(self, key, request)
            body = f'RSP {request} {self.service} {self.ip}'.encode()
            flow['sent'][packet.seq] = (flow['seq'], body)
            flow['seq'] += len(body)
            flow['next'] = packet.seq + len(packet.data)
        seq, body = flow['sent'][packet.seq]
        asyncio.get_running_loop().call_later(
            self.rig.work_s,
            lambda: self._send(
                key, ACK, seq, packet.seq + len(packet.data), body
            ),
        )

    def _send(self, key, flags, seq, ack, data=b''):
        if not self.is_alive:
            return
        src, sport, dst, dport = key
        octets = make_packet(dst, dport, src, sport, flags, seq, ack, data)
        self.udp.sendto(octets, (self.ip, OUTBOUND))

    def _bounce(self, octets):
        flags = bytes((octets[10] | BOUNCED, 0))
        self.udp.sendto(octets[:10] + flags + octets[12:], (self.ip, OUTBOUND))


class Flow:
    """One flow of a client."""

    def __init__(self, port, service, is_long):
        self.port, self.service, self.is_long = port, service, is_long
        self.seq = random.getrandbits(30)
        self.ack = 0
        self.is_open = False
        self.is_over = False
        self.event = asyncio.Event()
        self.answer = None
        self.unsent_ack = False


class Client:
    """A client of one zone; flows are run by tasks."""

    def __init__(self, rig, ip, zone):
        self.rig, self.ip, self.zone = rig, ip, zone
        self.flows = {}
        self.port = 1024
        self.number = 0

    async def start(self):
        self.udp = await open_udp(self.ip, DATAGRAM, self.receive)

    def key(self, flow):
        return (self.ip, flow.port, *flow.service)

    def _send(self, flow, flags, ack, data=b''):
        host, port = flow.service
        octets = make_packet(
            self.ip, flow.port, host, port, flags, flow.seq, ack, data
        )
        self.rig.router.route(self, octets)

    async def run(self, service, is_long=False, until_s=0.0, gap_s=0.5):
        """Opens a flow and sends requests; returns how it ended."""
        self.port += 1
        flow = Flow(self.port, service, is_long)
        self.flows[flow.port] = flow
        started_s = self.rig.now()
        self.rig.note('open', client=self.ip, port=flow.port, to=service[0])
        sent_s = time.monotonic()
        self._send(flow, SYN, 0)
        for copies, at_s in enumerate((*SYN_COPIES_S, OPEN_LIMIT_S), 1):
            left = sent_s + at_s - time.monotonic()
            await self._wait(flow, left)
            if flow.is_open or flow.is_over:
                break
            if at_s < OPEN_LIMIT_S:
                self._send(flow, SYN, copies)
        if not flow.is_open:
            how = 'refused' if flow.is_over else 'not opened'
            self.flows.pop(flow.port, None)
            self.rig.note('attempt', client=self.ip, port=flow.port, end=how)
            return how, started_s, None
        self._send(flow, ACK, flow.ack)
        while True:
            how, answer = await self._request(flow)
            if how != 'answered' or not is_long or self.rig.now() >= until_s:
                break
            await self._wait(flow, gap_s)
        if how == 'answered':
            self._send(flow, ACK | FIN, flow.ack)
        self.flows.pop(flow.port, None)
        if is_long or how != 'answered':
            self.rig.note('flow-end', client=self.ip, port=flow.port, end=how)
        return how, started_s, answer

    async def _request(self, flow, limit_s=3.0):
        if flow.is_over:
            return 'reset', None
        self.number += 1
        request = f'{self.ip}-{flow.port}-{self.number}'
        data = f'REQ {request}'.encode()
        self.rig.sent[request] = self.rig.now()
        self.rig.note('sent', request=request)
        flow.answer = None
        flow.request = request
        until = time.monotonic() + limit_s
        wait_s = 0.2
        while time.monotonic() < until:
            self._send(flow, ACK, flow.ack, data)
            await self._wait(flow, min(wait_s, until - time.monotonic()))
            if flow.answer or flow.is_over:
                break
            wait_s = min(wait_s * 2, 1.6)
        if flow.answer:
            flow.seq += len(data)
            self.rig.note('answered', request=request)
            return 'answered', flow.answer
        return ('reset' if flow.is_over else 'no answer'), None

    async def _wait(self, flow, wait_s):
        flow.event.clear()
        if flow.is_over:
            return
        try:
            await asyncio.wait_for(flow.event.wait(), max(wait_s, 0))
        except asyncio.TimeoutError:
            pass

    def receive(self, octets, _addr):
        packet = Packet(octets)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if packet.flags & RST and packet.sum == 0:
            if not flow.is_over:
                flow.is_over = True
                self.rig.on_system_reset(self, flow)
                flow.event.set()
        elif not packet.is_valid:
            self.rig.breach('MIXED', f'{self.ip} got a changed packet')
        elif packet.flags & RST:
            flow.is_over = True
            flow.event.set()
        elif packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.seq += 1
                flow.ack = packet.seq + 1
                flow.event.set()
        elif packet.data and flow.is_open:
            words = packet.data.decode().split(' ')
            if words[1] == getattr(flow, 'request', '') and not flow.answer:
                flow.answer = words
                flow.ack = packet.seq + len(packet.data)
                flow.event.set()


class Router:
    """The platform's routers: hash `steady` over the nodes in rotation."""

    def __init__(self, rig):
        self.rig = rig
        self.misses = {}

    async def start(self):
        self.udp = await open_udp(self.rig.ip(9, 1), 0, lambda *_: None)
        for node in self.rig.fronts():
            self.misses[node.name] = 2
            self.rig.spawn(self._probe(node))

    async def _probe(self, node):
        while True:
            at = time.monotonic()
            status = await call_http(
                node.ip, READY, 'GET', '/cumindrift/ready', timeout_s=0.5
            )
            was_in = self.misses[node.name] < 2
            self.misses[node.name] = (
                0 if status == 200 else self.misses[node.name] + 1
            )
            is_in = self.misses[node.name] < 2
            if is_in != was_in:
                self.rig.note('rotation', node=node.name, is_in=is_in)
            await asyncio.sleep(max(0.5 - (time.monotonic() - at), 0.05))

    def route(self, client, octets):
        fronts = self.rig.fronts()
        zone = [node for node in fronts if node.zone == client.zone]
        ready = [node for node in zone if self.misses[node.name] < 2]
        if len(ready) * 2 < len(zone):
            # Fewer than half of the zone's nodes: all of them are used, or
            # others if none is in rotation.
            ready = zone if ready else [
                node for node in fronts if self.misses[node.name] < 2
            ] or zone  # fmt: skip
        chosen = max(
            ready,
            key=lambda node: zlib.crc32(octets[12:24] + node.ip.encode()),
        )
        self.udp.sendto(octets, (chosen.ip, DATAGRAM))


class Node:
    """One of the project's processes."""

    def __init__(self, rig, name, role, ip, zone, peer_port, service=''):
        self.rig, self.name, self.role, self.ip = rig, name, role, ip
        self.zone, self.peer_port, self.service = zone, peer_port, service
        self.process = None
        self.starts = 0
        self.is_stopped = False

    def start(self):
        if self.is_stopped:
            return
        path = self.rig.folder / f'{self.name}.toml'
        path.write_text(self._settings(), 'utf-8')
        env = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CUMINDRIFT_NODE_FILE'] = str(path)
        with (self.rig.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-OO', 'deploy/start.py'],
                cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.starts += 1
        self.rig.note('started', node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.rig.note('signal', node=self.name, number=int(number))
            self.process.send_signal(number)

    def _settings(self):
        rig = self.rig
        seeds = [f'{node.ip}:{CONTROL}' for node in rig.fronts()][:3]
        fields = {
            'node_name': self.name, 'role': self.role,
            'machine_class': 'front' if self.role == 'balancer' else 'side',
            'ip': self.ip, 'zone': self.zone, 'region': rig.zones[self.zone],
            'internal_port_range': [self.peer_port, self.peer_port + 15],
            'seed_addrs': seeds, 'bootstrap': self.starts == 0,
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'hash_mode': 'steady', 'forwarding_mode': 'agent',
        }  # fmt: skip
        listen = {'datagram_addr': DATAGRAM, 'ready_addr': READY}
        if self.role == 'agent':
            listen |= {'outbound': OUTBOUND, 'control': CONTROL}
            fields |= {'app': f'{self.ip}:{APP}', 'service': self.service}
        else:
            listen |= {'control': CONTROL}
        lines = [f'{k} = {json.dumps(v)}' for k, v in fields.items()]
        lines.append('[zones]')
        lines.extend(f'{k} = "{v}"' for k, v in rig.zones.items())
        lines.append('[listen_addrs]')
        lines.extend(f'{k} = "{self.ip}:{v}"' for k, v in listen.items())
        lines.append('[bounds]')
        lines.extend(f'{k} = {v}' for k, v in BOUNDS.items())
        lines.extend(('[platform]', f'address = "{rig.store.ip}:{STORE}"'))
        return '\n'.join(lines) + '\n'


class Rig:
    """Owns everything that a case starts, and its record."""

    def __init__(self, case, zones, work_s=0.03):
        self.case = Path(case)
        self.zones = zones
        self.work_s = work_s
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record = (self.case / 'record.txt').open('w', encoding='utf-8')
        self.base = self._free_base()
        self.start_s = time.monotonic()
        self.nodes, self.targets, self.clients = [], [], []
        self.breaches = []
        self.tasks = []
        self.sent = {}
        self.run_by = {}
        self.opened = {}
        self.store = Store(self, self.ip(9, 9))
        self.router = Router(self)

    def _free_base(self):
        for base in random.sample(range(40, 240), 100):
            try:
                with socket.socket() as sock:
                    sock.bind((f'127.{base}.9.9', STORE))
                return base
            except OSError:
                continue
        raise OSError('no free loopback addresses')

    def ip(self, group, number):
        return f'127.{self.base}.{group}.{number}'

    def now(self):
        return round(time.monotonic() - self.start_s, 3)

    def note(self, event, **fields):
        text = ' '.join(f'{k}={v}' for k, v in fields.items())
        self.record.write(f'{self.now():8.3f} {event} {text}\n')
        self.record.flush()

    def breach(self, rule, detail):
        self.breaches.append((self.now(), rule, detail))
        self.note('BREACH', rule=rule, detail=detail)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def fronts(self):
        return [node for node in self.nodes if node.role == 'balancer']

    def add_front(self, number, zone, peer_port=7720):
        node = Node(
            self,
            f'front-{number}',
            'balancer',
            self.ip(1, number),
            zone,
            peer_port,
        )
        self.nodes.append(node)
        return node

    def add_side(self, number, zone, service, peer_port=7720):
        ip = self.ip(2, number)
        node = Node(
            self, f'side-{number}', 'agent', ip, zone, peer_port, service
        )
        self.nodes.append(node)
        target = Target(self, ip, service, zone)
        self.targets.append(target)
        return node

    def add_client(self, number, zone):
        client = Client(self, self.ip(3, number), zone)
        self.clients.append(client)
        return client

    async def start(self):
        await self.store.start()
        for target in self.targets:
            await target.start()
        for node in self.nodes:
            node.start()
        for client in self.clients:
            await client.start()
        await self.router.start()
        self.spawn(self._restart_ended())
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all(miss < 2 for miss in self.router.misses.values()):
                break
        else:
            raise RuntimeError('the nodes did not become ready')
        await asyncio.sleep(1.5)
        self.note('ready')

    async def _restart_ended(self):
        while True:
            for node in self.nodes:
                if node.process.poll() is not None and not node.is_stopped:
                    self.note(
                        'ended', node=node.name, code=node.process.returncode
                    )
                    await asyncio.sleep(RESTART_S)
                    node.start()
            await asyncio.sleep(0.05)

    # What the judge sees; a case may add checks.

    def on_open_packet(self, target, key):
        self.note(
            'open-packet',
            target=target.ip,
            service=target.service,
            client=key[0],
            port=key[1],
        )

    def on_flow_open(self, target, key):
        self.opened[key] = (target, self.now())
        self.note('flow-open', target=target.ip, client=key[0], port=key[1])

    def on_request(self, target, key, request):
        if request in self.run_by:
            self.note('run-again', request=request, target=target.ip)
        self.run_by[request] = (target.service, self.now())
        self.note(
            'run', request=request, service=target.service, target=target.ip
        )

    def on_system_reset(self, client, flow):
        key = client.key(flow)
        target, _at = self.opened.get(key, (None, 0))
        holds = target is not None and target.is_alive and key in target.flows
        self.note(
            'system-reset',
            client=client.ip,
            port=flow.port,
            is_open=flow.is_open,
            held_by=target.ip if holds else '-',
        )
        if holds and flow.is_open:
            self.breach(
                'FLOW',
                f'{client.ip}:{flow.port} was reset by the system; '
                f'{target.ip} holds the flow and lives',
            )

    def stop(self):
        for node in self.nodes:
            node.is_stopped = True
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(rig, play, wanted):
    """Plays a case; exits 1 if one of the wanted rules broke, 0 if not."""

    def leave(code):
        rig.stop()
        sys.stdout.flush()
        # At once, without waiting for the tasks and streams still open.
        os._exit(code)

    def give_up():
        rig.note('could-not-run', error='out of time')
        leave(2)

    async def main():
        try:
            await rig.start()
            await play()
        except Exception as error:
            rig.note('could-not-run', error=repr(error))
            print(f'could not run: {error!r}')
            leave(2)
        broken = [each for each in rig.breaches if each[1] in wanted]
        rig.note('result', trouble=rig.trouble, broken=len(broken))
        print(f'{len(broken)} breaches of {"/".join(wanted)}')
        for at_s, rule, detail in broken[:5]:
            print(f'{at_s:8.3f} {rule} {detail}')
        leave(1 if broken else 0)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: leave(2))
    timer = threading.Timer(TIME_LIMIT_S, give_up)
    timer.daemon = True
    timer.start()
    asyncio.run(main())
