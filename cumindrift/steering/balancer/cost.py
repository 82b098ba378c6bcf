"""What an agent costs a new flow: policies by which agents are ranked."""

from collections.abc import Callable

from attrs import define

from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import RequestLimits
from cumindrift.registry import Registry
from cumindrift.steering.balancer.load import (
    MS_PER_S,
    AgentLoad,
)

# Cost factor of agents in another data centre: latency and traffic.
OTHER_DATA_CENTRE_FACTOR = 1.15
# A response this much later, as a share of the target latency, costs a client
# nothing. Up to that, flows stay in the data centre of their balancer.
SPILL_SHARE = 0.125
# How many times as much the penalty of a failing target counts for requests
# that must not run twice, since their clients cannot retry them.
UNSAFE_PENALTY_FACTOR = 4.0


@define(frozen=True, slots=True, eq=False, repr=False)
class NewFlow:
    """A new flow at a balancer, as far as the ranking depends on it."""

    service: str
    # The data centre of the balancer.
    data_centre: str
    limits: RequestLimits


# Returns an agent's cost to a new flow, in ms; the lowest gets it.
CostPolicy = Callable[[AgentEntry, AgentLoad, NewFlow, float], float]
cost_policies: Registry[CostPolicy] = Registry('cost policy')


@cost_policies.register('lightest')
def response_cost(
    entry: AgentEntry, load: AgentLoad, flow: NewFlow, now_s: float
) -> float:
    """Estimates the response time; another data centre costs a share more."""
    estimate_ms = load.response_ms(now_s)
    if entry.data_centre != flow.data_centre:
        estimate_ms *= OTHER_DATA_CENTRE_FACTOR
    return estimate_ms * _penalty_factor(load.penalty_percent(now_s))


@cost_policies.register('spill')
def spill_cost(
    entry: AgentEntry, load: AgentLoad, flow: NewFlow, now_s: float
) -> float:
    """Keeps flows in their data centre while their clients notice nothing.

    The more its targets are loaded, the more of its flows go elsewhere.
    """
    limits = flow.limits
    estimate_ms = load.response_ms(now_s)
    if entry.data_centre != flow.data_centre:
        estimate_ms += limits.target_latency_s * SPILL_SHARE * MS_PER_S
    penalty_percent = load.penalty_percent(now_s)
    if not limits.is_idempotent:
        penalty_percent *= UNSAFE_PENALTY_FACTOR
    return estimate_ms * _penalty_factor(penalty_percent)


@cost_policies.register('equal')
def equal_cost(
    entry: AgentEntry, load: AgentLoad, flow: NewFlow, now_s: float
) -> float:
    """Costs the same everywhere, so chance decides: a baseline."""
    return 1.0


def _penalty_factor(percent: float) -> float:
    return 1 + percent / 100
