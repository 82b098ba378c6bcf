"""Steps of node_wire.feature."""

import json
from random import Random

from behave import given, then, when

from cumindrift.fleet.copy_version import CopyStamp
from cumindrift.fleet.settings_check import check_settings
from cumindrift.outcome import Done, Refused
from cumindrift.platform.heartbeat import read_heartbeat
from cumindrift.platform.node_file import read_node_file
from cumindrift.platform.store_api import decode_answer
from cumindrift.steering.frame import (
    AgentReport,
    ForwardedPacket,
    FrameKind,
    Load,
    decode_frame,
    encode_forwarded,
    encode_report,
)
from features.builders.node import flow_key, forwarded, node_file, opening

HEARTBEAT = {
    'service': 'kaynti',
    'address': '10.1.0.13:8165',
    'zone': 'hel-a',
    'version': 'v1',
    'max_concurrency': 4,
    'state': 'ready',
    'warmup_left_ms': 0,
    'sequence': 4,
    'born': 1790000000000,
}
FRAMES = {
    'a SYN': opening(cold_rate=4.0, keeper_ips=('10.1.2.1',), sender_ip=''),
    'data in a search': forwarded(
        b'x' * 40,
        FrameKind.SEARCH,
        hop_count=2,
        sender_ip='',
        evacuations=CopyStamp(40, 27),
        is_evacuated=True,
    ),
    'a report with a packet': AgentReport(
        FrameKind.RETURNED,
        flow_key(),
        5,
        6,
        True,
        Load(1, 2, 3, 4),
        b'packet',
        27,
    ),
}


@given('a heartbeat with {field} as {content}')
def step_heartbeat(context, field, content):
    bare = dict(HEARTBEAT)
    if content == '(missing)':
        bare.pop(field)
    else:
        bare[field] = json.loads(content)
    context.outcome = read_heartbeat('i-1', json.dumps(bare).encode())


@given('the body of a heartbeat is {body}')
def step_body(context, body):
    context.outcome = read_heartbeat('i-1', body.encode())


@given('a settings file')
def step_file(context):
    context.outcome = read_node_file(node_file())


@given('a settings file without {field}')
def step_file_without(context, field):
    context.outcome = read_node_file(node_file(**{field: None}))


@given('a settings file of other text')
def step_other_text(context):
    context.outcome = read_node_file('{"node_name": 1}')


@when('the store answers {status:d} with {body}')
def step_store(context, status, body):
    context.answer = decode_answer(status, body.encode())


@given('a frame of {what}')
def step_frame(context, what):
    context.message = FRAMES[what]


@then('it is refused with code {code:d}')
def step_refused(context, code):
    assert isinstance(context.outcome, Refused), context.outcome
    assert context.outcome.code == code, context.outcome


@then('it says that the target drains, with incarnation {incarnation:d}')
def step_drains(context, incarnation):
    assert isinstance(context.outcome, Done), context.outcome
    heartbeat = context.outcome.content
    assert heartbeat.is_draining
    assert heartbeat.incarnation == incarnation


@then('its node is {name} in {data_centre}, with peers on port {port:d}')
def step_node(context, name, data_centre, port):
    settings = context.outcome.content.settings
    found = (settings.name, settings.data_centre, settings.peer.port)
    assert found == (name, data_centre, port)


@then('the answer is {tag}')
def step_tag(context, tag):
    assert context.answer.tag.value == tag, context.answer


@then('the answer holds {count:d} object and {strange:d} that cannot be read')
def step_holds(context, count, strange):
    found = (len(context.answer.items), context.answer.unreadable_count)
    assert found == (count, strange), found


@then('it is decoded as it was encoded')
def step_same(context):
    message = context.message
    if isinstance(message, ForwardedPacket):
        read = decode_frame(encode_forwarded(message))
        names = ForwardedPacket.__attrs_attrs__
    else:
        read = decode_frame(encode_report(message))
        names = AgentReport.__attrs_attrs__
    for each in names:
        wanted, found = getattr(message, each.name), getattr(read, each.name)
        if isinstance(wanted, Load):
            assert found.response_ms == wanted.response_ms
        else:
            assert found == wanted, (each.name, found, wanted)


@then('{count:d} frames of random octets are decoded or refused')
def step_random(context, count):
    random = Random(7)
    for _ in range(count):
        decode_frame(random.randbytes(random.randrange(80)))


@given('a settings file with {key} as {content}')
def step_file_with(context, key, content):
    found = int(content) if content.isdigit() else content
    context.outcome = read_node_file(node_file(**{key: found}))


@then('the check of its settings names {path}')
def step_checked(context, path):
    found = check_settings(context.outcome.content.settings)
    assert (found.path if found else 'nothing') == path, found
