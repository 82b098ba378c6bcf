"""Steps of soak.feature."""

import re
import subprocess
import sys
from random import Random
from socket import inet_aton

from behave import given, then, when
from circuits import Component, Event, handler

from cumindrift.platform.packet import build_reset
from lab.soak.client import ClientFlow, SoakClient
from lab.soak.failure import FailureRecorder
from lab.soak.promise import Ledger
from lab.soak.served import RETURN_S, ServedWatch
from lab.soak.target import SoakTarget
from lab.soak.wire import ACK, SYN, make_packet

CLIENT_IP, TARGET_IP = '127.19.3.1', '127.19.2.1'
PORT = 1024


@when('the soak runs seed {seed:d} with {faults_s:d} s of faults')
def step_run(context, seed, faults_s):
    run_soak(context, seed, faults_s)


@when('the soak runs seed {seed:d} with {faults_s:d} s of the fault {name}')
def step_run_fault(context, seed, faults_s, name):
    run_soak(context, seed, faults_s, f'--faults={name}')


@when(
    'the soak runs seed {seed:d} with {faults_s:d} s of failing judged targets'
)
def step_run_judged(context, seed, faults_s):
    run_soak(
        context,
        seed,
        faults_s,
        '--faults=failing,burst',
        '--judges_targets',
    )


def run_soak(context, seed, faults_s, *flags):
    """Runs one seed as a process of its own; keeps its result."""
    command = (
        sys.executable,
        '-m',
        'lab.soak.run',
        f'--seeds={seed}',
        f'--faults_s={faults_s}',
        *flags,
    )
    context.soak = subprocess.run(  # noqa: S603 - our own program
        command,
        capture_output=True,
        text=True,
        check=False,
    )


@then('no promise was broken')
def step_kept(context):
    assert context.soak.returncode == 0, context.soak


@then('targets that had failed served again')
def step_served_again(context):
    text = context.soak.stdout
    assert "'recovered targets that served again'" in text, text


@then('it is refused, since {name} needs --judges_targets')
def step_needs_flag(context, name):
    assert context.soak.returncode == 2, context.soak
    told = f"['{name}'] need --judges_targets"
    assert told in context.soak.stderr, context.soak


@then('it opened {count:d} flows or more')
def step_opened(context, count):
    found = re.search(r"'flows opened': (\d+)", context.soak.stdout)
    assert int(found[1]) >= count, context.soak.stdout


@given('a ledger of the soak')
def step_ledger(context):
    context.now_s = 100.0
    context.ledger = Ledger()
    context.holder = ''
    context.client = SoakClient(
        CLIENT_IP,
        Random(1),
        context.ledger,
        lambda: context.now_s,
        lambda _octets: None,
        lambda _key: context.holder,
    )
    context.add_cleanup(context.client.release)
    context.target = SoakTarget(
        TARGET_IP,
        'kaynti',
        'hel-a',
        Random(1),
        context.ledger,
        lambda: context.now_s,
    )
    context.add_cleanup(context.target.release)


def add_flow(context, *, is_open):
    """Adds a flow to the client."""
    flow = ClientFlow(PORT, context.now_s, context.now_s + 5, is_open=is_open)
    context.client.flows[PORT] = flow
    return flow


def deliver(context, octets):
    """Delivers a packet to the client."""
    context.client.receive_packet(octets)


@when('a client receives a reset for a flow that a target holds')
def step_reset_held(context):
    flow = add_flow(context, is_open=True)
    context.holder = TARGET_IP
    deliver(context, build_reset(context.client.key_of(flow), 1))


@when('a client receives a packet with a wrong checksum')
def step_forged(context):
    add_flow(context, is_open=True)
    octets = answer(b'answer to nobody')
    deliver(context, octets[:-1] + b'!')


@when('a client receives the response to another flow')
def step_other(context):
    add_flow(context, is_open=True)
    deliver(context, answer(b'answer to 127.19.3.1 9999 1'))


@when('a flow does not open after the time to recover')
def step_not_opened(context):
    context.client.healthy_from_s = context.now_s - 1
    add_flow(context, is_open=False)
    context.now_s += 2
    context.client.tick()


@when('a draining target receives a SYN after the time to drain')
def step_drained(context):
    context.target.drained_s = context.now_s - 5
    context.target.receive_packet(opening())


@when('a target receives a SYN after the time to evacuate')
def step_evacuated(context):
    context.target.evacuated_s = context.now_s - 9
    context.target.receive_packet(opening())


@when('a target receives a SYN after the time to apply a manifest')
def step_unrouted(context):
    context.target.unrouted_s = context.now_s - 5
    context.target.receive_packet(opening())


@when('a flow does not open although only one target fails')
def step_not_opened_beside(context):
    context.client.served_from_s = context.now_s - 1
    add_flow(context, is_open=False)
    context.now_s += 2
    context.client.tick()


@when('a failing target gets two new flows at once')
def step_two_trials(context):
    target = context.target
    target.begin_failing()
    target.served_from_s = context.now_s
    context.now_s += 1
    for port in (PORT, PORT + 1):
        client = (inet_aton(CLIENT_IP), port)
        target.receive_packet(make_packet(client, SYN, 1000, 0))
        (flow,) = target.flows.values()
        acknowledged = flow.sequence + 1
        request = make_packet(client, ACK, 1001, acknowledged, b'request')
        target.receive_packet(request)


@when('a recovered target gets no new flow')
def step_not_returned(context):
    context.target.begin_failing()
    context.target.end_failing()
    context.now_s += RETURN_S + 1
    watch = ServedWatch(context.ledger)
    watch.check_returns([context.target], context.now_s)


@then('the promise {promise} is recorded as broken')
def step_noted(context, promise):
    assert len(context.ledger.breaches) == 1, context.ledger.breaches
    assert context.ledger.breaches[0].startswith(promise), (
        context.ledger.breaches
    )


def opening():
    """Returns a client's SYN."""
    return make_packet((inet_aton(CLIENT_IP), PORT), SYN, 1000, 0)


def answer(body):
    """Returns a target's response packet."""
    client = (inet_aton(CLIENT_IP), PORT)
    return make_packet(client, ACK, 1, 1, body, is_answer=True)


@when('two faults end the target, and both start it again')
def step_two_faults(context):
    context.target.crash()
    context.target.crash()
    context.target.start_target()
    context.target.start_target()


@then('the target runs, in its second incarnation')
def step_second(context):
    assert context.target.is_running
    assert context.target.incarnation == 2, context.target.incarnation


class failing_step(Event):  # noqa: N801 - circuits derives event names
    """Fired at a component whose handler fails."""


class FailingPart(Component):
    """A part of the soak whose handler fails."""

    @handler('failing_step')
    def _on_step(self):
        raise OSError('address in use')


@when('a handler of the soak itself fails')
def step_driver(context):
    root = FailingPart()
    FailureRecorder(context.ledger, lambda: context.now_s).register(root)
    root.fire(failing_step())
    for _ in range(4):
        root.flush()
