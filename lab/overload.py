"""Measures goodput before, during and after a loss of capacity.

Half of the targets stop for OUTAGE_S at 80% load, with callers that time out
after CALLER_TIMEOUT_S and make three attempts. The runs differ in which
protections against retry storms are on, to show the effect of each.
"""

import sys
from random import Random

from absl import app, flags
from attrs import define, field
from tabulate import tabulate

from cumindrift.caller.budget import RetryBudget
from cumindrift.caller.message import Request
from cumindrift.caller.service import ServiceCaller
from cumindrift.caller.session import make_request
from cumindrift.outcome import Done, Outcome
from cumindrift.registry import Registry
from lab.network import VirtualNetwork
from lab.requestworld import RequestSimulation
from standin.model import WorkModel

AGENT_COUNT = 4
SLOTS = 4
SPEED = 1.0
WORK_S = 0.1
LOAD_SHARE = 0.8
WARM_S = 2.0
CALLER_TIMEOUT_S = 2.0
ATTEMPTS_MAX = 3
CALLER_COUNT = 20
TICK_S = 0.05
OUTAGE_START_S = 40.0
OUTAGE_S = 20.0
RECOVERY_RUN_S = 60.0
WINDOW_S = 5.0
GOOD_SHARE = 0.95
UNLIMITED_TOKENS = 1e9
LONG_QUEUE = 100_000


@define(frozen=True, slots=True)
class Protection:
    """Which protections are on in a run."""

    has_budget: bool = True
    has_deadlines: bool = True


protections: Registry[Protection] = Registry('protection')
protections.register('1 budget and deadline checks')(Protection())
protections.register('2 without the budget')(Protection(has_budget=False))
protections.register('3 without deadline checks')(
    Protection(has_deadlines=False),
)
protections.register('4 without both')(
    Protection(has_budget=False, has_deadlines=False),
)


@define(slots=True, eq=False)
class UserOperation:
    """What a user wants done, in up to ATTEMPTS_MAX attempts."""

    started_s: float
    attempts: int = 0


