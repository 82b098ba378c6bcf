"""Steps of node_process.feature."""

import json
import os
import subprocess
import sys
from contextlib import suppress
from http.client import HTTPConnection
from pathlib import Path
from signal import SIGTERM
from socket import AF_INET, SOCK_DGRAM, socket
from tempfile import mkdtemp
from time import monotonic, sleep

from behave import given, then, when

from cumindrift.steering.frame import (
    ForwardedPacket,
    FrameKind,
    encode_forwarded,
)
from cumindrift.steering.frame import service_digest as digest_of
from features.builders.node import (
    ACK,
    SERVICE,
    SYN,
    client_packet,
    node_file,
    target_packet,
)

NODE_IP = '127.0.9.13'
PORTS = {'packets': 8172, 'outbound': 8162, 'ready': 8167, 'control': 8166}
HEARTBEAT = {
    'service': SERVICE,
    'address': f'{NODE_IP}:8165',
    'max_concurrency': 4,
    'state': 'ready',
    'warmup_left_ms': 0,
    'sequence': 4,
    'born': 1790000000000,
}


PROJECT = Path(__file__).parents[2]
BUNDLE_PATH = 'target/node.bundle'


def start_node(context, text, command=('-m', 'cumindrift.node'), folder=None):
    """Starts a node with a settings file until the end of the scenario."""
    folder = folder or Path(mkdtemp())
    (folder / 'local.toml').write_text(text, 'utf-8')
    context.log = folder / 'log'
    environment = {
        **os.environ,
        'CUMINDRIFT_NODE_FILE': str(folder / 'local.toml'),
    }
    with context.log.open('wb') as log:
        context.process = subprocess.Popen(  # noqa: S603 - our own file
            [sys.executable, *command],
            stdout=log,
            stderr=log,
            env=environment,
            cwd=folder,
        )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


def make_bundle(folder):
    """Writes the bundle of a node in `folder`, as deploy/build does."""
    (folder / 'target').mkdir(exist_ok=True)
    subprocess.run(  # noqa: S603 - our own file
        [sys.executable, PROJECT / 'deploy/bundle.py'],
        cwd=folder,
        check=True,
    )


def call(method, port, path, body=None):
    """Returns status and body of a call; waits until the node listens."""
    until_s = monotonic() + 5
    while True:
        connection = HTTPConnection(NODE_IP, port, timeout=5)
        try:
            connection.request(method, path, body)
        except ConnectionRefusedError:
            assert monotonic() < until_s, 'the node does not listen'
            sleep(0.02)
            continue
        answer = connection.getresponse()
        return answer.status, answer.read().decode()


def udp(context, ip, port):
    """Returns a bound UDP socket, closed at the end of the scenario."""
    sock = socket(AF_INET, SOCK_DGRAM)
    sock.bind((ip, port))
    sock.settimeout(5)
    context.add_cleanup(sock.close)
    return sock


@given("an agent's process on loopback")
def step_start(context):
    context.target = udp(context, NODE_IP, 8165)
    start_node(context, node_file().replace('10.1.0.13', NODE_IP))


@when('a node is started with a truncated settings file')
def step_truncated(context):
    start_node(context, node_file()[:60])


@then('GET {path} returns a text with {text}')
def step_page(context, path, text):
    status, body = call('GET', 9102, path)
    assert status == 200, (status, body)
    assert text in body, body


@then('it acknowledges a heartbeat of its target')
def step_heartbeat(context):
    path = '/cumindrift/instances/i-1'
    status, _ = call('PUT', PORTS['control'], path, json.dumps(HEARTBEAT))
    assert status == 200, status


@then('it rejects a malformed heartbeat with status {wanted:d}')
def step_malformed_heartbeat(context, wanted):
    path = '/cumindrift/instances/i-1'
    status, _ = call('PUT', PORTS['control'], path, '{"service": 7}')
    assert status == wanted, status


@when('a SYN comes from a balancer')
def step_syn(context):
    context.balancer = udp(context, '127.0.9.10', 7720)
    syn = client_packet(SYN)
    forwarded = ForwardedPacket(
        FrameKind.OPEN,
        '127.0.9.10',
        syn,
        service_digest=digest_of(SERVICE),
    )
    context.balancer.sendto(encode_forwarded(forwarded), (NODE_IP, 7720))
    context.syn = syn


@then(
    'the target receives the SYN,'
    ' and the agent reports to the balancer that it holds the flow'
)
def step_forwarded(context):
    octets, _ = context.target.recvfrom(2000)
    assert octets == context.syn
    answer = target_packet(SYN | ACK)
    context.target.sendto(answer, (NODE_IP, PORTS['outbound']))
    report, _ = context.balancer.recvfrom(2000)
    assert report[0] == FrameKind.HELD


@when('the process receives SIGTERM')
def step_stop(context):
    context.process.send_signal(SIGTERM)


@then('it ends with exit code {code:d} within {seconds:d} s')
def step_ends(context, code, seconds):
    assert context.process.wait(seconds) == code


@then('its log holds {events}')
def step_log(context, events):
    lines = context.log.read_text('utf-8').splitlines()
    found = [json.loads(line)['event'] for line in lines]
    missing = set(events.split(', ')) - set(found)
    assert not missing, (missing, found)


@given("an agent's process started from its bundle")
def step_start_bundled(context):
    folder = Path(mkdtemp())
    make_bundle(folder)
    text = node_file().replace('10.1.0.13', NODE_IP)
    start_node(context, text, (PROJECT / 'deploy/start.py',), folder)


@then('it has its bundle open')
def step_bundle_open(context):
    names = set()
    for place in Path(f'/proc/{context.process.pid}/fd').iterdir():
        # Other descriptors may be closed meanwhile.
        with suppress(FileNotFoundError):
            names.add(str(place.readlink()))
    assert str(context.log.parent / 'target/node.bundle') in names, names


@when('a process that is importing a node receives SIGHUP')
def step_sighup(context):
    lines = (
        'from cumindrift import quickstart',
        'import os, signal',
        'os.kill(os.getpid(), signal.SIGHUP)',
    )
    context.ended = subprocess.run(  # noqa: S603 - our own code
        [sys.executable, '-c', '\n'.join(lines)],
        check=False,
    )


@then('it continues')
def step_continues(context):
    assert context.ended.returncode == 0, context.ended


@given('a bundle that a starting node has opened')
def step_bundle_opened(context):
    context.folder = Path(mkdtemp())
    make_bundle(context.folder)
    context.bundle = (context.folder / BUNDLE_PATH).open('rb')
    context.earlier = (context.folder / BUNDLE_PATH).read_bytes()


@when('the bundle is built again')
def step_bundle_again(context):
    make_bundle(context.folder)


@then('the node reads the bundle that it has opened')
def step_bundle_same(context):
    opened = os.fstat(context.bundle.fileno())
    assert opened.st_ino != (context.folder / BUNDLE_PATH).stat().st_ino
    assert context.bundle.read() == context.earlier
    context.bundle.close()
