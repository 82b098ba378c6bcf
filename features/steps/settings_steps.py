"""Steps of the settings feature."""

from random import Random

from behave import given, then, when

from cumindrift.objects.store import VALUE_BYTES_MAX, StoredObject
from cumindrift.settings.path import ABSENT
from cumindrift.settings.record import (
    HistoryEntry,
    SettingsRecord,
    UndoStep,
    decode_record,
    encode_record,
    unstructure_tree,
)
from cumindrift.settings.token import Author
from cumindrift.settings.tree import Service, Team, Tree
from features.builders.settings import (
    KAYNTI,
    SUPERVISOR,
    WriterFixture,
    bare_service,
    bare_tree,
)

TEAM = Author('todistajat')
STATE = '/data-centres/hel-a/state'
PORT = f'{KAYNTI}/port'


@given('the settings of two teams')
def step_settings(context):
    context.bench = WriterFixture()
    context.bench.version = 1
    context.outcome = None


FAULTS = {
    'an unknown field': (KAYNTI, bare_service(1, prot='udp')),
    'a text as port': (PORT, '700'),
    'a port out of range': (PORT, 70000),
    'a malformed ip': (f'{KAYNTI}/ip', '10.20.0'),
    'an address in use': (f'{KAYNTI}/ip', '10.20.0.2'),
    'an unknown placement': (f'{KAYNTI}/placement', 'fastest'),
    'an unknown front end': (f'{KAYNTI}/front', 'mail'),
    'an unknown data centre': (f'{KAYNTI}/endpoints', {'x': 1}),
    'a capital in a name': (
        '/teams/todistajat/services/Kaynti',
        bare_service(9),
    ),
    'a missing parent': ('/teams/nobody/services/kaynti', bare_service(9)),
    'every data centre out': (
        '/data-centres',
        {'hel-a': {'region': 'fi-south', 'state': 'out'}},
    ),
    'an unknown state': (STATE, 'away'),
    'the reserved team name': ('/teams/supervisors', {}),
}


@when('the settings are written with {fault}')
def step_fault(context, fault):
    path, content = FAULTS[fault]
    team = path.split('/')[2] if path.count('/') > 2 else ''
    is_team = path.startswith('/teams') and team
    author = Author(team) if is_team else SUPERVISOR
    context.outcome = context.bench.write('w', path, content, author=author)


@then('the settings are refused with {code:d} at {path}')
def step_refused(context, code, path):
    found = (context.outcome.code, context.outcome.path)
    assert found == (code, path), context.outcome


@then('the settings version is still 1')
def step_unchanged_version(context):
    assert context.bench.record().version == 1


CONTENTS = {
    PORT: 701,
    '/teams/studio/services/job-desk/port': 701,
    '/teams/todistajat': {'services': {'kaynti': bare_service(7)}},
    STATE: 'out',
    '/': bare_tree(),
    '/teams/newcomer': {},
}


@when('the settings at {path} are written by {author}')
def step_author(context, author, path):
    context.outcome = context.bench.write(
        'w',
        path,
        CONTENTS[path],
        author=Author(author),
    )


@then('the settings write answers {code:d}')
def step_answer(context, code):
    assert context.outcome.code == code, context.outcome


@when('settings write: two supervisors set the same state concurrently')
def step_race(context):
    context.bench.write('one', STATE, 'out')
    context.outcome = context.bench.write('two', STATE, 'in')


@when('settings write: a team and a supervisor write concurrently')
def step_concurrent(context):
    context.bench.write('one', STATE, 'out')
    context.outcome = context.bench.write('two', PORT, 701, author=TEAM)


def write_while_paused(context, path, content, author):
    bench = context.bench
    bench.store.holds_writes = True
    bench.write('paused', STATE, 'out')
    held, bench.store.held = bench.store.held, []
    bench.store.holds_writes = False
    bench.write('other', path, content, author=author)
    bench.store.held = held
    bench.store.release_writes()
    context.outcome = bench.outcomes['paused']


@when('settings write: a writer is paused while another sets the same field')
def step_paused_same_field(context):
    region = {'region': 'fi-south', 'state': 'out'}
    write_while_paused(context, '/data-centres/hel-a', region, SUPERVISOR)


@when('settings write: a writer is paused while another sets another field')
def step_paused_other_field(context):
    write_while_paused(context, PORT, 701, TEAM)


@when('settings write: the answer is lost after the write took effect')
def step_answer_lost(context):
    context.bench.store.answers_lost_count = 1
    context.outcome = context.bench.write('w', STATE, 'out')


@when('settings write: every answer is lost and the store goes down')
def step_answers_lost_then_down(context):
    bench = context.bench
    bench.store.answers_lost_count = 99
    read = bench.store.read

    def fail_after_write(key, on_outcome):
        bench.store.is_down = bench.store.write_count > 1
        read(key, on_outcome)

    bench.writer.store = _StoreWithRead(bench.store, fail_after_write)
    context.outcome = bench.write('w', STATE, 'out')
    bench.writer.store = bench.store
    bench.store.is_down = False
    bench.store.answers_lost_count = 0


class _StoreWithRead:
    def __init__(self, store, read):
        self.write = store.write
        self.read = read


@when('settings write: a write is lost and the next one is not run')
def step_write_lost(context):
    context.bench.store.writes_lost_count = 1
    context.outcome = context.bench.write('w', STATE, 'out')


