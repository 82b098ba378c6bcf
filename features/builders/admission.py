"""Builds admissions that have learned what a warm target does."""

from random import Random

from cumindrift.registry import Registry
from cumindrift.traffic.admission import AdmissionController
from lab.requestwarm import Case, run_case

NOW_S = 500.0
CALM_S = 0.02
SLOTS = 4


def warm_admission():
    """Returns an admission whose target was found warm a moment ago."""
    admission = AdmissionController(SLOTS, Random(1))
    for _ in range(30):
        _respond(admission, b'first', CALM_S)
    admission.baseline_s = CALM_S
    admission.baseline_deviation_s = CALM_S / 4
    admission.limit = SLOTS
    admission._baseline_count = 1000
    return admission


def cold_run(way, limiter, seed):
    """Returns a run of one target of the bench, cold in some way."""
    return run_case(Case(way, 2.0, 0.02, 'even'), limiter, seed)


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
def _see_nothing(admission):
    """Changes nothing."""


@signals.register('a response in usual time')
def _see_usual(admission):
    _respond(admission, b'a', CALM_S * 1.4)


@signals.register('one slow response')
def _see_slow(admission):
    _respond(admission, b'a', CALM_S * 4)


@signals.register('a slow and a good response')
def _see_slow_and_good(admission):
    _respond(admission, b'a', CALM_S * 4)
    _respond(admission, b'b', CALM_S)


@signals.register('two slow responses')
def _see_two_slow(admission):
    _respond(admission, b'a', CALM_S * 4)
    _respond(admission, b'b', CALM_S * 4)


@signals.register('one failure')
def _see_failure(admission):
    admission.on_start(b'a', NOW_S)
    admission.on_failure(NOW_S)
    admission.on_finished(b'a')


@signals.register('silence for too long')
def _see_silence(admission):
    admission.on_start(b'a', NOW_S - CALM_S * 4)
    admission.on_start(b'b', NOW_S - CALM_S * 4)
    admission.check_overdue(NOW_S)
    admission.on_finished(b'a')
    admission.on_finished(b'b')