@define(slots=True, eq=False)
class OverloadRun:
    """One run of callers and agents with the given protections."""

    protection: Protection
    seed: int
    attempt_count: int = 0
    first_attempt_count: int = 0
    # Number of operations by the second of their start: all of them, and
    # those that were served in time.
    offered: dict[int, int] = field(factory=dict)
    served: dict[int, int] = field(factory=dict)
    simulation: RequestSimulation = field(init=False)
    budget: RetryBudget = field(init=False)
    _callers: list[ServiceCaller] = field(factory=list)
    _operations: dict[bytes, UserOperation] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Builds the agents, the retry budget and the callers."""
        random = Random(self.seed)
        self.simulation = RequestSimulation(random, VirtualNetwork(random))
        has_deadlines = self.protection.has_deadlines
        for _ in range(AGENT_COUNT):
            options = {} if has_deadlines else {'queue_max': LONG_QUEUE}
            self.simulation.add_agent(
                WorkModel(SLOTS, SPEED, WARM_S, -WARM_S),
                self._work_s,
                checks_deadlines=has_deadlines,
                **options,
            )
        self.budget = RetryBudget()
        if not self.protection.has_budget:
            self.budget = RetryBudget(tokens=UNLIMITED_TOKENS)
            self.budget.tokens_max = UNLIMITED_TOKENS
        for _ in range(CALLER_COUNT):
            self._add_caller()

    def run(self) -> None:
        """Runs the warm-up, the outage and the time after it."""
        network = self.simulation.network
        self._start_operation()
        network.at(OUTAGE_START_S, self._stop_targets)
        network.at(OUTAGE_START_S + OUTAGE_S, self._restore_targets)
        network.run(OUTAGE_START_S + OUTAGE_S + RECOVERY_RUN_S)

    def goodput(self, from_s: float, until_s: float) -> float:
        """Returns the share of operations served in time."""
        seconds = range(int(from_s), int(until_s))
        offered = sum(self.offered.get(second, 0) for second in seconds)
        served = sum(self.served.get(second, 0) for second in seconds)
        return served / max(1, offered)

    def recovery_s(self) -> float | None:
        """Returns the time from the outage's end to lasting good goodput.

        None if goodput is not good up to the end of the run.
        """
        end_s = OUTAGE_START_S + OUTAGE_S
        last_s = end_s + RECOVERY_RUN_S - CALLER_TIMEOUT_S * ATTEMPTS_MAX
        moment_s = last_s - WINDOW_S
        while moment_s >= end_s and self._is_recovered(moment_s):
            moment_s -= 1.0
        recovered_s = moment_s + 1.0 - end_s
        return recovered_s if recovered_s + end_s < last_s - WINDOW_S else None

    def _is_recovered(self, moment_s: float) -> bool:
        return self.goodput(moment_s, moment_s + WINDOW_S) >= GOOD_SHARE

    def _work_s(self) -> float:
        return WORK_S * (0.5 + self.simulation.random.random())

    def _add_caller(self) -> None:
        caller = self.simulation.make_caller(self._on_outcome, self.budget, 1)
        self._callers.append(caller)
        self.simulation.network.every(TICK_S, caller.tick)

    def _start_operation(self) -> None:
        network = self.simulation.network
        rate = AGENT_COUNT * SLOTS * SPEED / WORK_S * LOAD_SHARE
        operation = UserOperation(network.now_s)
        second = int(network.now_s)
        self.offered[second] = self.offered.get(second, 0) + 1
        self.first_attempt_count += 1
        self._attempt(operation)
        wait_s = self.simulation.random.expovariate(rate)
        network.at(network.now_s + wait_s, self._start_operation)

    def _attempt(self, operation: UserOperation) -> None:
        operation.attempts += 1
        self.attempt_count += 1
        random = self.simulation.random
        request: Request = make_request(random, 'POST', '40')
        self._operations[request.request_id] = operation
        random.choice(self._callers).request(request, CALLER_TIMEOUT_S)

    def _on_outcome(self, request_id: bytes, outcome: Outcome) -> None:
        operation = self._operations.pop(request_id)
        if isinstance(outcome, Done):
            second = int(operation.started_s)
            self.served[second] = self.served.get(second, 0) + 1
        elif operation.attempts < ATTEMPTS_MAX and self.budget.try_spend():
            now_s = self.simulation.network.now_s
            wait_s = self.simulation.random.random() * CALLER_TIMEOUT_S
            self.simulation.network.at(
                now_s + wait_s, lambda: self._attempt(operation)
            )

    def _stop_targets(self) -> None:
        for agent in self.simulation.agents[: AGENT_COUNT // 2]:
            agent.kill_target()
            agent.is_unreachable = True

    def _restore_targets(self) -> None:
        now_s = self.simulation.network.now_s
        for agent in self.simulation.agents:
            if agent.is_unreachable:
                agent.is_unreachable = False
                agent.model.turn_cold(now_s)


def row(name: str, run: OverloadRun) -> list[object]:
    """Returns the report row of a run: its name, goodput and attempts."""
    end_s = OUTAGE_START_S + OUTAGE_S
    return [
        name,
        run.goodput(OUTAGE_START_S - 10, OUTAGE_START_S),
        run.goodput(OUTAGE_START_S, end_s),
        run.goodput(end_s, end_s + 10),
        run.goodput(end_s + 10, end_s + 20),
        run.goodput(end_s + 40, end_s + 50),
        run.recovery_s(),
        run.attempt_count / run.first_attempt_count,
    ]


HEADERS = (
    'protections',
    'before',
    'trigger',
    '0-10 s after',
    '10-20 s after',
    '40-50 s after',
    'good again after s',
    'attempts a request',
)


def _run(_arguments: list[str]) -> int:
    rows = []
    for name, protection in protections:
        run = OverloadRun(protection, flags.FLAGS.seed)
        run.run()
        rows.append(row(name, run))
    table = tabulate(rows, HEADERS, tablefmt='github', floatfmt='.3f')
    sys.stdout.write(f'{table}\n')
    return 0


if __name__ == '__main__':
    flags.DEFINE_integer('seed', 1, 'Seed of the run.')
    app.run(_run)
