"""Registry of the faults that a soak injects."""

from collections.abc import Callable
from functools import partial
from random import Random
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from cumindrift.registry import Registry
from lab.soak.topology import DATA_CENTRES, EVACUATE_S, SERVICES

# Long enough for SYNs after the time in which an evacuation takes effect.
OUTDATED_S = EVACUATE_S + 4.0
# How old lists that may be stale are while they lag.
LAG_MIN_S, LAG_MAX_S = EVACUATE_S + 1.0, EVACUATE_S + 3.0

# Faults that are drawn only where nodes judge targets, so that the seeds of
# other runs draw what they always drew.
JUDGED_FAULTS = frozenset(('burst', 'failing', 'slow'))
# Faults that leave room at other targets, and all reports.
HARMLESS_FAULTS = frozenset(('burst', 'failing'))
# At most one of this many targets fails, so that the others have room.
FAILING_DIVISOR = 4
# How many times as fast clients open flows in a burst.
BURST_FACTOR = 3
# How late a slow target answers: within the client's time limit of 8 s, partly
# beyond the target latency of 0.5 s and the time limit of 2 s of the route.
SLOW_MIN_S, SLOW_MAX_S = 0.2, 2.5

# A fault takes the harness and its random generator and starts. It returns
# pairs of a delay in seconds and the function that then ends it, or no pairs
# if nothing has to be ended.
ScheduledEnds = tuple[tuple[float, Callable[[], None]], ...]
Fault = Callable[[Any, Random], ScheduledEnds]
faults: Registry[Fault] = Registry('fault')


def choose_node(harness: Any, random: Random) -> Any:
    """Returns a random node."""
    return random.choice(harness.cluster.nodes)


@faults.register('kill')
def kill_node(harness: Any, random: Random) -> ScheduledEnds:
    """Kills one node."""
    harness.cluster.signal(choose_node(harness, random), SIGKILL)
    return ()


