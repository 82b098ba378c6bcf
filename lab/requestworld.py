"""Simulates the agents and callers of one service in virtual time."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.budget import RetryBudget
from cumindrift.caller.message import Request
from cumindrift.caller.service import ServiceCaller
from cumindrift.caller.session import OutcomeCallback, Session, make_request
from lab.network import VirtualNetwork
from lab.requestagent import AGENT_TICK_S, Datagram, GroundTruth, VirtualAgent
from standin.model import WorkModel

SESSION_TICK_S = 0.05
PORT = 7000
LATE_COPY_MAX_S = 6.0


@define(slots=True, eq=False)
class VirtualFlow:
    """A caller's flow, whose packets the simulation steers to an agent."""

    endpoint: Endpoint
    simulation: 'RequestSimulation'
    session: Session
    is_finished: bool = False

    @property
    def retry_after_s(self) -> float:
        """The delay before a retry that the agent asked for."""
        return self.session.retry_after_s

    @property
    def is_refused(self) -> bool:
        """Whether the flow was refused."""
        return self.session.refusal is not None

    def request(self, request: Request, timeout_s: float) -> None:
        """Starts a request."""
        now_s = self.simulation.network.now_s
        self._send(self.session.request(request, now_s + timeout_s, now_s))

    def cancel(self, request_id: bytes) -> None:
        """Cancels a request."""
        self._send(self.session.cancel(request_id))

    def finish(self) -> None:
        """Marks the flow to be closed at the next tick."""
        self.is_finished = True

    def receive(self, datagram: Datagram, now_s: float) -> None:
        """Handles a datagram from an agent."""
        self._send(self.session.receive(datagram.payload, now_s))

    def tick(self) -> None:
        """Retransmits unanswered messages, or closes a finished flow."""
        network = self.simulation.network
        self._send(self.session.tick(network.now_s))
        if self.is_finished:
            self._send(self.session.close())
            network.receivers.pop(self.endpoint, None)
            return
        network.at(network.now_s + SESSION_TICK_S, self.tick)

    def _send(self, payloads: list[bytes]) -> None:
        for payload in payloads:
            self.simulation.steer(self.endpoint, payload)


@define(slots=True, eq=False)
class RequestSimulation:
    """Agents and callers of one service, with faulty packet steering."""

    random: Random
    network: VirtualNetwork
    ground_truth: GroundTruth = field(factory=GroundTruth)
    agents: list[VirtualAgent] = field(factory=list)
    # The share of packets sent to a random agent.
    misrouted_share: float = 0.0
    # The share of packets duplicated with up to LATE_COPY_MAX_S of delay.
    late_copy_share: float = 0.0
    _flow_agents: dict[Endpoint, VirtualAgent] = field(factory=dict)
    _flow_count: int = 0

    def add_agent(
        self,
        model: WorkModel,
        work_s: Callable[[], float],
        **options: Any,
    ) -> VirtualAgent:
        """Adds an agent and its target, and starts them."""
        number = len(self.agents) + 1
        agent = VirtualAgent(
            Endpoint(f'10.0.0.{number}', PORT),
            self.network,
            self.random,
            self.ground_truth,
            model,
            work_s,
            **options,
        )
        self.agents.append(agent)
        self.network.receivers[agent.endpoint] = agent.receive
        self.network.every(AGENT_TICK_S, agent.tick)
        agent.start()
        return agent

    def make_caller(
        self,
        on_outcome: OutcomeCallback,
        budget: RetryBudget,
        attempts_max: int = 3,
    ) -> ServiceCaller:
        """Returns a caller of the service."""
        network = self.network
        return ServiceCaller(
            self.random,
            self.open_flow,
            on_outcome,
            lambda: network.now_s,
            budget,
            attempts_max,
        )

    def open_flow(self, on_outcome: OutcomeCallback) -> VirtualFlow:
        """Opens a flow from an unused address."""
        self._flow_count += 1
        endpoint = Endpoint('10.9.0.1', self._flow_count)
        flow = VirtualFlow(endpoint, self, Session(self.random, on_outcome))
        self.network.receivers[endpoint] = flow.receive
        self.network.at(self.network.now_s, flow.tick)
        return flow

    def steer(self, sender: Endpoint, payload: bytes) -> None:
        """Sends a packet to the agent of its flow, or misroutes it."""
        agent = self._flow_agents.get(sender)
        if agent is None or _is_stopped(agent):
            agent = self.random.choice(self.agents)
            self._flow_agents[sender] = agent
        elif self.random.random() < self.misrouted_share:
            agent = self.random.choice(self.agents)
        datagram = Datagram(sender, payload)
        self.network.send(sender, agent.endpoint, datagram)
        if self.random.random() < self.late_copy_share:
            late_s = self.network.now_s + self.random.random() * LATE_COPY_MAX_S
            self.network.at(
                late_s,
                lambda: self.network.send(sender, agent.endpoint, datagram),
            )

    def make_request(self, size: int) -> Request:
        """Returns a non-idempotent request for a response of `size` bytes."""
        return make_request(self.random, 'POST', str(size))


def _is_stopped(agent: VirtualAgent) -> bool:
    return agent.core is None and not agent.is_handing_over
