"""Builders of agents in two data centres, which a balancer ranks."""

from random import Random

from attrs import define, evolve, field

from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import RequestLimits
from cumindrift.steering.balancer.cost import cost_policies
from cumindrift.steering.balancer.ranking import AgentRanking
from cumindrift.steering.frame import Load
from features.builders.core import BalancerBench
from features.builders.node import SERVICE, agent_ip

HERE, ELSEWHERE = 'hel-a', 'esp-b'


@define(slots=True, eq=False)
class SpreadAgents:
    """As many agents in the balancer's data centre as in another one."""

    count_each: int
    slots: int
    work_ms: int
    bench: BalancerBench = field(init=False)
    entries: list[AgentEntry] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds idle agents, which have all reported their load."""
        self.bench = BalancerBench(0, judges_targets=True)
        places = [HERE for _ in range(self.count_each)]
        places.extend(ELSEWHERE for _ in range(self.count_each))
        self.entries = [
            AgentEntry(f'side-{number}', agent_ip(number), place, SERVICE)
            for number, place in enumerate(places, start=1)
        ]
        self.bench.directory.apply_agents(
            {entry.name: entry for entry in self.entries}
        )
        for index, _ in enumerate(self.entries):
            self.report(index)

    @property
    def ranking(self) -> AgentRanking:
        """Returns the balancer's ranking of agents."""
        return self.bench.core.placer.ranking

    def choose(self, policy: str) -> None:
        """Has the balancer use another cost policy."""
        self.ranking.cost = cost_policies.get(policy)

    def report(self, index: int, **changes: int) -> None:
        """Applies a report of one agent."""
        idle = Load(0, 0, self.work_ms, self.slots)
        self.bench.core.agent_monitor.on_report(
            self.entries[index].ip, evolve(idle, **changes), self.bench.now_s
        )

    def place(self, latency_ms: int, *, is_idempotent: bool = True) -> str:
        """Sends a new flow to the best agent; returns its data centre."""
        limits = RequestLimits(2.0, latency_ms / 1000, 1, is_idempotent)
        flow = self.ranking.new_flow(SERVICE, limits)
        best = self.ranking.order(flow, (), Random(1), self.bench.now_s)[0]
        self.bench.core.agent_monitor.load_of(best.ip).sent_count += 1
        return best.data_centre

    def wait_until_tried(self, index: int) -> None:
        """Passes time until an agent no longer ranks as avoided."""
        monitor = self.bench.core.agent_monitor
        while monitor.unavailability_rank(
            self.entries[index], self.bench.now_s
        ):
            self.bench.now_s += 0.05
