"""Changes made during a flow run: targets and balancers join and leave."""

from typing import Any

from attrs import evolve

from cumindrift.membership.member import MemberState
from cumindrift.registry import Registry
from lab.flowworld import DATA_CENTRES, SERVICES, VIEW_DELAY_MAX_S

RETRY_S = 0.3
DEATH_DETECTION_MAX_S = 4.0
RESTART_AFTER_S = 1.0
CENTRE_OUT_S = 15.0
TARGETS_MAX = 10

# Functions that change a `lab.flowrun.FlowRun`.
changes: Registry = Registry('change')


@changes.register('join')
def join(run: Any) -> None:
    """Adds a target to a random service."""
    service = run.random.choice(tuple(SERVICES))
    if len(run.serving_agents(service)) < TARGETS_MAX:
        run.simulation.add_agent(service, run.random.choice(DATA_CENTRES))


@changes.register('leave')
def leave(run: Any) -> None:
    """Drains a target and stops it once it may leave."""
    name = run.pick_to_stop()
    if not name:
        return
    run.start_leaving(name)
    agent = run.simulation.agents[name]

    def try_leave() -> None:
        if run.simulation.agents.get(name) is not agent:
            return
        network = run.simulation.network
        if not agent.finder.may_leave(network.now_s):
            network.at(network.now_s + RETRY_S, try_leave)
            return
        run.counts['left'] += 1
        run.simulation.change_state(name, MemberState.LEFT)
        # Processes use the agent as a record keeper until their views drop it.
        network.at(network.now_s + VIEW_DELAY_MAX_S, stop)

    def stop() -> None:
        if run.simulation.agents.get(name) is agent:
            run.simulation.stop_agent(name)
            run.end_leaving(name)

    try_leave()


@changes.register('death')
def kill_target(run: Any) -> None:
    """Kills a target and its agent; the death is published later."""
    name = run.pick_to_stop()
    if not name:
        return
    run.counts['deaths'] += 1
    run.simulation.stop_agent(name)
    run.end_flows_of(name)
    network = run.simulation.network
    network.at(
        network.now_s + run.random.random() * DEATH_DETECTION_MAX_S,
        lambda: run.simulation.change_state(name, MemberState.DEAD),
    )


@changes.register('restart')
def restart(run: Any) -> None:
    """Restarts an agent with a handover; its target keeps running."""
    name = run.pick_to_stop()
    if not name:
        return
    run.start_leaving(name)
    network = run.simulation.network
    agent = run.simulation.agents[name]
    network.at(
        network.now_s + RESTART_AFTER_S,
        lambda: agent.finder.handover.start(b'ledger'),
    )

    def try_stop() -> None:
        if run.simulation.agents.get(name) is not agent:
            return
        if not agent.finder.handover.is_acknowledged():
            network.at(network.now_s + RETRY_S, try_stop)
            return
        member = agent.member
        run.simulation.stop_agent(name)
        run.simulation.change_state(name, MemberState.LEFT)
        network.at(
            network.now_s + run.random.random() * 2,
            lambda: start(member),
        )

    def start(member) -> None:
        run.counts['restarts'] += 1
        run.end_leaving(name)
        run.simulation.start_agent(
            evolve(member, incarnation=member.incarnation + 1),
        )

    network.at(network.now_s + RESTART_AFTER_S, try_stop)


@changes.register('balancer')
def replace_balancer(run: Any) -> None:
    """Replaces a balancer by a new one, which knows no flows."""
    old = run.simulation.balancers.pop(0)
    run.simulation.network.receivers.pop(old.member.endpoint)
    run.simulation.add_balancer()


@changes.register('centre')
def take_centre_out(run: Any) -> None:
    """Takes a data centre out for CENTRE_OUT_S; its flows are given up."""
    simulation = run.simulation
    if simulation.centres_out or run.random.choice((True, False)):
        return
    centre = run.random.choice(DATA_CENTRES)
    run.counts['centres out'] += 1
    simulation.set_centre(centre, is_out=True)
    run.end_flows_in(centre)
    simulation.network.at(
        simulation.network.now_s + CENTRE_OUT_S,
        lambda: simulation.set_centre(centre, is_out=False),
    )
