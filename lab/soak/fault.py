"""Faults of a soak, by name: what begins, and how it ends."""

from collections.abc import Callable
from functools import partial
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from cumindrift.registry import Registry
from lab.soak.place import DATA_CENTRES, SERVICES

# A fault takes the world and its random numbers, begins, and returns what
# ends it and after how long; nothing when there is nothing to end.
Ending = tuple[tuple[float, Callable[[], None]], ...]
Fault = Callable[[Any, Random], Ending]
faults: Registry[Fault] = Registry('fault')


def some_node(world: Any, random: Random) -> Any:
    """Returns any node."""
    return random.choice(world.cluster.nodes)


@faults.register('kill')
def kill_node(world: Any, random: Random) -> Ending:
    """Kills one node."""
    world.cluster.signal(some_node(world, random), SIGKILL)
    return ()


@faults.register('kill-many')
def kill_many(world: Any, random: Random) -> Ending:
    """Kills half of the nodes at once."""
    nodes = world.cluster.nodes
    for node in random.sample(nodes, len(nodes) // 2):
        world.cluster.signal(node, SIGKILL)
    return ()


@faults.register('stop')
def stop_node(world: Any, random: Random) -> Ending:
    """Stops one node in order."""
    world.cluster.signal(some_node(world, random), SIGTERM)
    return ()


@faults.register('roll')
def roll_balancers(world: Any, random: Random) -> Ending:
    """Stops two balancers in order, one after the other."""
    balancers = [
        node for node in world.cluster.nodes if node.role == 'balancer'
    ]
    first, second = random.sample(balancers, 2)
    world.cluster.signal(first, SIGTERM)
    return ((2.5, partial(world.cluster.signal, second, SIGTERM)),)


@faults.register('pause')
def pause_node(world: Any, random: Random) -> Ending:
    """Lets one node stand still."""
    node = some_node(world, random)
    world.cluster.signal(node, SIGSTOP)
    wake = partial(world.cluster.signal, node, SIGCONT)
    return ((random.uniform(0.3, 4.0), wake),)


@faults.register('hang-up')
def hang_up(world: Any, random: Random) -> Ending:
    """Tells a node that its settings may have changed."""
    world.cluster.signal(some_node(world, random), SIGHUP)
    return ()


@faults.register('crash')
def crash_target(world: Any, random: Random) -> Ending:
    """Ends a target; it starts again, at times by a clock that is behind."""
    target = random.choice(world.targets)
    if not target.is_running:
        return ()
    target.crash()
    target.clock_step_s = random.choice((0.0, 0.0, -2.5))
    return ((random.uniform(0.2, 2.0), target.start_target),)


@faults.register('drain')
def drain_target(world: Any, random: Random) -> Ending:
    """Drains a target, which ends and starts again later."""
    target = random.choice(world.targets)
    if not target.is_running or target.is_draining:
        return ()
    target.is_draining = True

    def restart() -> None:
        target.crash()
        target.start_target()

    return ((random.uniform(5.0, 8.0), restart),)


@faults.register('store')
def spoil_store(world: Any, random: Random) -> Ending:
    """Lets the store be down, busy, slow or lose answers."""
    world.store.mood = random.choice(('down', 'busy', 'slow', 'lossy'))

    def mend() -> None:
        world.store.mood = 'well'

    return ((random.uniform(0.5, 5.0), mend),)


@faults.register('compact')
def compact_store(world: Any, random: Random) -> Ending:
    """Lets the store forget its history."""
    world.store.compact()
    return ()


@faults.register('proxy')
def spoil_proxy(world: Any, random: Random) -> Ending:
    """Silences, delays or half cuts a node's way to the store."""
    proxy = random.choice(world.proxies)
    proxy.mood = random.choice(('silent', 'one-way', 'delayed'))

    def mend() -> None:
        proxy.mood = 'well'
        proxy.reset_all()

    return ((random.uniform(0.5, 6.0), mend),)


@faults.register('reset')
def reset_connections(world: Any, random: Random) -> Ending:
    """Resets the connections of some nodes to the store."""
    for proxy in random.sample(world.proxies, len(world.proxies) // 2):
        proxy.reset_all()
    return ()


@faults.register('manifest')
def change_manifest(world: Any, random: Random) -> Ending:
    """Sends the address to another service, or to the same again."""
    world.put_manifest(random.choice(SERVICES))
    return ()


@faults.register('evacuate')
def evacuate(world: Any, random: Random) -> Ending:
    """Empties a data centre for a while."""
    name = random.choice(DATA_CENTRES)
    if world.evacuate(name):
        return ((random.uniform(5.5, 8.0), partial(world.take_back, name)),)
    return ()


@faults.register('loss')
def lose_packets(world: Any, random: Random) -> Ending:
    """Loses some of the clients' packets before the balancers."""
    world.fabric.lost_share = random.uniform(0.02, 0.2)

    def mend() -> None:
        world.fabric.lost_share = 0.0

    return ((random.uniform(1.0, 4.0), mend),)
