"""Steps of platform_link.feature."""

from behave import given, then, when

from features.builders.link import LinkBench
from standin.platform import PlatformFaults


@given('a platform link and a stand-in connected by sockets')
def step_bench(context):
    context.bench = LinkBench()
    context.add_cleanup(context.bench.root.release)


@given('a platform link to a port without a listener')
def step_closed(context):
    context.bench = LinkBench(model=None)
    context.add_cleanup(context.bench.root.release)


@given('the stand-in with sockets loses responses')
def step_loses(context):
    context.bench.model.faults = PlatformFaults(loses_answers=True)


@given('the stand-in with sockets responds late')
def step_late(context):
    context.bench.model.faults = PlatformFaults(slow_s=0.5)


@when('the platform link writes {size:d} octets as "{key}"')
def step_write(context, size, key):
    bench = context.bench
    bench.store.write(key, b'x' * size, 0, 'w', bench.outcomes.append)


@when('the platform link reads "{key}"')
def step_read(context, key):
    context.bench.store.read(key, context.bench.outcomes.append)


@when('the platform link watches "{key}"')
def step_watch(context, key):
    context.bench.store.watch(key, 0, context.bench.outcomes.append)


@when('the platform link watches "{key}" and then writes it')
def step_watch_and_write(context, key):
    step_watch(context, key)
    context.bench.run_until(lambda: context.bench.model.watch_count == 1)
    assert not context.bench.outcomes, context.bench.outcomes
    step_write(context, 10, key)


@when('the platform link fails and is restarted')
def step_restart(context):
    bench = context.bench
    bench.run_until(lambda: bench.model.call_count == 1)
    bench.root.restart('link')
    bench.model.faults = PlatformFaults()


@then('the platform link\'s outcomes are "{codes}"')
def step_outcomes(context, codes):
    wanted = codes.split()
    bench = context.bench
    bench.run_until(lambda: len(bench.outcomes) >= len(wanted))
    found = [outcome.code.name for outcome in bench.outcomes]
    assert found == wanted, found


@then("the platform link's last outcome holds {size:d} octets")
def step_size(context, size):
    assert len(context.bench.outcomes[-1].content.body) == size


@then('the stand-in with sockets received more than one call')
def step_called(context):
    assert context.bench.model.call_count > 1
