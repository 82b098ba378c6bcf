"""Steps of the feature about agents that search for balancers."""

from itertools import islice

from behave import given, then, when

from cumindrift.fleet.ring import HomeRing
from cumindrift.steering.frame import FrameKind, News
from features.builders.node import (
    ACK,
    BALANCER_IP,
    agent_ip,
    carried,
    client_packet,
    flow_key,
    opening,
)

HOME_IPS = ('10.1.2.1', '10.1.2.2')
SCOUT_IP = '10.1.2.9'


def numbers_of(text):
    """Returns the numbers of a list such as 1, 2, 4."""
    return [int(number) for number in text.split(', ')]


def deny(context, numbers, unsure=()):
    """Lets agents say that they do not hold the flow."""
    bench = context.bench
    for number in numbers:
        is_sure = number not in unsure
        news = News(FrameKind.ABSENT, flow_key(), is_sure=is_sure)
        bench.core.on_news(agent_ip(number), news, bench.now_s)


@given('agent {number:d} said that it holds the flow')
def step_said(context, number):
    bench = context.bench
    news = News(FrameKind.HOLDS, flow_key())
    bench.core.on_news(agent_ip(number), news, bench.now_s)


@when('a balancer has it search among {count:d} agents')
def step_seek(context, count):
    octets = client_packet(ACK, payload=b'GET', acknowledged=7001)
    ips = tuple(agent_ip(number) for number in range(1, count + 1))
    message = carried(octets, FrameKind.SEEK, candidate_ips=ips)
    context.bench.receive(message)


@when('agents {numbers} deny the flow')
def step_deny(context, numbers):
    numbers, _, unsure = numbers.partition(' deny the flow, ')
    deny(context, numbers_of(numbers), numbers_of(unsure) if unsure else ())


@when('agents {numbers} deny the flow, {unsure:d} is unsure')
def step_deny_unsure(context, numbers, unsure):
    deny(context, numbers_of(numbers), (unsure,))


@when('a scout asks for a flow that it does not hold')
@when('a scout asks for a flow that it holds')
def step_asked(context):
    octets = client_packet(ACK, payload=b'GET', acknowledged=7001)
    message = carried(octets, FrameKind.SEARCH, sender_ip=SCOUT_IP)
    context.bench.receive(message)


@when('a SYN arrives that names two homes')
def step_homes(context):
    context.bench.receive(opening(home_ips=HOME_IPS))


@given('a ring of {count:d} agents')
def step_ring(context, count):
    context.ips = [agent_ip(number) for number in range(1, count + 1)]
    context.ring = HomeRing(context.ips)


@when('an agent joins')
def step_joins(context):
    context.other = HomeRing([*context.ips, agent_ip(200)])


@then('it asks agents {numbers}')
def step_asks(context, numbers):
    sent = context.bench.outlet.sent
    assert {message.kind for _, message in sent} == {FrameKind.SEARCH}
    assert {message.origin_ip for _, message in sent} == {BALANCER_IP}
    found = [ip for ip, _ in sent]
    assert found == [agent_ip(n) for n in numbers_of(numbers)], found


@then('the scout is told ABSENT')
def step_scout_told(context):
    ((ip, news),) = context.bench.outlet.told
    assert (ip, news.kind) == (SCOUT_IP, FrameKind.ABSENT)


@then('both homes are told HOLDS')
def step_homes_told(context):
    told = context.bench.outlet.told
    ips = [ip for ip, news in told if news.kind is FrameKind.HOLDS]
    assert ips == list(HOME_IPS), ips


@then('no home is told')
def step_no_home(context):
    assert 'HOLDS' not in context.bench.outlet.news_kinds()


@then('fewer than {most:d} of {count:d} flows have another first home')
def step_few(context, most, count):
    keys = [flow_key(port) for port in range(count)]
    moved = sum(
        next(context.ring.order(key)) != next(context.other.order(key))
        for key in keys
    )
    assert moved < most, moved


@then('the homes of each flow are two agents')
def step_two(context):
    for port in range(200):
        homes = set(islice(context.ring.order(flow_key(port)), 2))
        assert len(homes) == 2, homes
