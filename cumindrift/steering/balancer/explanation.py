"""Explains where a balancer would send a SYN now, without sending it.

Imported on first use, since a node needs it only when somebody asks.
"""

from copy import copy
from enum import StrEnum, unique
from random import Random

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.fleet.copy_version import NOT_READ, CopyVersion
from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import (
    RequestLimits,
    WeightedService,
    fractions_of,
)
from cumindrift.steering.balancer.cost import NewFlow
from cumindrift.steering.balancer.load import (
    AgentLoad,
)
from cumindrift.steering.balancer.open_queue import OpenQueue
from cumindrift.steering.balancer.placer import (
    FIRST_TRIES_MAX,
    Placer,
    wait_budget_s,
)
from cumindrift.steering.balancer.ranking import COST_SPREAD

_RANK_AVOIDED = 1
_RANK_SILENT = 2
_DECIMALS = 3
_COST_DECIMALS = 1


@unique
class Obstacle(StrEnum):
    """Why no agent would be offered a SYN."""

    NO_ROUTE = 'no-route'
    DIRECTORY_INCOMPLETE = 'directory-incomplete'
    EVACUATIONS_UNKNOWN = 'evacuations-unknown'
    # At least one service that gets new flows has no agents.
    NO_AGENT = 'no-agent'


@unique
class FlowState(StrEnum):
    """What a balancer knows of the flow that a SYN belongs to."""

    NEW = 'new'
    # An agent holds the flow, and a copy of its SYN follows there.
    OPEN = 'open'
    # The SYN waits in the queue.
    WAITING = 'waiting'
    # An agent has yet to answer the SYN.
    SENT = 'sent'


@unique
class RankReason(StrEnum):
    """Why an agent ranks after others of the same cost."""

    SILENT = 'silent'
    AVOIDED = 'avoided'
    # The penalty of the ejection is part of the agent's cost.
    EJECTED = 'ejected'


@define(frozen=True, slots=True, eq=False, repr=False)
class CopyAge:
    """The version of a copy of store objects; None before it is read."""

    version: int | None
    age_s: float | None


@define(frozen=True, slots=True, eq=False, repr=False)
class KnownFlow:
    """What is known of the client's flow; `agent_ip` is empty for most."""

    state: FlowState
    agent_ip: str = ''


@define(frozen=True, slots=True, eq=False, repr=False)
class RankedAgent:
    """One agent, with the inputs of its rank; None without a report.

    `cost_ms` is the estimate without the random part.
    """

    agent: str
    ip: str
    data_centre: str
    is_own_data_centre: bool
    cost_ms: float
    flow_count: int | None
    sent_count: int
    busy_count: int | None
    slots: int | None
    response_ms: int | None
    report_age_s: float | None
    penalty_percent: float
    reasons: tuple[RankReason, ...]


@define(frozen=True, slots=True, eq=False, repr=False)
class QueueState:
    """The SYNs of a service that wait, and how a further one would fare.

    Attributes:
        waiting_count: SYNs that wait.
        tried_count: SYNs of the queue that agents have yet to answer.
        tried_max: How many SYNs of the queue may be tried at once.
        must_wait: Whether others are served before a new SYN.
        is_overloaded: Whether SYNs at least as urgent as the route's arrive
            more than twice as fast as flows open.
        refuses_early: Whether SYNs of an overloaded service are refused
            before their wait budget ends.
        hold_s: How long a SYN that finds no room is held before its refusal.
    """

    waiting_count: int
    tried_count: int
    tried_max: int
    must_wait: bool
    is_overloaded: bool
    refuses_early: bool
    hold_s: float


@define(frozen=True, slots=True, eq=False, repr=False)
class ServicePlacement:
    """The agents of one service in the order in which they get a SYN.

    Attributes:
        service: The name of the service.
        fraction: The fraction of the route's new flows that it gets.
        is_forced: Whether agents accept a SYN despite an ejection.
        evacuated_count: Agents left out, since their data centre is evacuated.
        agents: The others, best first.
        queue: The SYNs that wait for these agents.
    """

    service: str
    fraction: float
    is_forced: bool
    evacuated_count: int
    agents: tuple[RankedAgent, ...]
    queue: QueueState


@define(frozen=True, slots=True, eq=False, repr=False)
class PlacementExplanation:
    """Where a SYN of a flow would go, and by which inputs.

    Attributes:
        data_centre: The balancer's data centre.
        obstacles: Why no agent would be offered the SYN; empty if one would.
        flow: What is known of the flow already.
        limits: The limits of the route; None without a route.
        services: The services of the route.
        manifest: The copy of the manifest that decides.
        evacuations: The copy of the evacuations that decides.
        evacuated: The evacuated data centres, sorted.
        has_outdated_evacuations: Whether others know of a newer change.
        tries_max: How many agents get a new SYN before it waits.
        cost_spread_percent: The most that chance adds to a cost.
    """

    data_centre: str
    obstacles: tuple[Obstacle, ...]
    flow: KnownFlow
    limits: RequestLimits | None
    services: tuple[ServicePlacement, ...]
    manifest: CopyAge
    evacuations: CopyAge
    evacuated: tuple[str, ...]
    has_outdated_evacuations: bool
    tries_max: int = FIRST_TRIES_MAX
    cost_spread_percent: float = COST_SPREAD * 100


