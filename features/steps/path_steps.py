"""Steps of path.feature."""

from collections import Counter

from behave import given, then, when

from cumindrift.code import ResultCode
from cumindrift.keyring import Keyring
from cumindrift.outcome import Done, NotRun
from cumindrift.settings.message import distribution
from cumindrift.settings.snapshot import pack_snapshot
from cumindrift.settings.transfer import cut_chunk
from cumindrift.settings.tree import Snapshot
from cumindrift.wire import encode_frame
from features.builders.path import service_tree, small_deployment

REQUEST_PERIOD_S = 0.5
REQUEST_TIMEOUT_S = 5.0


@given(
    'the small deployment with seed {seed:d} and {loss:d}% loss, '
    'up for {up:d} s',
)
def step_deployment(context, seed, loss, up):
    context.deployment = small_deployment(seed, loss / 100, up)
    context.callers = []


@given('{callers:d} callers each make {count:d} requests')
@when('{callers:d} callers each make {count:d} requests')
def step_requests(context, callers, count):
    network = context.deployment.network
    for number in range(1, callers + 1):
        context.callers.append(context.deployment.add_caller(number))
    for _ in range(count):
        for caller in context.callers:
            caller.send_request(REQUEST_TIMEOUT_S)
        network.run(network.now_s + REQUEST_PERIOD_S)
    network.run(network.now_s + REQUEST_TIMEOUT_S)


@given('every target takes {seconds:d} s for a request')
def step_slow(context, seconds):
    for link in context.deployment.links.values():
        link.work_s = seconds


@given('{callers:d} callers each start 1 request that may take {within:d} s')
def step_start(context, callers, within):
    network = context.deployment.network
    for number in range(1, callers + 1):
        context.callers.append(context.deployment.add_caller(number))
    network.run(network.now_s + 1)
    for caller in context.callers:
        caller.send_request(within)
    network.run(network.now_s + 1)


@when('{seconds:d} s pass')
def step_pass(context, seconds):
    network = context.deployment.network
    network.run(network.now_s + seconds)


@when('the data centre van-c is taken out')
def step_out(context):
    context.out_s = context.deployment.network.now_s
    context.deployment.publish_settings(service_tree(van_c='out'), 2)


@when('balancer-2 dies')
def step_dies(context):
    context.deployment.kill('balancer-2')


@when('the agent that holds most flows restarts gracefully')
def step_restart(context):
    deployment = context.deployment
    held = Counter(caller.session.agent for caller in context.callers)
    name = held.most_common(1)[0][0]
    deployment.restart_agent(int(name.rpartition('-')[2]))


@when('callers continue for {seconds:d} s')
def step_continue(context, seconds):
    network = context.deployment.network
    until_s = network.now_s + seconds
    while network.now_s < until_s:
        for caller in context.callers:
            caller.send_request(REQUEST_TIMEOUT_S)
        network.run(network.now_s + REQUEST_PERIOD_S)
    network.run(network.now_s + REQUEST_TIMEOUT_S)


@then('every request is done')
def step_done(context):
    for caller in context.callers:
        assert not caller.session.pending_count
        for outcome in caller.outcomes.values():
            assert isinstance(outcome, Done), outcome


@then('no request ran twice')
def step_once(context):
    twice = {
        request_id: count
        for request_id, count in context.deployment.runs.items()
        if count > 1
    }
    assert context.deployment.runs, 'nothing ran at all'
    assert not twice, twice


@then('every request is done, or not run as reported')
def step_done_or_not_run(context):
    for caller in context.callers:
        assert not caller.session.pending_count
        for request_id, outcome in caller.outcomes.items():
            if isinstance(outcome, NotRun):
                assert not context.deployment.runs[request_id], outcome
            else:
                assert isinstance(outcome, Done), outcome


@then('at least {share:d}% of the requests are done')
def step_most(context, share):
    outcomes = [
        outcome
        for caller in context.callers
        for outcome in caller.outcomes.values()
    ]
    done = sum(isinstance(outcome, Done) for outcome in outcomes)
    assert done * 100 >= share * len(outcomes), (done, len(outcomes))


@then('no target in van-c started a request later than 3 s after that')
def step_no_late_start(context):
    started = {
        name: link.last_run_s - context.out_s
        for name, link in context.deployment.links.items()
        if 'van-c' in name
    }
    assert max(started.values()) <= 3, started


@then('no flow was lost')
def step_kept(context):
    lost = [
        outcome
        for caller in context.callers
        for outcome in caller.outcomes.values()
        if outcome.code
        in {ResultCode.NO_SUCH_FLOW, ResultCode.OTHER_INCARNATION}
    ]
    assert not lost, lost
    done = [
        outcome
        for caller in context.callers
        for outcome in caller.outcomes.values()
        if isinstance(outcome, Done)
    ]
    not_run = [
        outcome
        for caller in context.callers
        for outcome in caller.outcomes.values()
        if isinstance(outcome, NotRun)
    ]
    assert len(done) > len(not_run), (len(done), len(not_run))


@when('balancer-1 gets a message sealed with another key')
def step_forged(context):
    deployment = context.deployment
    balancer = deployment.contexts['balancer-1']
    stranger = deployment.contexts['balancer-2'].me.endpoint
    packed = pack_snapshot(Snapshot(9, service_tree(hel_a='out')))
    frame = encode_frame(distribution, cut_chunk(packed, 0, stranger))
    forged = Keyring((b'another key of 16 octets',)).sign(frame)
    deployment.network.send(stranger, balancer.me.endpoint, forged)
    deployment.network.run(deployment.network.now_s + 1)


@then('balancer-1 still has settings version {version:d}')
def step_version(context, version):
    balancer = context.deployment.contexts['balancer-1']
    assert balancer.snapshots.snapshot.version == version
