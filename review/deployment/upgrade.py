"""Flows that live through a planned restart of all agents."""

from collections.abc import Callable
from threading import Thread
from time import monotonic, sleep

from review.deployment.client import Client, Flow
from review.deployment.target import Target
from review.deployment.world import CONTACT_S, World

FRONTS = ('hel-a', 'hel-a', 'esp-b')
SIDES = (
    ('hel-a', 'kaynti'),
    ('hel-a', 'kaynti'),
    ('esp-b', 'kaynti'),
    ('van-c', 'kaynti'),
)
# As the page of a small site gives it for unsafe requests.
WORK_S = 0.072
FLOWS_WANTED = 40
# The pause between two restarts, as the day trouble-2 has it.
GAP_S = 2.0


def run_all(work: Callable[[Flow], None], flows: list[Flow]) -> None:
    """Does something with all flows at the same time."""
    threads = [Thread(target=work, args=(flow,), daemon=True) for flow in flows]
    for thread in threads:
        thread.start()
        sleep(0.01)
    for thread in threads:
        thread.join()


def open_flows(client: Client, world: World) -> list[Flow]:
    """Opens flows, with two requests each."""
    found = [client.new_flow(world.route) for _ in range(FLOWS_WANTED)]

    def begin(flow: Flow) -> None:
        if flow.open() == 'open':
            flow.request()
            flow.request()

    run_all(begin, found)
    return [flow for flow in found if flow.is_open and flow.reset_s < 0]


def restart_agents(world: World) -> None:
    """Restarts all agents in turn, as planned work does."""
    world.record.note('planned restart of the agents, one at a time')
    due_s = monotonic()
    for node in world.sides:
        sleep(max(due_s - monotonic(), 0.0))
        due_s += GAP_S
        world.restart_node(node)
    sleep(CONTACT_S + 0.2)


def holders_of(flows: list[Flow], targets: list[Target]) -> dict[Flow, Target]:
    """Returns the endpoint of each flow that one of these holds."""
    return {
        flow: target
        for flow in flows
        for target in targets
        if target.holds(flow.key)
    }