@define(slots=True, eq=False, repr=False)
class PlacementExplainer:
    """Asks the functions that place a SYN, on a copy of the randomness."""

    placer: Placer
    now_s: float

    def explain(self, key: bytes) -> PlacementExplanation:
        """Returns where a SYN of a flow key would go now."""
        state = self.placer.state
        directory = state.directory
        manifest = directory.manifest
        address = self.placer.service_endpoint(key)
        shares = manifest.services_at(address)
        services = self._services(shares, address)
        return PlacementExplanation(
            state.data_centre,
            self._obstacles(services),
            self._known_flow(key),
            manifest.limits_at(address) if shares else None,
            services,
            self._copy_age(directory.manifest_copy_version, manifest.version),
            self._copy_age(
                directory.evacuations_version,
                directory.evacuations_version.as_of,
            ),
            tuple(sorted(directory.evacuated)),
            directory.has_outdated_evacuations,
        )

    def _obstacles(
        self, services: tuple[ServicePlacement, ...]
    ) -> tuple[Obstacle, ...]:
        directory = self.placer.state.directory
        has_gap = any(each.fraction and not each.agents for each in services)
        found = {
            Obstacle.NO_ROUTE: not services,
            Obstacle.DIRECTORY_INCOMPLETE: not directory.is_complete,
            Obstacle.EVACUATIONS_UNKNOWN: not directory.has_evacuations,
            Obstacle.NO_AGENT: has_gap and directory.has_evacuations,
        }
        return tuple(obstacle for obstacle, holds in found.items() if holds)

    def _known_flow(self, key: bytes) -> KnownFlow:
        placer = self.placer
        hint = placer.hint_of_attempt(key, self.now_s)
        if hint is None:
            return KnownFlow(FlowState.NEW)
        is_silent = placer.agent_monitor.is_silent(hint.agent_ip)
        if hint.is_confirmed and not is_silent:
            return KnownFlow(FlowState.OPEN, hint.agent_ip)
        if hint.opening is None:
            return KnownFlow(FlowState.NEW)
        queue = placer.queues.get(hint.service)
        if queue is not None and queue.holds(key):
            return KnownFlow(FlowState.WAITING)
        return KnownFlow(FlowState.SENT, hint.agent_ip)

    def _services(
        self, shares: tuple[WeightedService, ...], address: Endpoint
    ) -> tuple[ServicePlacement, ...]:
        limits = self.placer.state.directory.manifest.limits_at(address)
        draws = copy(self.placer.random)
        # The first draw of a new flow chooses its service.
        draws.random()
        fractions = fractions_of(shares)
        return tuple(
            self._service(share.service, fraction, copy(draws), limits)
            for share, fraction in zip(shares, fractions, strict=True)
        )

    def _service(
        self,
        service: str,
        fraction: float,
        random: Random,
        limits: RequestLimits,
    ) -> ServicePlacement:
        directory = self.placer.state.directory
        ranking = self.placer.ranking
        flow = ranking.new_flow(service, limits)
        ordered = ranking.order(flow, (), random, self.now_s)
        evacuated_count = sum(
            entry.service == service and entry.ip in directory.evacuated_ips
            for entry in directory.agents.values()
        )
        return ServicePlacement(
            service,
            fraction,
            ranking.is_forced(service, self.now_s),
            evacuated_count,
            tuple(self._agent(entry, flow) for entry in ordered),
            self._queue(service, limits),
        )

    def _agent(self, entry: AgentEntry, flow: NewFlow) -> RankedAgent:
        data_centre = self.placer.state.data_centre
        loads = self.placer.agent_monitor.loads
        load = loads.get(entry.ip) or AgentLoad()
        report = load.last_report if load.reported_s else None
        age_s = self.now_s - load.reported_s
        cost_ms = self.placer.ranking.cost_ms(entry, flow, self.now_s)
        return RankedAgent(
            entry.name,
            entry.ip,
            entry.data_centre,
            entry.data_centre == data_centre,
            round(cost_ms, _COST_DECIMALS),
            report.flow_count if report else None,
            load.sent_count,
            report.busy_count if report else None,
            report.slots if report else None,
            report.response_ms if report else None,
            round(age_s, _DECIMALS) if report else None,
            round(load.penalty_percent(self.now_s), _COST_DECIMALS),
            self._reasons(entry, load),
        )

    def _reasons(
        self, entry: AgentEntry, load: AgentLoad
    ) -> tuple[RankReason, ...]:
        monitor = self.placer.agent_monitor
        rank = monitor.unavailability_rank(entry, self.now_s)
        found = {
            RankReason.SILENT: rank == _RANK_SILENT,
            RankReason.AVOIDED: rank == _RANK_AVOIDED,
            RankReason.EJECTED: load.is_ejected(self.now_s),
        }
        return tuple(reason for reason, holds in found.items() if holds)

    def _queue(self, service: str, limits: RequestLimits) -> QueueState:
        placer = self.placer
        queue = placer.queues.get(service) or OpenQueue(service)
        refuses_early = placer.state.judges_targets
        hold_s = wait_budget_s(limits)
        held_s = queue.outlook.held_s(limits, self.now_s)
        if refuses_early and held_s is not None:
            hold_s = min(hold_s, held_s)
        return QueueState(
            queue.waiting_count,
            queue.tried_count,
            queue.window,
            placer.must_wait(queue, limits),
            queue.outlook.is_overloaded(limits.priority, self.now_s),
            refuses_early,
            round(hold_s, _DECIMALS),
        )

    def _copy_age(self, copied: CopyVersion, version: int) -> CopyAge:
        if copied.as_of == NOT_READ:
            return CopyAge(None, None)
        return CopyAge(version, copied.age_s(self.now_s))