@when('settings write: the same write is repeated after its answer was lost')
def step_repeat(context):
    step_answers_lost_then_down(context)
    context.outcome = context.bench.write('w', STATE, 'out')


@when('settings write: the platform is down')
def step_down(context):
    context.bench.store.is_down = True
    context.outcome = context.bench.write('w', STATE, 'out')


@when('settings write: no peer confirms the version')
def step_unconfirmed(context):
    context.bench.publisher.has_peers = False
    context.outcome = context.bench.write('w', STATE, 'out')


@when('settings write: the write is repeated once peers are back')
def step_peers_back(context):
    step_unconfirmed(context)
    context.bench.publisher.has_peers = True
    context.outcome = context.bench.write('w', STATE, 'out')


@when('settings write: a write changes nothing')
def step_nothing(context):
    context.outcome = context.bench.write('w', STATE, 'in')


@when('settings write: a roll-forward is based on a stale version')
def step_stale(context):
    context.bench.write('one', STATE, 'out')
    context.outcome = context.bench.write(
        'w',
        STATE,
        kind='roll-forward',
        source_version=1,
    )


@when('settings write: a roll-forward names a version without history')
def step_no_history(context):
    context.outcome = context.bench.write(
        'w',
        STATE,
        kind='roll-forward',
        source_version=-1,
    )


@when('settings write: the stored object is invalid')
def step_unreadable(context):
    store = context.bench.store
    valid = store.objects['settings']
    store.objects['settings'] = StoredObject('settings', 1, b'{"version": 1')
    context.outcome = context.bench.write('w', STATE, 'out')
    store.objects['settings'] = valid


@then('the settings version is {version:d}, the last published {published:d}')
def step_version(context, version, published):
    bench = context.bench
    assert bench.record().version == version, bench.record()
    assert bench.publisher.published[-1].version == published


@then('the settings refusal says "{detail}"')
def step_detail(context, detail):
    assert context.outcome.detail == detail, context.outcome


@when(
    'the settings team changes a port, removes a service and rolls forward '
    'to the content of version 1'
)
def step_roll(context):
    bench = context.bench
    bench.write('one', PORT, 701, author=TEAM)
    asiakirja = '/teams/todistajat/services/asiakirja'
    bench.write('two', asiakirja, ABSENT, author=TEAM)
    bench.write(
        'three',
        '/teams/todistajat',
        author=TEAM,
        kind='roll-forward',
        source_version=1,
        expected_version=3,
    )


@then('the settings tree is that of version 1 under version 4')
def step_rolled(context):
    record = context.bench.record()
    first = context.bench.publisher.published[0].tree
    assert (record.version, record.tree) == (4, first), record


@when(
    'the settings record holds 9000 services and 3 changes that '
    'replace them all'
)
def step_large(context):
    random = Random(1)
    services = {
        random.randbytes(30).hex(): Service(f'10.1.{number}', 80)
        for number in range(9000)
    }
    tree = Tree(teams={'large': Team(services)})
    bare = unstructure_tree(tree)['teams']['large']
    history = tuple(
        HistoryEntry(
            number,
            f'write-{number}',
            'large',
            0.0,
            '/teams/large',
            (UndoStep('/teams/large', before=bare),),
        )
        for number in (3, 2, 1)
    )
    context.body = encode_record(SettingsRecord(3, tree, history)).content


@then('the settings body is at most a megabyte and has the newest change')
def step_bounded(context):
    record = decode_record(context.body).content
    assert len(context.body) <= VALUE_BYTES_MAX
    assert record.write_id == 'write-3'
    assert not record.can_restore(1)


@when('the settings get {count:d} random writes with faults, seed {seed:d}')
def step_random(context, count, seed):
    random = Random(seed)
    bench = context.bench
    for number in range(count):
        bench.store.is_down = random.random() < 0.1
        bench.store.answers_lost_count = random.choice((0, 0, 1, 2))
        if random.random() < 0.2:
            bench.store.holds_writes = True
        elif bench.store.held:
            bench.store.release_writes()
        bench.version = max(1, bench.record().version - random.randrange(3))
        if random.random() < 0.5:
            bench.write(f'{number}', PORT, random.randrange(1, 9), author=TEAM)
        else:
            bench.write(f'{number}', STATE, random.choice(('in', 'out')))
    bench.store.is_down = False
    bench.store.release_writes()


@then('every accepted settings write is in the history exactly once')
def step_once(context):
    bench = context.bench
    accepted = {
        write_id: outcome.content.version
        for write_id, outcome in bench.outcomes.items()
        if outcome.code == 101
    }
    history = bench.record().history
    kept = {entry.write_id: entry.version for entry in history}
    assert len(kept) == len(history)
    oldest = history[-1].version
    assert len(accepted) > 50, len(accepted)
    for write_id, version in accepted.items():
        assert version < oldest or kept[write_id] == version, write_id
    refused = [
        write_id
        for write_id, outcome in bench.outcomes.items()
        if outcome.code in {404, 500, 502}
    ]
    assert not set(refused) & set(kept), set(refused) & set(kept)


@then('published settings versions never skip an accepted one')
def step_published(context):
    bench = context.bench
    published = {snapshot.version for snapshot in bench.publisher.published}
    for outcome in bench.outcomes.values():
        if outcome.code == 101:
            assert max(published) >= outcome.content.version
            assert outcome.content.version in published
