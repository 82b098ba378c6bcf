"""Steps of node_fair_share.feature."""

from itertools import count

from behave import given, then, when

from cumindrift.metric import SHARE_EXCEEDED
from features.builders.core import BalancerBench
from features.builders.fair_share import (
    client_address,
    client_syn,
    number_in_bucket,
)
from features.builders.node import SERVICE


@given('a balancer that {judges} targets')
def step_balancer(context, judges):
    context.bench = BalancerBench()
    context.bench.core.state.judges_targets = judges == 'judges'
    context.ports = count(41000)
    context.marked = []
    context.counter = SHARE_EXCEEDED.labels(SERVICE, '0')
    context.counted = context.counter.total


@when('clients {first:d} to {last:d} send {syns:d} SYNs each')
@when(
    'clients {first:d} to {last:d} send {syns:d} SYNs each in {copies:d} copies'
)
def step_send(context, first, last, syns, copies=1):
    bench = context.bench
    for number in sorted([*range(first, last + 1)] * syns):
        octets = client_syn(number, next(context.ports))
        for _ in range(copies):
            bench.now_s += 0.0001
            bench.core.on_packet(octets, bench.now_s)
        if bench.core.state.hints.get(octets[12:24]).is_share_exceeded:
            context.marked.append(number)
        bench.refuse_all()


@when('a client in the same bucket of row {row:d} as client 99 sends a SYN')
def step_send_near(context, row):
    salt = context.bench.core.placer.shares.by_service[SERVICE].salt
    other = number_in_bucket(99, row, salt)
    step_send(context, other, other, 1)


@then('{marked:d} SYNs are marked, and they are of client {number:d}')
def step_marked(context, marked, number):
    assert context.marked == [number] * marked, context.marked
    assert context.counter.total - context.counted == marked


@then('a SYN of client {number:d} is tried')
def step_tried(context, number):
    (sent,) = context.bench.output.sent
    assert sent[1].packet[20:24] == client_address(number)


@then('no SYN was counted')
def step_uncounted(context):
    assert not context.bench.core.placer.shares.by_service