@faults.register('kill-many')
def kill_many(harness: Any, random: Random) -> ScheduledEnds:
    """Kills half of the nodes at once."""
    nodes = harness.cluster.nodes
    for node in random.sample(nodes, len(nodes) // 2):
        harness.cluster.signal(node, SIGKILL)
    return ()


@faults.register('stop')
def stop_node(harness: Any, random: Random) -> ScheduledEnds:
    """Shuts one node down gracefully."""
    harness.cluster.signal(choose_node(harness, random), SIGTERM)
    return ()


@faults.register('roll')
def roll_balancers(harness: Any, random: Random) -> ScheduledEnds:
    """Shuts two balancers down gracefully, the second 2.5 s later."""
    balancers = [
        node for node in harness.cluster.nodes if node.role == 'balancer'
    ]
    first, second = random.sample(balancers, 2)
    harness.cluster.signal(first, SIGTERM)
    return ((2.5, partial(harness.cluster.signal, second, SIGTERM)),)


@faults.register('pause')
def pause_node(harness: Any, random: Random) -> ScheduledEnds:
    """Suspends one node's process for a while."""
    node = choose_node(harness, random)
    harness.cluster.signal(node, SIGSTOP)
    resume = partial(harness.cluster.signal, node, SIGCONT)
    return ((random.uniform(0.3, 4.0), resume),)


@faults.register('hang-up')
def signal_hangup(harness: Any, random: Random) -> ScheduledEnds:
    """Sends SIGHUP to a node: its settings may have changed."""
    harness.cluster.signal(choose_node(harness, random), SIGHUP)
    return ()


@faults.register('crash')
def crash_target(harness: Any, random: Random) -> ScheduledEnds:
    """Crashes a target, which restarts, sometimes with its clock set back."""
    target = random.choice(harness.targets)
    if not target.is_running:
        return ()
    target.crash()
    target.clock_step_s = random.choice((0.0, 0.0, -2.5))
    return ((random.uniform(0.2, 2.0), target.start_target),)


@faults.register('drain')
def drain_target(harness: Any, random: Random) -> ScheduledEnds:
    """Drains a target, which restarts later."""
    target = random.choice(harness.targets)
    if not target.is_running or target.is_draining:
        return ()
    target.is_draining = True

    def restart() -> None:
        target.crash()
        target.start_target()

    return ((random.uniform(5.0, 8.0), restart),)


@faults.register('burst')
def burst(harness: Any, random: Random) -> ScheduledEnds:
    """Makes clients open flows BURST_FACTOR times as fast for a while."""
    for client in harness.clients:
        client.surge = BURST_FACTOR

    def end() -> None:
        for client in harness.clients:
            client.surge = 1

    return ((random.uniform(2.0, 5.0), end),)


@faults.register('slow')
def slow_target(harness: Any, random: Random) -> ScheduledEnds:
    """Makes a target answer late for a while."""
    target = random.choice(harness.targets)
    target.delay_s = random.uniform(SLOW_MIN_S, SLOW_MAX_S)

    return ((random.uniform(2.0, 6.0), target.end_delay),)


@faults.register('failing')
def fail_target(harness: Any, random: Random) -> ScheduledEnds:
    """Makes a target accept flows and reset them when data comes."""
    target = random.choice(harness.routed_targets())
    failing = [each for each in harness.targets if each.failing_since_s]
    is_full = len(failing) >= len(harness.targets) // FAILING_DIVISOR
    if is_full or target in failing or not target.is_running:
        return ()
    target.begin_failing()
    return ((random.uniform(6.0, 10.0), target.end_failing),)


@faults.register('store')
def degrade_store(harness: Any, random: Random) -> ScheduledEnds:
    """Makes the store unavailable, busy, slow or lossy for a while."""
    harness.store.mode = random.choice(('down', 'busy', 'slow', 'lossy'))

    def restore() -> None:
        harness.store.mode = 'well'

    return ((random.uniform(0.5, 5.0), restore),)


@faults.register('compact')
def compact_store(harness: Any, random: Random) -> ScheduledEnds:
    """Makes the store compact its history."""
    harness.store.compact()
    return ()


@faults.register('proxy')
def degrade_proxy(harness: Any, random: Random) -> ScheduledEnds:
    """Blocks or delays traffic between a node and the store for a while."""
    proxy = random.choice(harness.proxies)
    proxy.mode = random.choice(('silent', 'one-way', 'delayed'))

    def restore() -> None:
        proxy.mode = 'well'
        proxy.reset_all()

    return ((random.uniform(0.5, 6.0), restore),)


@faults.register('reset')
def reset_connections(harness: Any, random: Random) -> ScheduledEnds:
    """Resets the connections of some nodes to the store."""
    for proxy in random.sample(harness.proxies, len(harness.proxies) // 2):
        proxy.reset_all()
    return ()


@faults.register('manifest')
def change_manifest(harness: Any, random: Random) -> ScheduledEnds:
    """Routes the service address to a random service."""
    harness.put_manifest(random.choice(SERVICES))
    return ()


@faults.register('evacuate')
def evacuate(harness: Any, random: Random) -> ScheduledEnds:
    """Evacuates a data centre for a while."""
    name = random.choice(DATA_CENTRES)
    if harness.evacuate(name):
        return (
            (random.uniform(5.5, 8.0), partial(harness.end_evacuation, name)),
        )
    return ()


@faults.register('outdated')
def outdate_balancers(harness: Any, random: Random) -> ScheduledEnds:
    """Evacuates a data centre while half of the balancers cannot read it.

    The store refuses them, is silent to them, or is silent on the connections
    that are open, while it serves all other nodes.
    """
    if harness.is_evacuating:
        # Another one would leave no balancer that can read the evacuation.
        return ()
    name = random.choice(DATA_CENTRES)
    proxies = harness.balancer_proxies()
    outdated = random.sample(proxies, len(proxies) // 2)
    mode = random.choice(('refusing', 'silent', 'muted'))
    for proxy in outdated:
        if mode == 'muted':
            proxy.mute_all()
        else:
            proxy.mode = mode
    harness.evacuate(name)

    def restore() -> None:
        harness.end_evacuation(name)
        for proxy in outdated:
            proxy.mode = 'well'
            proxy.reset_all()

    return ((OUTDATED_S, restore),)


@faults.register('mute')
def mute_watches(harness: Any, random: Random) -> ScheduledEnds:
    """Evacuates a data centre when all balancers' watches have been lost.

    Their connections to the store stay alive, but nothing passes them any
    more; new connections work.
    """
    if harness.is_evacuating:
        return ()
    name = random.choice(DATA_CENTRES)
    for proxy in harness.balancer_proxies():
        proxy.mute_all()
    harness.evacuate(name)
    return ((OUTDATED_S, lambda: harness.end_evacuation(name)),)


@faults.register('unheard')
def mute_before_manifest(harness: Any, random: Random) -> ScheduledEnds:
    """Changes the manifest when all balancers' watches have been lost.

    Like `mute`; only while no other fault excuses a balancer that does not
    know the manifest.
    """
    if not harness.is_calm:
        return ()
    others = [name for name in SERVICES if name != harness.routed_service]
    for proxy in harness.balancer_proxies():
        proxy.mute_all()
    harness.put_manifest(random.choice(others))
    harness.expect_manifest()
    return ((OUTDATED_S, harness.excuse_manifests),)


@faults.register('lag')
def lag_lists(harness: Any, random: Random) -> ScheduledEnds:
    """Does the same as `mute` while lists that may be stale are old.

    Such a list lacks the evacuation for longer than that may take to be in
    force.
    """
    if harness.is_evacuating:
        return ()
    harness.store.stale_s = random.uniform(LAG_MIN_S, LAG_MAX_S)

    def restore() -> None:
        harness.store.stale_s = 0.0

    return (*mute_watches(harness, random), (OUTDATED_S, restore))


@faults.register('loss')
def lose_packets(harness: Any, random: Random) -> ScheduledEnds:
    """Drops some packets between clients and balancers."""
    harness.fabric.loss_probability = random.uniform(0.02, 0.2)

    def restore() -> None:
        harness.fabric.loss_probability = 0.0

    return ((random.uniform(1.0, 4.0), restore),)
