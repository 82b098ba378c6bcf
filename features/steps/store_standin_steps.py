"""Steps of store_standin.feature."""

import json
from random import Random

from behave import given, then, when

from cumindrift.administration.routing import HttpRequest, Responder
from standin.store import StoreModel

KIND = 'cumindrift-agents'


class StoreBench:
    """A store stand-in with a manual clock and its recorded answers."""

    def __init__(self):
        self.now_s = 100.0
        self.answers = []
        self.due = []
        self.model = StoreModel(lambda: self.now_s, Random(1))
        self.responder = Responder(self.answers.append, self.call_after)

    def call_after(self, delay_s, call):
        """Schedules a call."""
        self.due.append((self.now_s + delay_s, call))

    def call(self, method, name='', document=None, query=''):
        """Sends one call to the store."""
        path = f'/cumindrift/objects/{KIND}'
        target = f'{path}/{name}' if name else path
        body = json.dumps(document).encode() if document is not None else b''
        request = HttpRequest(method, f'{target}{query}', {}, body)
        self.model.serve(request).start(self.responder)

    def pass_time(self, seconds):
        """Advances the clock and runs the calls that are due."""
        self.now_s += seconds
        for at_s, call in list(self.due):
            if at_s <= self.now_s:
                self.due.remove((at_s, call))
                call()
        self.model.tick()


def names_in(answer):
    """Returns the names of the changed objects in an answer."""
    events = json.loads(answer.body)['events']
    return [event['object']['meta']['name'] for event in events]


@given('a store stand-in')
def step_store(context):
    context.store = StoreBench()


@when('POST {name} is called with content {content}')
def step_post(context, name, content):
    document = {'meta': {'name': name}, 'spec': content}
    context.store.call('POST', document=document)


@when('PUT {name} is called with content {content}, known at {revision:d}')
def step_put(context, name, content, revision):
    document = {'meta': {'name': name, 'revision': revision}, 'spec': content}
    context.store.call('PUT', name, document)


@when('POST {name} is written by an operator')
def step_operator(context, name):
    context.store.model.put(KIND, name, 'one')


@when('{count:d} objects are created')
def step_many(context, count):
    for number in range(count):
        step_post(context, f'side-{number}', 'one')


@when('a watch from {revision:d} is called')
def step_watch(context, revision):
    context.store.answers.clear()
    query = f'?watch={revision}&wait_ms=25000'
    context.store.call('GET', query=query)


@when('{seconds:g} s pass at the store')
def step_time(context, seconds):
    context.store.pass_time(seconds)


@when('the store compacts its history')
def step_compacts(context):
    context.store.model.compact()


@when('the store is {mode}')
def step_mode(context, mode):
    context.store.model.mode = mode
    context.store.pass_time(0.02)


@then('it answers {status:d} with content {content} at revision {revision:d}')
def step_answers(context, status, content, revision):
    answer = context.store.answers[-1]
    document = json.loads(answer.body)
    found = (answer.status, document['spec'], document['meta']['revision'])
    assert found == (status, content, revision), found


@then('it answers {status:d}')
def step_status(context, status):
    assert context.store.answers[-1].status == status


@then('it answers {first:d} or {second:d}')
def step_either(context, first, second):
    assert context.store.answers[-1].status in {first, second}


@then('it answers 200 with the changes {names}')
@then('the watch is answered with the changes {names}')
def step_changes(context, names):
    wanted = [] if names == 'none' else names.split(', ')
    found = [
        answer
        for answer in context.store.answers
        if 'events' in json.loads(answer.body)
    ]
    assert names_in(found[-1]) == wanted, found


@when('the changes after {revision:d} are asked for')
def step_ask_changes(context, revision):
    query = f'?watch={revision}&wait_ms=0'
    context.store.call('GET', query=query)


@when('the changes after {revision:d} are asked for and may be stale')
def step_ask_stale(context, revision):
    query = f'?watch={revision}&wait_ms=0&serializable=1'
    context.store.call('GET', query=query)


@then('the store answers as of {revision:d}')
def step_as_of(context, revision):
    assert json.loads(context.store.answers[-1].body)['as_of'] == revision


@then('the watch is not answered')
def step_unanswered(context):
    found = [
        answer
        for answer in context.store.answers
        if 'events' in json.loads(answer.body)
    ]
    assert not found, found


@then('the store has {count:d} objects')
def step_has(context, count):
    assert len(context.store.model.objects.get(KIND, {})) == count


@then('fewer than {count:d} calls were answered')
def step_fewer(context, count):
    assert len(context.store.answers) < count


@when('lists that may be stale are {age_s:g} s old')
def step_stale(context, age_s):
    context.store.model.stale_s = age_s


@when('a list that {what} stale is called')
def step_list(context, what):
    query = '?serializable=1' if what == 'may be' else ''
    context.store.call('GET', query=query)


@then('it answers 200 with the objects {names} as of {revision:d}')
def step_objects(context, names, revision):
    answer = context.store.answers[-1]
    body = json.loads(answer.body)
    found = [each['meta']['name'] for each in body['items']]
    assert found == names.split(', '), body
    assert body['as_of'] == revision, body
