"""Steps of keyring.feature."""

from behave import given, then, when

from cumindrift.metric import DROPS
from features.builders.peer import datagram_that_is, recording_reader, ring


@given('a datagram signed with key {name}')
def step_signed(context, name):
    context.datagram = ring(name).sign(b'body')


@when('it is verified by a keyring of {names}')
def step_verified(context, names):
    context.verified = ring(names).verify(context.datagram)


@then('it is {outcome:w}')
def step_outcome(context, outcome):
    wanted = {'valid': b'body', 'invalid': None}[outcome]
    assert context.verified == wanted, context.verified


@given('processes with the keys of each step of a rotation from a to b')
def step_change(context):
    context.rings = [ring(names) for names in ('a', 'a,b', 'b,a', 'b')]


@then("processes at consecutive steps verify each other's datagrams")
def step_neighbours(context):
    for one, next_one in zip(context.rings, context.rings[1:], strict=False):
        assert one.verify(next_one.sign(b'body')) == b'body'
        assert next_one.verify(one.sign(b'body')) == b'body'


@then('those at the first and the last step do not')
def step_ends(context):
    first, *_, last = context.rings
    assert first.verify(last.sign(b'body')) is None
    assert last.verify(first.sign(b'body')) is None


@given('a peer port that shares key a with its peers')
def step_port(context):
    context.received = []
    context.reader = recording_reader(context.received)


@when('a datagram arrives that is {kind}')
def step_arrives(context, kind):
    context.counts = {
        code: DROPS.labels(code).total
        for code in ('MESSAGE_FORGED', 'MESSAGE_MALFORMED')
    }
    context.reader.read(datagram_that_is(kind))


@then('it is counted as {code} and dropped')
def step_counted(context, code):
    assert not context.received, context.received
    for name, before in context.counts.items():
        counted = DROPS.labels(name).total - before
        assert counted == (name == code), (name, counted)


@then('the core receives it')
def step_reaches(context):
    assert len(context.received) == 1
