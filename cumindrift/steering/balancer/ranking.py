"""The order in which the agents of a service are offered a SYN."""

from collections.abc import Container
from random import Random

from attrs import define, field

from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import RequestLimits
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.cost import (
    CostPolicy,
    NewFlow,
    cost_policies,
)
from cumindrift.steering.balancer.load import AgentLoad
from cumindrift.steering.balancer.state import BalancerState

# A random share of the cost, up to this one, is added for each SYN, so that
# balancers with the same reports do not all choose the same agent.
COST_SPREAD = 1 / 16


@define(slots=True, eq=False, repr=False)
class AgentRanking:
    """Ranks agents by what the balancer knows, without changing it.

    Used to place a SYN and to explain a placement.
    """

    state: BalancerState
    agent_monitor: AgentMonitor
    cost: CostPolicy = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Chooses the policy by which agents are compared."""
        name = 'spill' if self.state.judges_targets else 'lightest'
        self.cost = cost_policies.get(name)

    def new_flow(self, service: str, limits: RequestLimits) -> NewFlow:
        """Returns a new flow at this balancer."""
        return NewFlow(service, self.state.data_centre, limits)

    def cost_ms(self, entry: AgentEntry, flow: NewFlow, now_s: float) -> float:
        """Returns an agent's cost to a new flow, without the random part."""
        load = self.agent_monitor.loads.get(entry.ip) or AgentLoad()
        return self.cost(entry, load, flow, now_s)

    def order(
        self,
        flow: NewFlow,
        tried: Container[str],
        random: Random,
        now_s: float,
    ) -> list[AgentEntry]:
        """Returns the agents of its service not in `tried`, best first.

        There are none before the evacuations are known: any of them could be
        in an evacuated data centre.
        """
        directory = self.state.directory
        if not directory.has_evacuations:
            return []
        untried = [
            entry
            for entry in directory.agents_of(flow.service)
            if entry.ip not in tried
        ]
        rank = self.agent_monitor.unavailability_rank
        return sorted(
            untried,
            key=lambda entry: (
                rank(entry, now_s),
                self.cost_ms(entry, flow, now_s)
                * (1 + random.random() * COST_SPREAD),
            ),
        )

    def is_forced(self, service: str, now_s: float) -> bool:
        """Returns whether agents take a SYN even for an ejected target."""
        state = self.state
        return state.judges_targets and self.agent_monitor.is_mostly_ejected(
            state.directory.agents_of(service), now_s
        )
