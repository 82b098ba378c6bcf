"""Test data of the peer port: frame readers and their datagrams."""

from attrs import evolve

from cumindrift.context import Context, make_context
from cumindrift.keyring import Keyring
from cumindrift.membership.message import Records, Sender, membership
from cumindrift.peer import FrameReader
from cumindrift.settings.process import ProcessSettings
from cumindrift.wire import encode_frame
from lab.member_cluster import make_member

KEYS = {name: name.encode() * 16 for name in 'abc'}


def ring(names: str) -> Keyring:
    """Returns the keyring of keys such as ``a,b``."""
    return Keyring(tuple(KEYS[name] for name in names.split(',')))


def peer_context() -> Context:
    """Returns a context with key a, whose peer port is any free one."""
    settings = ProcessSettings(
        role='balancer',
        name='balancer-1',
        region='fi-south',
        data_centre='hel-a',
        peer='127.0.0.1:0',
        admin='127.0.0.1:0',
        keys=(KEYS['a'].hex(),),
    )
    return make_context(settings)


def recording_reader(received: list) -> FrameReader:
    """Returns a frame reader that appends membership messages to a list."""
    context = peer_context()
    context.receivers[membership.number] = lambda message, _now_s: (
        received.append(message)
    )
    return FrameReader(context)


def datagram_that_is(kind: str) -> bytes:
    """Returns a valid datagram, or one with the fault that is named."""
    member = make_member(1)
    sender = Sender(member.claim(), member.endpoint)
    frame = encode_frame(membership, Records(sender, (member, member)))
    whole = ring('a').sign(frame)
    odd = evolve(sender, claim=evolve(sender.claim, state=99))
    datagrams = {
        'complete and signed': whole,
        'empty': b'',
        'shorter than a digest': whole[-9:],
        'signed with an unknown key': ring('c').sign(frame),
        'not signed': frame,
        'signed, with one bit changed': bytes([whole[0] ^ 1]) + whole[1:],
        'signed and truncated': whole[:-40],
        'signed and empty inside': ring('a').sign(b''),
        'signed, of unknown family': ring('a').sign(b'\xfa' + frame[1:]),
        'signed, with half a message': ring('a').sign(frame[: len(frame) // 2]),
        'signed, with a state of 99': ring('a').sign(
            encode_frame(membership, Records(odd, ())),
        ),
        'signed, with uneven columns': ring('a').sign(uneven_frame(sender)),
    }
    return datagrams[kind]


def uneven_frame(sender: Sender) -> bytes:
    """Returns a frame whose list of names is longer than the others."""
    union = membership._union
    claim = sender.claim
    message = union.new_message(
        records={
            'sender': {
                'claim': {
                    'memberId': claim.member_id,
                    'incarnation': claim.incarnation,
                    'state': int(claim.state),
                },
                'endpoint': {'ip': sender.endpoint.ip, 'port': 7000},
            },
            'members': {'names': ['a', 'b'], 'roles': ['agent']},
        },
    )
    return bytes((membership.number,)) + message.to_bytes()
