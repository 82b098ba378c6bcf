"""Steps of node_evacuation.feature, at a balancer and at an agent."""

from behave import given, then, when

from cumindrift.fleet.copy_version import NOT_READ, CopyStamp
from cumindrift.steering.frame import FrameKind
from features.builders.core import BalancerBench, logged_lines
from features.builders.node import (
    BALANCER_IP,
    SYN,
    client_packet,
    forwarded,
    opening,
)


@given('a balancer that has not read the evacuations')
def step_no_evacuations(context):
    context.bench = BalancerBench()
    context.bench.directory.has_evacuations = False


@given('data centres {first} and {second} are evacuated')
@when('data centres {first} and {second} are evacuated')
def step_evacuated(context, first, second):
    context.bench.directory.apply_evacuations(frozenset((first, second)))


@given('its evacuations are as of {as_of:d}, confirmed {age_s:g} s ago')
def step_evacuations_version(context, as_of, age_s):
    bench = context.bench
    version = bench.directory.evacuations_version
    version.confirm(as_of, as_of, bench.now_s - age_s)


@when('it reads the evacuations as of {as_of:d}')
def step_reads_evacuations(context, as_of):
    bench = context.bench
    bench.directory.evacuations_version.confirm(as_of, as_of, bench.now_s)


@when('agent {number:d} reports that the evacuations changed as of {as_of:d}')
def step_evacuation_news(context, number, as_of):
    context.bench.report(
        number, FrameKind.PONG, evacuations_changed_as_of=as_of
    )


@then('the evacuations are not requested')
def step_no_evacuations_requested(context):
    assert not context.bench.output.evacuation_lists


@then('the evacuations are requested')
def step_evacuations_requested(context):
    assert context.bench.output.evacuation_lists


@then('each frame sent names the evacuations as of {as_of:d}')
def step_frames_name(context, as_of):
    found = {
        message.evacuations.as_of for _, message in context.bench.output.sent
    }
    assert found == {as_of}, found


@then('the frame says that the agent is in an evacuated data centre')
def step_says_evacuated(context):
    assert context.bench.output.sent[-1][1].is_evacuated


@then(
    'the log line {event} has evacuations {as_of:d} '
    'and evacuations_age_s {age_s:g}'
)
def step_log_line(context, event, as_of, age_s):
    line = logged_lines(context.bench.events, event)[-1]
    found = (line['evacuations'], line['evacuations_age_s'])
    assert found == (as_of, age_s), line


@given('its manifest was confirmed {age_s:g} s ago')
def step_manifest_version(context, age_s):
    bench = context.bench
    version = bench.directory.manifest_copy_version
    version.confirm(27, 27, bench.now_s - age_s)


@then('the log line {event} has manifest_age_s {age_s:g}')
def step_log_manifest_age(context, event, age_s):
    line = logged_lines(context.bench.events, event)[-1]
    assert line['manifest_age_s'] == age_s, line


@when(
    'a frame names the evacuations as of {as_of:d}, '
    'changed as of {changed_as_of:d}'
)
def step_stamped(context, as_of, changed_as_of):
    stamp = CopyStamp(as_of, changed_as_of)
    context.bench.receive(forwarded(b'', FrameKind.PING, evacuations=stamp))


@when(
    "a balancer's frame says that its data centre is evacuated, as of {as_of:d}"
)
def step_hears_evacuated(context, as_of):
    send_evacuated(context, as_of, BALANCER_IP)


@when('an agent passes on a frame to an evacuated data centre, as of {as_of:d}')
def step_passes_on_evacuated(context, as_of):
    send_evacuated(context, as_of, '10.1.0.77')


def send_evacuated(context, as_of, sender_ip):
    """Delivers a ping whose receiver is in an evacuated data centre."""
    ping = forwarded(
        b'',
        FrameKind.PING,
        evacuations=CopyStamp(as_of, as_of),
        is_evacuated=True,
        sender_ip=sender_ip,
    )
    context.bench.receive(ping)
    context.bench.output.clear()


@when('a SYN arrives that was placed by the evacuations as of {as_of:d}')
def step_stamped_syn(context, as_of):
    context.octets = client_packet(SYN)
    stamp = CopyStamp(as_of, as_of)
    context.bench.receive(opening(evacuations=stamp, sender_ip='10.1.0.77'))


@when('a balancer with a copy as of {as_of:d} sends a SYN')
def step_newer_syn(context, as_of):
    context.octets = client_packet(SYN)
    context.bench.receive(opening(evacuations=CopyStamp(as_of, as_of)))


@then('the log line {event} has the reason {reason}')
def step_reason(context, event, reason):
    line = logged_lines(context.bench.events, event)[-1]
    assert line['reason'] == reason, line


@then('its last report names a change of the evacuations as of {as_of:d}')
def step_reports_change(context, as_of):
    _, report = context.bench.output.reports[-1]
    assert report.evacuations_changed_as_of == as_of


@when('the list that it requested arrives, as of {as_of:d}')
def step_list_arrives(context, as_of):
    bench = context.bench
    version = bench.directory.evacuations_version
    version.confirm(as_of, NOT_READ, bench.now_s)
    version.listed_s = bench.now_s
    bench.pass_time(0.02)
    bench.output.evacuation_lists = 0


@then('the evacuations are requested no more')
def step_requested_no_more(context):
    assert not context.bench.output.evacuation_lists
    assert not context.bench.directory.has_outdated_evacuations


@when('its target sends a heartbeat')
def step_heartbeat_now(context):
    context.bench.send_heartbeat(sequence=9)
