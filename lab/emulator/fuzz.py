"""Random experiments, by hypothesis: every promise holds in each of them."""

from attrs import evolve
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from lab.emulator.experiment import Experiment, FaultPlan, RequestClass
from lab.emulator.fault import faults
from lab.emulator.play import UTILISATION_MAX, play

# Faults come within FAULTS_S; the rest of LENGTH_S is for the recovery.
FAULTS_S = 6.0
LENGTH_S = 16.0
_PERIODS = (HealthCheck.too_slow, HealthCheck.data_too_large)


@st.composite
def request_classes(draw: st.DrawFn, name: str) -> RequestClass:
    """Draws a kind of request."""
    time_limit_ms = draw(st.sampled_from((400, 800, 1500, 3000, 6000)))
    return RequestClass(
        name=name,
        rate_per_s=draw(st.integers(20, 80)),
        work_ms=draw(st.integers(5, 60)),
        time_limit_ms=time_limit_ms,
        target_latency_ms=time_limit_ms / draw(st.sampled_from((2, 5, 10))),
        priority=draw(st.integers(0, 2)),
        retries=draw(st.integers(0, 4)),
        is_long=draw(st.booleans()),
        is_idempotent=draw(st.booleans()),
    )


@st.composite
def fault_plans(draw: st.DrawFn) -> FaultPlan:
    """Draws a fault that ends within FAULTS_S."""
    return FaultPlan(
        kind=draw(st.sampled_from(faults.names())),
        at_s=draw(st.integers(20, 35)) / 10,
        for_s=draw(st.integers(2, 25)) / 10,
        count=draw(st.integers(1, 4)),
        factor=draw(st.sampled_from((0.3, 2.0, 5.0))),
    )


@st.composite
def experiments(draw: st.DrawFn) -> Experiment:
    """Draws a deployment whose targets can carry its load."""
    plan = Experiment(
        name='fuzzed',
        seed=draw(st.integers(0, 2**32)),
        length_s=LENGTH_S,
        data_centres=draw(st.integers(2, 4)),
        balancers=draw(st.integers(1, 8)),
        targets=draw(st.integers(4, 12)),
        slots=draw(st.integers(1, 4)),
        speeds=draw(st.sampled_from(((1.0,), (0.55, 1.2, 1.2)))),
        router=draw(st.sampled_from(('steady', 'mod'))),
        judges_targets=draw(st.booleans()),
        classes=(
            draw(request_classes('first')),
            draw(request_classes('second')),
        ),
        faults=tuple(draw(st.lists(fault_plans(), max_size=3))),
    )
    most = UTILISATION_MAX * 0.95
    if plan.utilisation <= most:
        return plan
    return evolve(plan, load=most / plan.utilisation)


def run_fuzz(count: int, first_seed: int, *, shrinks: bool = True) -> None:
    """Plays `count` random experiments.

    Raises AssertionError with the smallest experiment that hypothesis finds to
    break a promise.
    """
    phases = [Phase.generate]
    if shrinks:
        phases.append(Phase.shrink)

    @seed(first_seed)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        phases=phases,
        suppress_health_check=_PERIODS,
    )
    @given(experiments())
    def holds(plan: Experiment) -> None:
        breaches = play(plan).breaches()
        assert not breaches, breaches[:3]

    holds()
