"""Steps of the keyring feature."""

from behave import given, then, when

from cumindrift.metric import DROPS
from features.builders.peer import datagram_that_is, recording_reader, ring


@given('a datagram that was sealed with key {name}')
def step_sealed(context, name):
    context.datagram = ring(name).sign(b'body')


@when('it is opened by a keyring of {names}')
def step_opened(context, names):
    context.opened = ring(names).verify(context.datagram)


@then('it is {outcome:w}')
def step_outcome(context, outcome):
    wanted = {'opened': b'body', 'refused': None}[outcome]
    assert context.opened == wanted, context.opened


@given('processes with the keys of each step of a change from a to b')
def step_change(context):
    context.rings = [ring(names) for names in ('a', 'a,b', 'b,a', 'b')]


@then("the processes of any two neighbouring steps open each other's words")
def step_neighbours(context):
    for one, next_one in zip(context.rings, context.rings[1:], strict=False):
        assert one.verify(next_one.sign(b'body')) == b'body'
        assert next_one.verify(one.sign(b'body')) == b'body'


@then('those of the first and the last step do not')
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


@then('it is counted as {code} and reaches no core')
def step_counted(context, code):
    assert not context.received, context.received
    for name, before in context.counts.items():
        counted = DROPS.labels(name).total - before
        assert counted == (name == code), (name, counted)


@then('it reaches the core')
def step_reaches(context):
    assert len(context.received) == 1
