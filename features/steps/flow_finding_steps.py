"""Steps of the flow search feature."""

from attrs import evolve
from behave import given, then, when

from cumindrift.address import Endpoint
from cumindrift.membership.member import MemberState
from cumindrift.membership.view import View
from cumindrift.registry import Registry
from cumindrift.settings.tree import Service, Snapshot, Team, Tree
from cumindrift.traffic.candidates import candidate_of
from cumindrift.traffic.flow import Record
from cumindrift.traffic.message import (
    FlowHint,
    HolderRecord,
    PacketKind,
    SteeredPacket,
)
from cumindrift.traffic.packet import peek_flow_key, udp_packet
from cumindrift.traffic.steering import BalancerCore, SteerTo
from features.builders.flow import BALANCER, NAME, flow_bench, key_of, member


def names_of(bench, key):
    """Returns the names of a flow's candidates, home first."""
    return [
        bench.name_at(candidate.endpoint())
        for candidate in bench.route(key).candidates
    ]


def store_record(bench, keeper, holder, key):
    """Stores a record at `keeper` that `holder` holds a flow."""
    record = Record(candidate_of(bench.members[holder]), 1, 1, bench.now_s)
    bench.finders[keeper].table.records[key] = record


def find_non_candidate(bench, key, holder):
    """Returns an agent that is neither a candidate nor the holder."""
    return next(
        name
        for name in bench.finders
        if name not in names_of(bench, key) and name != holder
    )


def leave(bench, name):
    """Removes an agent and updates the view of the others."""
    bench.finders.pop(name)
    bench.members.pop(name)
    bench.publish_view()


def would_be_home(bench, key, name):
    """Returns whether an agent that joins would be the flow's home."""
    joined = View([*bench.members.values(), member(name)])
    home = bench.route(key, joined).candidates[0]
    return home == candidate_of(member(name))


faults = Registry('flow fault')


@faults.register('a hint names an agent that is no candidate')
def hint_non_candidate(context, bench, names):
    context.sending = {
        'to': find_non_candidate(bench, context.key, context.holder)
    }


@faults.register('a hint names another candidate')
def hint_other(context, bench, names):
    other = next(name for name in names[2:] if name != context.holder)
    context.sending = {'to': other}


@faults.register('its home has a stale record')
def stale_at_home(context, bench, names):
    other = next(name for name in names[2:] if name != context.holder)
    store_record(bench, names[0], other, context.key)


@faults.register('its two record keepers have stale records')
def stale_at_both(context, bench, names):
    store_record(bench, names[0], names[1], context.key)
    store_record(bench, names[1], names[0], context.key)


@faults.register('the balancer has not seen three joins')
def balancer_behind(context, bench, names):
    context.sending = {'view': bench.view()}
    bench.add('p', 'q', 'r')


@faults.register('the agents have not seen three joins')
def balancer_ahead(context, bench, names):
    joined = [member(name) for name in 'pqr']
    context.sending = {'view': View([*bench.members.values(), *joined])}
    bench.members.update({one.name: one for one in joined})
    for name in 'pqr':
        bench.start(name)
        bench.finders[name].on_view(bench.view(), bench.now_s)


@faults.register('an agent joins that becomes its home')
def joined_as_home(context, bench, names):
    letters = map(chr, range(ord('A'), ord('Z')))
    bench.add(next(c for c in letters if would_be_home(bench, context.key, c)))


@faults.register('its home leaves gracefully')
def home_left(context, bench, names):
    bench.change(names[0], MemberState.DRAINING)
    bench.wait(1.0)
    leave(bench, names[0])


@faults.register('its home dies')
def home_died(context, bench, names):
    leave(bench, names[0])


@faults.register('a hint names its second after its home left')
def hint_second(context, bench, names):
    former = bench.view()
    leave(bench, names[0])
    context.sending = {'view': former, 'to': names[1]}


@faults.register('both record keepers restart, one by one')
def keepers_restarted(context, bench, names):
    for name in names[:2]:
        former = bench.members[name]
        leave(bench, name)
        bench.wait(1.0)
        bench.members[name] = former
        bench.restart(name)
        bench.wait(4.0)


@faults.register('both record keepers restart undetected')
def keepers_crashed(context, bench, names):
    for name in names[:2]:
        bench.restart(name)
        bench.wait(4.0)


@faults.register('its records form a loop')
def records_in_circle(context, bench, names):
    bench.finders[context.holder].table.held.clear()
    agents = list(bench.finders)
    for number, name in enumerate(agents):
        store_record(bench, name, agents[number - 1], context.key)


@faults.register('its route names another service')
def other_service(context, bench, names):
    route = evolve(bench.route(context.key), service='asiakirja')
    context.sending = {'route': route}


@faults.register('its data centre is taken out')
def centre_out(context, bench, names):
    bench.publish_view(out=(bench.members[context.holder].data_centre,))


@faults.register('its data centre is taken out and back in')
def centre_back(context, bench, names):
    centre_out(context, bench, names)
    bench.wait(1.0)
    bench.publish_view()


@faults.register('its route has an unknown view version')
def unknown_view(context, bench, names):
    bench.finders[context.holder].table.held.clear()
    route = evolve(bench.route(context.key), view_version=1)
    context.sending = {'route': route}


def flow_where(bench, matches):
    """Opens flows until one matches; returns its key and holder."""
    for number in range(200):
        key = key_of(number)
        holder = bench.open(key)
        if matches(names_of(bench, key), holder):
            return key, holder
    raise LookupError('no such flow')


