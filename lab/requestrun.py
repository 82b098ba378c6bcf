"""Randomised runs of request ledgers and callers under mixed faults."""

import sys
from random import Random

from absl import app, flags
from attrs import define, field
from tabulate import tabulate

from cumindrift.caller.budget import RetryBudget
from cumindrift.caller.service import ServiceCaller
from cumindrift.invariant import enable_strict_mode
from cumindrift.log import set_up_logs
from cumindrift.outcome import Outcome
from cumindrift.registry import Registry
from lab.network import VirtualNetwork
from lab.requestagent import GroundTruth, VirtualAgent
from lab.requestworld import RequestSimulation
from standin.model import WorkModel

AGENT_COUNT = 4
CALLER_COUNT = 6
REQUESTS_PER_S = 50.0
FAULT_PERIOD_S = 1.5
REQUEST_TIMEOUT_S = 4.0
WARM_S = 3.0
WORK_S = 0.02
DOWN_S = 0.5
STOP_POLL_S = 0.05
CANCEL_SHARE = 0.05
SIZES = (0, 40, 40, 40, 900, 900, 6_000, 120_000)
# Each run draws one of these by its seed. With short retention or few
# entries the ledger drops requests whose messages are still in transit.
RETENTION_S = (300.0, 1.0, 3.0)
ENTRIES_MAX = (50_000, 60)


