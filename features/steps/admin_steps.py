"""Steps of the administration API feature."""

import json

from attrs import evolve
from behave import given, then, when
from loguru import logger

from cumindrift.membership.member import MemberState
from cumindrift.membership.view import View
from features.builders.admin import TOKENS, AdminBench, view_of
from features.builders.settings import KAYNTI

STATE = '/data-centres/hel-a/state'
PORT = f'{KAYNTI}/port'
MEGABYTE = 1024 * 1024


@given('an administration API on a balancer')
def step_balancer(context):
    context.api = AdminBench()
    context.add_cleanup(context.api.stop)


@given('an administration API on an agent')
def step_agent(context):
    context.api = AdminBench('agent')
    context.add_cleanup(context.api.stop)


def put_raw(body, **changes):
    headers = {'If_Match': '1', 'Idempotency_Key': 'w', **changes}
    headers = {name: text for name, text in headers.items() if text}
    return lambda api: api.call(
        'PUT',
        f'/settings{STATE}',
        'supervisors',
        body,
        **headers,
    )


def put_as(token):
    return lambda api: api.call(
        'PUT',
        f'/settings{STATE}',
        '',
        b'"out"',
        Authorization=f'Bearer {token}',
        If_Match='1',
        Idempotency_Key='w',
    )


def put_down(api):
    api.store.is_down = True
    answer = api.put(STATE, 'out')
    api.store.is_down = False
    return answer


def put_pending(api):
    api.store.holds_writes = True
    return api.put(STATE, 'out', is_late=True)


def post(path, holder='supervisors'):
    return lambda api: api.call(
        'POST',
        path,
        holder,
        If_Match='1',
        Idempotency_Key='w',
    )


CALLS = {
    'a put without a token': put_as(''),
    'a put with a wrong secret': put_as('supervisors.00'),
    'a put with a token of an unknown holder': put_as('nobody.00'),
    "a put into another team's subtree": lambda api: api.put(
        PORT,
        701,
        'studio',
    ),
    'a put without a version': put_raw(b'"out"', If_Match=''),
    'a put with a version of 5000 digits': put_raw(
        b'"out"', If_Match='9' * 5000
    ),
    'a put without a write id': put_raw(b'"out"', Idempotency_Key=''),
    'a put with duplicate keys': put_raw(b'{"a": 1, "a": 2}'),
    'a put with a truncated document': put_raw(b'{"region": '),
    'a put with comments': put_raw(b'"out" // for tonight'),
    'a put that is not UTF-8': put_raw(b'"\xff"'),
    'a put nested too deeply': put_raw(b'[' * 100000),
    'a put with an unknown field': lambda api: api.put(
        '/data-centres/hel-a',
        {'region': 'fi-south', 'sate': 'out'},
    ),
    'a put with not a number': lambda api: api.put(
        f'{KAYNTI}/retry_budget_percent',
        float('nan'),
        'todistajat',
    ),
    'a put of more than a megabyte': put_raw(b' ' * (8 * MEGABYTE)),
    'a put while the platform is down': put_down,
    'a put whose write never completes': put_pending,
    'a roll forward to a missing version': post(
        '/roll-forward/data-centres?to=99'
    ),
    'a roll forward without a version': post('/roll-forward/data-centres'),
    'a page that does not exist': post('/nothing'),
    'a path that does not exist': lambda api: api.call(
        'GET',
        '/settings/teams/nobody',
    ),
    'a method that is not served': post('/settings'),
    'a head that is not HTTP': lambda api: api.exchange(b'hello\r\n\r\n'),
    'a head of 40 kilobytes': lambda api: api.call(
        'GET',
        '/ready',
        Padding='x' * 40000,
    ),
    'a body that never ends': lambda api: api.exchange(
        b'PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1',
        is_late=True,
    ),
    'a connection without a request': lambda api: api.exchange(
        b'', is_late=True
    ),
}


@when('the API receives {call}')
def step_call(context, call):
    method, _, target = call.partition(' ')
    if method == 'GET':
        context.answer = context.api.call(method, target)
    elif call == 'a put against an old version':
        context.api.bench.version = 1
        context.api.bench.write('other', '/data-centres/van-c/state', 'out')
        context.api.bench.write('again', '/data-centres/van-c/state', 'in')
        context.answer = context.api.put('/data-centres/van-c/state', 'out')
    else:
        context.answer = CALLS[call](context.api)


@then('the API responds {status:d} with code {code:d}')
def step_answer(context, status, code):
    found = (context.answer[0], context.answer[1]['code'])
    assert found == (status, code), context.answer


@then('the settings are still version 1')
def step_unchanged(context):
    assert context.api.context.snapshots.snapshot.version == 1
    writes = [
        entry
        for entry in context.api.bench.record().history
        if entry.write_id == 'supervisors/w'
    ]
    assert not writes, writes


