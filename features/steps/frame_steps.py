"""Steps of frame.feature."""

from behave import given, then, when

from cumindrift.traffic.frame import SteeredCodec
from cumindrift.wire import WireError
from features.builders.frame import steered_packets


@given('a codec and packets of {flows:d} flows from {balancers:d} balancers')
def step_codec(context, flows, balancers):
    context.codec = SteeredCodec()
    context.packets = steered_packets(flows, balancers)
    sender = SteeredCodec()
    context.frames = [sender.encode(packet) for packet in context.packets]


@when('all frames are decoded')
def step_decode(context):
    context.decoded = [context.codec.decode(frame) for frame in context.frames]


@then('each packet names the balancer that sent it')
def step_balancers(context):
    assert context.decoded == context.packets


@then('the codec caches {count:d} routes')
def step_routes(context, count):
    assert context.codec.route_count == count, context.codec.route_count


@when('the frame is truncated to {octets:d} octets')
def step_truncate(context, octets):
    context.truncated = context.frames[0][:octets]


@then('the frame cannot be decoded')
def step_refused(context):
    try:
        context.codec.decode(context.truncated)
    except WireError:
        return
    raise AssertionError('a truncated frame was decoded')