@define(slots=True, eq=False)
class RequestRun:
    """A simulation with its load and its faults, from one seed."""

    seed: int
    event_count: int
    fault_counts: dict[str, int] = field(factory=dict)
    simulation: RequestSimulation = field(init=False)
    _callers: list[ServiceCaller] = field(factory=list)
    _sizes: dict[bytes, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Builds the agents and callers."""
        random = Random(self.seed)
        network = VirtualNetwork(
            random,
            jitter_s=0.02,
            loss_share=0.03,
            double_share=0.05,
        )
        self.simulation = RequestSimulation(
            random, network, misrouted_share=0.01, late_copy_share=0.03
        )
        for number in range(AGENT_COUNT):
            speed = 1.0 + number % 3
            model = WorkModel(4, speed, WARM_S, -WARM_S)
            self.simulation.add_agent(
                model,
                self._work_s,
                retention_s=RETENTION_S[self.seed % len(RETENTION_S)],
                entries_max=ENTRIES_MAX[self.seed % len(ENTRIES_MAX)],
            )
        budget = RetryBudget()
        for _ in range(CALLER_COUNT):
            caller = self.simulation.make_caller(self._on_outcome, budget)
            self._callers.append(caller)
            network.every(STOP_POLL_S, caller.tick)

    @property
    def ground_truth(self) -> GroundTruth:
        """What targets ran and what callers were told."""
        return self.simulation.ground_truth

    def run(self) -> None:
        """Sends `event_count` messages, then waits out the timeouts."""
        network = self.simulation.network
        self._send_next_request()
        self._inject_next_fault()
        while network.sent_count < self.event_count:
            network.run(network.now_s + 1.0)
        self.event_count = 0
        network.run(network.now_s + 3 * REQUEST_TIMEOUT_S)

    @property
    def unsettled_count(self) -> int:
        """The number of requests that got no outcome."""
        return len(self._sizes)

    def _work_s(self) -> float:
        return WORK_S * (0.5 + self.simulation.random.random())

    def _on_outcome(self, request_id: bytes, outcome: Outcome) -> None:
        size = self._sizes.pop(request_id)
        self.ground_truth.record_outcome(request_id, size, outcome)

    def _send_next_request(self) -> None:
        if not self.event_count:
            return
        random = self.simulation.random
        network = self.simulation.network
        size = random.choice(SIZES)
        request = self.simulation.make_request(size)
        self._sizes[request.request_id] = size
        caller = random.choice(self._callers)
        caller.request(request, REQUEST_TIMEOUT_S * random.random() + 0.1)
        if random.random() < CANCEL_SHARE:
            network.at(
                network.now_s + random.random() * 0.2,
                lambda: caller.cancel(request.request_id),
            )
        wait_s = random.expovariate(REQUESTS_PER_S)
        network.at(network.now_s + wait_s, self._send_next_request)

    def _inject_next_fault(self) -> None:
        if not self.event_count:
            return
        random = self.simulation.random
        network = self.simulation.network
        name = random.choice(faults.names())
        agent = random.choice(self.simulation.agents)
        if agent.core is not None:
            self.fault_counts[name] = self.fault_counts.get(name, 0) + 1
            faults.get(name)(agent, network)
        wait_s = random.expovariate(1 / FAULT_PERIOD_S)
        network.at(network.now_s + wait_s, self._inject_next_fault)


faults: Registry = Registry('fault')


@faults.register('agent killed')
def _kill_agent(agent: VirtualAgent, network: VirtualNetwork) -> None:
    agent.kill()
    network.at(network.now_s + DOWN_S, agent.start)


@faults.register('agent replaced')
def _replace_agent(agent: VirtualAgent, network: VirtualNetwork) -> None:
    agent.flows.clear()
    _kill_agent(agent, network)


@faults.register('agent restarted as planned')
def _restart_agent(agent: VirtualAgent, network: VirtualNetwork) -> None:
    stopping = agent.core
    agent.stop()

    def poll() -> None:
        if agent.core is not stopping:
            return
        if not stopping.has_stopped(network.now_s):
            network.at(network.now_s + STOP_POLL_S, poll)
            return
        ledger_image = agent.hand_over()
        network.at(network.now_s + DOWN_S, lambda: agent.start(ledger_image))

    poll()


@faults.register('target killed')
def _kill_target(agent: VirtualAgent, _network: VirtualNetwork) -> None:
    agent.kill_target()


@faults.register('target turned cold')
def _turn_cold(agent: VirtualAgent, network: VirtualNetwork) -> None:
    agent.model.turn_cold(network.now_s)


@faults.register('target unreachable')
def _make_target_unreachable(
    agent: VirtualAgent, network: VirtualNetwork
) -> None:
    agent.is_unreachable = True

    def restore() -> None:
        agent.is_unreachable = False

    network.at(network.now_s + DOWN_S, restore)


def row(run: RequestRun) -> list[int]:
    """Returns the figures of one run."""
    ground_truth = run.ground_truth
    total = sum(ground_truth.outcomes.values())
    return [
        run.seed,
        run.simulation.network.sent_count,
        total,
        ground_truth.outcomes['DONE'],
        ground_truth.duplicate_run_count,
        ground_truth.false_not_run_count,
        ground_truth.corrupt_response_count,
        run.unsettled_count,
        sum(run.fault_counts.values()),
    ]


HEADERS = (
    'seed',
    'messages',
    'requests',
    'done',
    'run twice',
    'false not run',
    'mixed or cut',
    'unsettled',
    'faults',
)


def _run(_arguments: list[str]) -> int:
    set_up_logs('requestrun', 'text', 'ERROR')
    enable_strict_mode()
    rows = []
    for seed in range(flags.FLAGS.seed, flags.FLAGS.seed + flags.FLAGS.seeds):
        run = RequestRun(seed, flags.FLAGS.events)
        run.run()
        rows.append(row(run))
        codes = sorted(run.ground_truth.outcomes.items())
        sys.stderr.write(f'{seed} {codes} {sorted(run.fault_counts.items())}\n')
    sys.stdout.write(f'{tabulate(rows, HEADERS, tablefmt="github")}\n')
    return 0


if __name__ == '__main__':
    flags.DEFINE_integer('seed', 1, 'The first seed.')
    flags.DEFINE_integer('seeds', 1, 'How many seeds to run.')
    flags.DEFINE_integer('events', 200_000, 'Messages for each seed.')
    app.run(_run)
