"""Steps of node_odd_entries.feature."""

import json
from random import Random

from behave import given, then, when

from cumindrift.fleet.balancer_store import parse_agent_entry, watch_store
from cumindrift.fleet.call import AnswerTag
from cumindrift.fleet.peer_reader import adopt_known_objects
from cumindrift.outcome import Refused
from cumindrift.platform.documents import PARSE_ERRORS
from cumindrift.platform.heartbeat import read_heartbeat
from cumindrift.platform.store_api import decode_answer
from cumindrift.steering.frame import encode_forwarded
from features.builders.core import BalancerBench
from features.builders.node import SERVICE, SYN, agent_ip
from features.builders.node_store import make_context

DEPTH = 100_000
# A text in the place of each odd value, replaced in the encoded document.
ODD = '"(odd)"'
VALUES = {
    'an integer of 400 digits': '9' * 400,
    'a value nested 100000 deep': '[' * DEPTH + ']' * DEPTH,
    'minus one': '-1',
    'a port of 70000': '"10.1.0.13:70000"',
    'a port of 6000 digits': f'"10.1.0.13:{"9" * 6000}"',
}
ODDITIES = {
    'a value nested 100000 deep': (
        'spec',
        VALUES['a value nested 100000 deep'],
    ),
    'a number of 6000 digits': ('spec', '9' * 6000),
    'a revision of 30 digits': ('revision', '9' * 30),
    'a negative revision': ('revision', '-5'),
    'an address that is no IP number': ('ip', '"side-1.example"'),
    'an IP number with a part of 999': ('ip', '"10.1.1.999"'),
    'an address with a port': ('ip', '"10.1.1.9:99999"'),
    'a number for an address': ('ip', '7'),
    'an infinite number for an address': ('ip', '1e999'),
    'no content': ('spec', 'null'),
}
HEARTBEAT = {
    'service': SERVICE,
    'address': '10.1.0.13:8165',
    'state': 'ready',
    'max_concurrency': 4,
    'warmup_left_ms': 0,
    'sequence': 4,
    'born': 1_000_000,
}


def agent_item(number):
    """Returns an agent's entry as the store lists it."""
    return {
        'meta': {'name': f'side-{number}', 'revision': number},
        'spec': {
            'ip': agent_ip(number),
            'data_centre': 'hel-a',
            'service': SERVICE,
        },
    }


def list_of_agents(place, value):
    """Returns a list of three agents; one has `value` at `place`."""
    items = [agent_item(number) for number in (1, 2, 3)]
    odd = items[1]
    if place == 'spec':
        odd['spec'] = '(odd)'
    elif place == 'revision':
        odd['meta']['revision'] = '(odd)'
    else:
        odd['spec'][place] = '(odd)'
    text = json.dumps({'items': items, 'as_of': 9})
    return text.replace(ODD, value).encode()


@given('a list of agents in which one entry has {oddity}')
def step_list(context, oddity):
    context.octets = list_of_agents(*ODDITIES[oddity])


@when('a balancer reads the list and a client sends a SYN')
def step_read(context):
    answer = decode_answer(200, context.octets)
    assert answer.tag is AnswerTag.DONE, answer
    entries = {
        item.name: parse_agent_entry(item.name, item.content)
        for item in answer.items
    }
    usable = {
        name: entry
        for name, entry in entries.items()
        if not isinstance(entry, Refused)
    }
    assert {'side-1', 'side-3'} <= usable.keys(), usable.keys()
    context.bench = BalancerBench()
    context.bench.directory.apply_agents(usable)
    context.bench.packet(SYN)


@then('the SYN is sent to a usable agent')
def step_sent(context):
    ip, message = context.bench.output.sent[0]
    assert ip.startswith('10.1.1.')
    assert encode_forwarded(message)


@given('a heartbeat whose {field} is {value}')
def step_heartbeat(context, field, value):
    text = json.dumps({**HEARTBEAT, field: '(odd)'})
    octets = text.replace(ODD, VALUES[value]).encode()
    context.outcome = read_heartbeat('i-1', octets)


@then('no heartbeat is read')
def step_refused(context):
    assert isinstance(context.outcome, Refused), context.outcome


@when('the store answers a list whose revision is {value}')
def step_as_of(context, value):
    text = json.dumps({'items': [], 'as_of': '(odd)'})
    octets = text.replace(ODD, VALUES[value]).encode()
    context.answer = decode_answer(200, octets)


@then('the answer counts as malformed')
def step_malformed(context):
    assert context.answer.tag is AnswerTag.MALFORMED


@given('a balancer that asks a peer')
def step_peer(context):
    context.node = make_context()
    watch_store(context.node)


@when('the peer answers with a revision of 30 digits')
def step_beliefs(context):
    kinds = {
        kind: {'as_of': 10**30, 'objects': []} for kind in context.node.watchers
    }
    context.error = None
    try:
        adopt_known_objects(context.node, json.dumps(kinds).encode())
    except PARSE_ERRORS as error:
        context.error = error


@then('the answer is refused as beliefs that cannot be read')
def step_beliefs_refused(context):
    assert context.error is not None


@then('{count:d} changed lists are read or refused')
def step_changed(context, count):
    random = Random(11)
    plain = list_of_agents('revision', '7')
    for _ in range(count):
        octets = bytearray(plain)
        octets[random.randrange(len(octets))] = random.randrange(256)
        answer = decode_answer(200, bytes(octets[: random.randrange(400)]))
        for item in answer.items:
            parse_agent_entry(item.name, item.content)
