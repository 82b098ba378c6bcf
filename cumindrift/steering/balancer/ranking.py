"""The order in which the agents of a service are offered a SYN."""

from collections.abc import Container
from random import Random

from attrs import define

from cumindrift.fleet.directory import AgentEntry
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.load import OpenPolicy, order_by_load
from cumindrift.steering.balancer.state import BalancerState


@define(slots=True, eq=False, repr=False)
class AgentRanking:
    """Ranks agents by what the balancer knows, without changing it.

    Used to place a SYN and to explain a placement.
    """

    state: BalancerState
    agent_monitor: AgentMonitor
    policy: OpenPolicy = order_by_load

    def order(
        self,
        service: str,
        tried: Container[str],
        random: Random,
        now_s: float,
    ) -> list[AgentEntry]:
        """Returns the agents of a service that are not in `tried`, best first.

        There are none before the evacuations are known: any of them could be
        in an evacuated data centre.
        """
        directory = self.state.directory
        if not directory.has_evacuations:
            return []
        untried = [
            entry
            for entry in directory.agents_of(service)
            if entry.ip not in tried
        ]
        ordered = self.policy(
            untried,
            self.agent_monitor.loads,
            self.state.data_centre,
            random,
            now_s,
        )
        return sorted(
            ordered,
            key=lambda entry: self.agent_monitor.unavailability_rank(
                entry, now_s
            ),
        )

    def is_forced(self, service: str, now_s: float) -> bool:
        """Returns whether agents take a SYN even for an ejected target."""
        state = self.state
        return state.judges_targets and self.agent_monitor.is_mostly_ejected(
            state.directory.agents_of(service), now_s
        )
