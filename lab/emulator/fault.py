"""Faults of an emulation: each does its harm and undoes it in time."""

from collections.abc import Callable
from functools import partial

from cumindrift.registry import Registry
from lab.emulator.experiment import FaultPlan
from lab.emulator.node import START_S, EmulatedAgent, EmulatedNode
from lab.emulator.target import HEARTBEAT_S
from lab.emulator.world import SETTLE_S, World

EVACUATION_BOUND_S = 5.0
DRAIN_BOUND_S = 3.0

# Starts a fault; the fault ends by itself after `plan.for_s`.
Fault = Callable[[World, FaultPlan], None]
faults: Registry[Fault] = Registry('fault')


def schedule_faults(world: World) -> None:
    """Schedules all faults of a world's experiment."""
    for plan in world.plan.faults:
        _schedule(world, plan)


def _schedule(world: World, plan: FaultPlan) -> None:
    start = faults.get(plan.kind)
    world.network.at(SETTLE_S + plan.at_s, lambda: start(world, plan))


def _later(world: World, delay_s: float, call: Callable[[], None]) -> None:
    world.network.at(world.network.now_s + delay_s, call)


def _harm(world: World, node: EmulatedNode, for_s: float) -> None:
    until_s = world.network.now_s + for_s + START_S
    node.harmed_until_s = max(node.harmed_until_s, until_s)


def _restart_later(world: World, node: EmulatedNode, delay_s: float) -> None:
    """Stops a node, and starts it again after `delay_s` and its start."""
    _harm(world, node, delay_s)
    node.stop()
    _later(world, delay_s + START_S, node.start)


def _some_agents(world: World, plan: FaultPlan) -> list[EmulatedAgent]:
    agents = list(world.agents.values())
    return world.random.sample(agents, min(plan.count, len(agents)))


@faults.register('power-off')
def power_off(world: World, plan: FaultPlan) -> None:
    """All machines lose power: nodes and targets forget everything."""
    for agent in world.agents.values():
        agent.target.crash()
        _later(world, plan.for_s, agent.target.restart)
        _restart_later(world, agent, plan.for_s)
    for balancer in world.balancers.values():
        _restart_later(world, balancer, plan.for_s)


@faults.register('kill-all')
def kill_all(world: World, plan: FaultPlan) -> None:
    """All nodes are killed; the targets go on."""
    for node in (*world.agents.values(), *world.balancers.values()):
        _restart_later(world, node, plan.for_s)


@faults.register('balancer-kill')
def kill_balancers(world: World, plan: FaultPlan) -> None:
    """Some balancers are killed and start again."""
    balancers = list(world.balancers.values())
    for node in world.random.sample(balancers, min(plan.count, len(balancers))):
        _restart_later(world, node, plan.for_s)


@faults.register('agent-kill')
def kill_agents(world: World, plan: FaultPlan) -> None:
    """Some agents are killed beside living targets, and start again."""
    for node in _some_agents(world, plan):
        _restart_later(world, node, plan.for_s)


@faults.register('node-freeze')
def freeze_nodes(world: World, plan: FaultPlan) -> None:
    """Some nodes of any role stand still."""
    nodes = [*world.agents.values(), *world.balancers.values()]
    for node in world.random.sample(nodes, min(plan.count, len(nodes))):
        _harm(world, node, plan.for_s)
        node.is_frozen = True
        _later(world, plan.for_s, node.thaw)


@faults.register('target-crash')
def crash_targets(world: World, plan: FaultPlan) -> None:
    """Some targets crash and start again."""
    for agent in _some_agents(world, plan):
        agent.target.crash()
        _later(world, plan.for_s, agent.target.restart)


@faults.register('target-flap')
def flap_targets(world: World, plan: FaultPlan) -> None:
    """Some targets go down and up again; `factor` is the seconds of each."""
    period_s = plan.factor
    for agent in _some_agents(world, plan):
        for number in range(int(plan.for_s / (2 * period_s))):
            down_s = number * 2 * period_s
            _later(world, down_s, agent.target.crash)
            _later(world, down_s + period_s, agent.target.restart)


@faults.register('target-failing')
def fail_targets(world: World, plan: FaultPlan) -> None:
    """Some targets accept flows and reset them with the request."""
    for agent in _some_agents(world, plan):
        agent.target.is_failing = True
        _later(world, plan.for_s, agent.target.stop_failing)


@faults.register('target-slow')
def slow_targets(world: World, plan: FaultPlan) -> None:
    """Some targets take `factor` times as long."""
    for agent in _some_agents(world, plan):
        agent.target.slowness = plan.factor
        _later(world, plan.for_s, agent.target.recover_speed)


@faults.register('drain')
def drain_targets(world: World, plan: FaultPlan) -> None:
    """Some targets announce that they leave, and are replaced."""
    for agent in _some_agents(world, plan):
        # The next heartbeat tells the agent, whose bound starts then.
        told_s = world.network.now_s + HEARTBEAT_S
        agent.target.drain(told_s + DRAIN_BOUND_S)
        _later(world, plan.for_s, agent.target.replace)


@faults.register('evacuate')
def evacuate(world: World, plan: FaultPlan) -> None:
    """A data centre gets no new flows for a while."""
    name = world.random.choice(tuple(world.agents.values())).data_centre
    store = world.store

    def change(names: frozenset[str]) -> None:
        store.revision += 1
        store.evacuations_changed_as_of = store.revision
        store.evacuated = names
        world.read_store_soon()

    change(store.evacuated | {name})
    closed_from_s = world.network.now_s + EVACUATION_BOUND_S
    targets = [
        agent.target
        for agent in world.agents.values()
        if agent.data_centre == name
    ]
    for target in targets:
        target.closed_from_s = closed_from_s

    def end() -> None:
        for target in targets:
            target.closed_from_s = 0.0
        change(store.evacuated - {name})

    _later(world, plan.for_s, end)


@faults.register('cut')
def cut_nodes(world: World, plan: FaultPlan) -> None:
    """Some agents are cut off from all other nodes."""
    for agent in _some_agents(world, plan):
        world.cut_off.add(agent.ip)
        _harm(world, agent, plan.for_s)
        _later(world, plan.for_s, partial(world.cut_off.discard, agent.ip))
    for balancer in world.balancers.values():
        _harm(world, balancer, plan.for_s)


@faults.register('loss')
def lose_packets(world: World, plan: FaultPlan) -> None:
    """All links lose `factor` percent of their packets."""
    world.loss_share = plan.factor / 100
    for node in (*world.agents.values(), *world.balancers.values()):
        _harm(world, node, plan.for_s)

    def heal() -> None:
        world.loss_share = world.plan.loss_share

    _later(world, plan.for_s, heal)


@faults.register('burst')
def burst(world: World, plan: FaultPlan) -> None:
    """All clients send `factor` times as many requests."""
    for clients in world.clients.values():
        clients.surge = plan.factor

    def end() -> None:
        for clients in world.clients.values():
            clients.surge = 1.0

    _later(world, plan.for_s, end)
