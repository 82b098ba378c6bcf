"""Loads of agents as a balancer knows them, and the choice among them."""

from collections.abc import Callable, Sequence
from random import Random

from attrs import define, field

from cumindrift.fleet.directory import AgentEntry
from cumindrift.registry import Registry
from cumindrift.steering.frame import Load

# Candidates that an opening packet names, the first included.
CANDIDATES_MAX = 4
# An agent that passed an open on is left alone for this long.
AVOIDED_S = 0.3
UNKNOWN_RESPONSE_MS = 50
# A data centre away costs time and transfer.
OTHER_DATA_CENTRE_FACTOR = 1.15


@define(slots=True, eq=False, repr=False)
class AgentLoad:
    """What is known of one agent's target, and what was sent there since."""

    last_report: Load = field(factory=Load)
    reported_s: float = 0.0
    sent_count: int = 0
    avoided_until_s: float = 0.0
    # When it first left something unanswered; 0 while it answers.
    silent_since_s: float = 0.0

    def update(self, report: Load, now_s: float) -> None:
        """Takes a report, which counts what was sent before it."""
        self.last_report = report
        self.reported_s = now_s
        self.sent_count = 0
        self.silent_since_s = 0.0

    def cost(self) -> float:
        """Estimates how long a request of a new flow would take, in ms."""
        report = self.last_report
        response_ms = report.response_ms or UNKNOWN_RESPONSE_MS
        slots = max(report.slots, 1)
        flows = report.flow_count + self.sent_count
        work = report.busy_count + self.sent_count
        return response_ms * (1 + (work + flows / 4) / slots)


# Orders the agents of a service for one new flow, best first.
OpenPolicy = Callable[
    [Sequence[AgentEntry], dict[str, AgentLoad], str, Random],
    list[AgentEntry],
]
open_policies: Registry[OpenPolicy] = Registry('open policy')


@open_policies.register('lightest')
def order_by_load(
    agents: Sequence[AgentEntry],
    loads: dict[str, AgentLoad],
    data_centre: str,
    random: Random,
) -> list[AgentEntry]:
    """Puts the agent first whose target would answer soonest."""

    def cost(entry: AgentEntry) -> float:
        known = loads.get(entry.ip)
        estimate = known.cost() if known else UNKNOWN_RESPONSE_MS
        if entry.data_centre != data_centre:
            estimate *= OTHER_DATA_CENTRE_FACTOR
        return estimate * (1 + random.random() / 16)

    return sorted(agents, key=cost)


@open_policies.register('random')
def order_at_random(
    agents: Sequence[AgentEntry],
    _loads: dict[str, AgentLoad],
    _data_centre: str,
    random: Random,
) -> list[AgentEntry]:
    """Orders the agents at random: the baseline."""
    return random.sample(list(agents), len(agents))