@given('a flow fleet of 7 agents')
def step_fleet(context):
    context.bench = flow_bench()
    context.key = key_of(1)


@given('a flow fleet of 7 agents with a flow')
@given('a flow fleet of 7 agents with a flow held away from its home')
def step_fleet_flow(context):
    context.bench = flow_bench()
    context.key, context.holder = flow_where(
        context.bench,
        lambda names, holder: holder not in names[:2],
    )
    context.bench.wait(1.0)
    context.bench.delivered.clear()
    context.bench.hints.clear()


@given('a flow fleet of 15 agents with a flow whose holder is no candidate')
def step_fleet_far(context):
    bench = flow_bench()
    held = {key_of(number): bench.open(key_of(number)) for number in range(99)}
    bench.add(*'hijklmno')
    bench.wait(3.5)
    bench.settle()
    context.bench = bench
    context.key, context.holder = next(
        (key, holder)
        for key, holder in held.items()
        if holder not in names_of(bench, key)
    )


@when('the flow is disturbed: {fault}')
def step_fault(context, fault):
    context.sending = {}
    names = names_of(context.bench, context.key)
    faults.get(fault)(context, context.bench, names)


@when('a flow packet is sent')
def step_send(context):
    bench = context.bench
    for seen in (bench.delivered, bench.refused, bench.dropped):
        seen.clear()
    bench.hop_counts.clear()
    route = context.sending.pop('route', None)
    if route is None:
        bench.send(context.key, **context.sending)
    else:
        packet = SteeredPacket(route, 2, 0, 0, b'within')
        bench.deliver(route.candidates[0].endpoint(), packet)


@then('the flow packet is delivered once, at the holder')
def step_delivered(context):
    expected = [(context.holder, context.key)]
    assert context.bench.delivered == expected, context.bench.delivered


@then('the flow search took at most {hops:d} hops')
def step_hops(context, hops):
    assert max(context.bench.hop_counts, default=0) <= hops, hops


@then('no flow packet is delivered')
def step_nowhere(context):
    assert not context.bench.delivered, context.bench.delivered


@then('the flow packet ends with code {code:d}')
def step_code(context, code):
    ended = context.bench.refused + context.bench.dropped
    assert ended == [code], ended


@when('its home receives flow records {first} and then {second}')
def step_records(context, first, second):
    bench = context.bench
    holder = candidate_of(bench.members[context.holder])
    home = names_of(bench, context.key)[0]
    bench.finders[home].table.records.clear()
    for order in (first, second):
        incarnation, sequence = map(int, order.split('.'))
        record = HolderRecord(
            NAME.team,
            NAME.service,
            context.key,
            holder,
            incarnation,
            sequence,
            0,
            True,
            holder,
        )
        bench.deliver(bench.members[home].endpoint, record)


@then('its home stores flow record {kept}')
def step_kept(context, kept):
    home = names_of(context.bench, context.key)[0]
    record = context.bench.finders[home].table.records[context.key]
    assert record.version() == tuple(map(int, kept.split('.'))), record


@when('10 flow packets are sent to its home within 1 second')
@when('10 flow packets are sent to its home a second later')
def step_many(context):
    context.bench.wait(1.1)
    context.bench.now_s = round(context.bench.now_s, 3)
    for _ in range(10):
        context.bench.now_s += 0.05
        context.bench.send(context.key)


@then('{number:d} flow hint is sent')
@then('{number:d} flow hints are sent')
def step_hints(context, number):
    assert len(context.bench.hints) == number, context.bench.hints


def _start_balancer(context, front, out=()):
    bench = flow_bench()
    core = BalancerCore(BALANCER)
    services = {'kaynti': Service('10.20.0.1', 700, 'udp', front)}
    core.on_settings(Snapshot(1, Tree(teams={NAME.team: Team(services)})))
    core.on_view(bench.view(out=out))
    context.bench, context.core = bench, core
    context.packet = _packet_of(b'whole')
    core.steer(context.packet)


def _packet_of(payload):
    client, service = Endpoint('10.1.0.1', 4000), Endpoint('10.20.0.1', 700)
    return udp_packet(client, service, payload)


@given('a flow balancer whose view has hel-a out')
def step_balancer(context):
    _start_balancer(context, 'packets', out=('hel-a',))


@given('a flow balancer of a service that takes requests')
def step_requests(context):
    _start_balancer(context, 'requests')


@when('the client of a known flow sends an empty packet')
def step_empty(context):
    context.decision = context.core.steer(_packet_of(b''))


@then('the flow balancer takes it for a packet within the flow')
def step_within(context):
    assert isinstance(context.decision, SteerTo), context.decision
    assert context.decision.kind is PacketKind.WITHIN, context.decision


@when('a flow hint names a holder in hel-a')
def step_hint_out(context):
    holder = next(
        one
        for one in context.bench.members.values()
        if one.data_centre == 'hel-a'
    )
    key = peek_flow_key(context.packet)
    hint = FlowHint('kaynti', key, candidate_of(holder), held=True)
    context.core.on_hint(hint)


@then('the flow balancer steers to no agent in hel-a')
def step_not_out(context):
    endpoint = context.core.steer(context.packet).entry.endpoint
    name = context.bench.name_at(endpoint)
    assert context.bench.members[name].data_centre != 'hel-a', name
