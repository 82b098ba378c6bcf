"""Builds admission controllers with the baseline of a warm target."""

from random import Random

from cumindrift.registry import Registry
from cumindrift.traffic.admission import AdmissionController
from lab.requestwarm import ColdStartCase, run_case

NOW_S = 500.0
BASELINE_S = 0.02
SLOTS = 4


def warm_admission():
    """Returns an admission controller whose target is warm."""
    admission = AdmissionController(SLOTS, Random(1))
    for _ in range(30):
        _respond(admission, b'first', BASELINE_S)
    admission.baseline_s = BASELINE_S
    admission.baseline_deviation_s = BASELINE_S / 4
    admission.limit = SLOTS
    admission._baseline_count = 1000
    return admission


def cold_run(cause, limiter, seed):
    """Simulates one target that is cold for the reason `cause`."""
    return run_case(ColdStartCase(cause, 2.0, 0.02, 'even'), limiter, seed)


def allowed_count(admission, now_s):
    """Returns how many more requests would start now."""
    count = 0
    while admission.may_start(now_s):
        count += 1
        admission.on_start(b'probe-%d' % count, now_s)
    return count


signals = Registry('signal of a target')


def _respond(admission, name, elapsed_s):
    admission.on_start(name, NOW_S - elapsed_s)
    admission.on_head(name, NOW_S)
    admission.on_finished(name)


@signals.register('nothing')
def _observe_nothing(admission):
    """Changes nothing."""


@signals.register('a response in normal time')
def _observe_normal(admission):
    _respond(admission, b'a', BASELINE_S * 1.4)


@signals.register('one slow response')
def _observe_slow(admission):
    _respond(admission, b'a', BASELINE_S * 4)


@signals.register('a slow and a good response')
def _observe_slow_and_good(admission):
    _respond(admission, b'a', BASELINE_S * 4)
    _respond(admission, b'b', BASELINE_S)


@signals.register('two slow responses')
def _observe_two_slow(admission):
    _respond(admission, b'a', BASELINE_S * 4)
    _respond(admission, b'b', BASELINE_S * 4)


@signals.register('one failure')
def _observe_failure(admission):
    admission.on_start(b'a', NOW_S)
    admission.on_failure(NOW_S)
    admission.on_finished(b'a')


@signals.register('two overdue responses')
def _observe_overdue(admission):
    admission.on_start(b'a', NOW_S - BASELINE_S * 4)
    admission.on_start(b'b', NOW_S - BASELINE_S * 4)
    admission.check_overdue(NOW_S)
    admission.on_finished(b'a')
    admission.on_finished(b'b')