@then('the API responds {status:d} with a field {name} of {content}')
def step_field(context, status, name, content):
    assert context.answer[0] == status, context.answer
    assert str(context.answer[1][name]) == content, context.answer


@when('{holder} put {content} at {path} by the API')
def step_put(context, holder, content, path):
    context.answer = context.api.put(path, json.loads(content), holder)


@then('the API lists {count:d} changes, newest of {path} by {author}')
def step_history(context, count, path, author):
    listed = context.api.call('GET', '/history')[1]['history']
    assert len(listed) == count, listed
    assert (listed[0]['path'], listed[0]['author']) == (path, author), listed


@then(
    'the API shows one change to "{after}" from version {first:d} to {second:d}'
)
def step_compare(context, first, second, after):
    target = f'/diff?from={first}&to={second}'
    changes = context.api.call('GET', target)[1]['changes']
    assert [change['after'] for change in changes] == [after], changes


@when('the API is asked to check "{content}" at {path}')
def step_check(context, content, path):
    context.answer = context.api.call(
        'POST',
        f'/check{path}',
        'supervisors',
        json.dumps(content).encode(),
        If_Match='2',
        Idempotency_Key='c',
    )


@then(
    'the API responds 200 with one change, and version {version:d} is in force'
)
def step_checked(context, version):
    assert context.answer[0] == 200, context.answer
    assert len(context.answer[1]['changes']) == 1, context.answer
    assert context.api.context.snapshots.snapshot.version == version


@when('supervisors roll forward to the content of version 1 by the API')
def step_roll(context):
    context.answer = context.api.call(
        'POST',
        '/roll-forward/data-centres?to=1',
        'supervisors',
        If_Match='2',
        Idempotency_Key='r',
    )


@then('version {version:d} is in force with {name} in')
def step_in_force(context, version, name):
    snapshot = context.api.context.snapshots.snapshot
    assert snapshot.version == version, snapshot
    assert snapshot.tree.data_centres[name].state == 'in', snapshot


@when('valid and invalid tokens are used while the log is captured')
def step_log(context):
    context.kept = []
    sink = logger.add(context.kept.append, level='TRACE')
    context.add_cleanup(logger.remove, sink)
    for answer in (
        context.api.put(STATE, 'out'),
        put_as('supervisors.5ec4e7')(context.api),
        context.api.put(PORT, 701, 'studio'),
    ):
        context.kept.append(json.dumps(answer))


@then('no secret, salt or digest is in the log or in a response')
def step_no_secret(context):
    text = ''.join(context.kept)
    assert 'by supervisors' in text, text
    secrets = ['5ec4e7']
    for token, entry in TOKENS.values():
        secrets.extend((token.split('.')[1], entry.salt, entry.digest))
    assert not [secret for secret in secrets if secret in text]


@given(
    'kaynti needs {peak:d} slots and has {counts} targets'
    ' in hel-a, esp-b, van-c',
)
def step_targets(context, peak, counts):
    api = context.api
    places = ('hel-a', 'esp-b', 'van-c')
    numbers = [int(count) for count in counts.split(',')]
    service = {
        'ip': '10.20.0.1',
        'port': 700,
        'peak_slots': peak,
        'endpoints': dict(zip(places, (3, 2, 2), strict=True)),
    }
    team = {'services': {'kaynti': service}}
    written = api.put('/teams/todistajat', team, 'todistajat', 'plan')
    assert written[0] == 200, written
    studio = api.put('/teams/studio', {}, 'studio', 'clear')
    assert studio[0] == 200, studio
    counted = dict(zip(places, numbers, strict=True))
    api.context.membership.view = view_of(counted)
    version = api.context.snapshots.snapshot.version
    api.context.distribution.reported = {
        member.endpoint: version for member in members_of(context)
    }


def members_of(context):
    return list(context.api.context.membership.view.members.values())


@given('at the shift handover {condition}')
def step_handover_condition(context, condition):
    api = context.api
    members = members_of(context)
    if condition == 'a member is outdated':
        api.context.distribution.reported[members[0].endpoint] = 1
    elif condition == 'the platform is down':
        api.store.is_down = True
    elif condition == 'a target is draining':
        draining = evolve(members[0], state=MemberState.DRAINING)
        api.context.membership.view = View([draining, *members[1:]])
    elif condition == 'van-c is out':
        api.put('/data-centres/van-c/state', 'out', write_id='out')


@then('the handover holds: {holds}, for the check {check}')
def step_holds(context, holds, check):
    report = context.answer[1]
    found = [
        finding['holds']
        for finding in report['findings']
        if finding['check'] == check
    ]
    assert found, report
    assert str(all(found)) == holds, report
    if holds == 'False':
        assert not report['holds'], report
