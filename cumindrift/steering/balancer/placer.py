"""New flows at a balancer: sends each SYN to one agent after another."""

from collections.abc import Callable
from copy import copy
from random import Random

from attrs import Factory, define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import RequestLimits, pick_service
from cumindrift.metric import EARLY_REFUSALS
from cumindrift.steering.balancer.agent_monitor import AgentMonitor
from cumindrift.steering.balancer.fair_share import ClientShares
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.load import CANDIDATES_MAX
from cumindrift.steering.balancer.open_queue import OpenQueue, queue_orders
from cumindrift.steering.balancer.ranking import AgentRanking
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import ForwardedPacket, FrameKind, service_digest
from cumindrift.steering.packet import (
    CLIENT_ADDRESS,
    FlowPacket,
    expected_syn_count,
)

# A live agent answers a SYN within this time, in whatever data centre it is.
AGENT_TIMEOUT_S = 0.06
# A SYN is refused after this time, or earlier if too little of its client's
# time limit is left. The client gives the attempt up a little later.
OPEN_WAIT_MAX_S = 1.0
# SYNs that wait for room are tried again after this time, or as soon as one of
# them has found room.
OPEN_RETRY_S = 0.1
# A SYN waits after this many agents have refused it, and after this many when
# it is tried again.
FIRST_TRIES_MAX = 2 * CANDIDATES_MAX
QUEUED_TRIES_MAX = CANDIDATES_MAX


def wait_budget_s(limits: RequestLimits) -> float:
    """Returns how long a SYN may wait before it is refused."""
    return min(limits.open_budget_s, OPEN_WAIT_MAX_S)


@define(slots=True, eq=False, repr=False)
class Placer:
    """Sends each SYN to one agent after the other until one takes it."""

    state: BalancerState
    agent_monitor: AgentMonitor
    service_endpoint: Callable[[bytes], Endpoint]
    random: Random = field(factory=Random)
    ranking: AgentRanking = field(
        default=Factory(
            lambda placer: AgentRanking(placer.state, placer.agent_monitor),
            takes_self=True,
        )
    )
    # Hints of the flows whose SYN waits for an agent's answer.
    waiting: dict[bytes, Hint] = field(factory=dict)
    # The SYNs that wait for room, by service.
    queues: dict[str, OpenQueue] = field(factory=dict)
    # Counts of SYNs by service and client; empty unless targets are judged.
    shares: ClientShares = field(
        default=Factory(
            lambda placer: ClientShares(copy(placer.random)), takes_self=True
        )
    )
    _next_retry_s: float = 0.0

    def on_open(self, packet: FlowPacket, now_s: float) -> None:
        """Handles a SYN or a retransmission of one."""
        key = packet.flow_key
        hint = self.hint_of_attempt(key, now_s)
        if hint is not None and hint.is_confirmed:
            if not self.agent_monitor.is_silent(hint.agent_ip):
                # A retransmitted SYN follows the first.
                hint.seen_s = now_s
                self._forward(packet, hint, ())
                return
            hint.is_confirmed = False
        if hint is not None and hint.opening is not None:
            hint.syn_count += 1
            self._retry(key, hint, now_s)
            return
        hint = Hint('', now_s, opening=packet, first_sent_s=now_s)
        self.state.hints.keep(key, hint)
        self._start(packet, hint, now_s)

    def hint_of_attempt(self, key: bytes, now_s: float) -> Hint | None:
        """Returns the hint of the flow that a SYN may belong to, if any."""
        hint = self.state.hints.get(key)
        if hint is not None and not hint.is_of_attempt(now_s):
            # The port is used again: the new flow may go elsewhere.
            return None
        return hint

    def must_wait(self, queue: OpenQueue, limits: RequestLimits) -> bool:
        """Returns whether others that wait are to be served before a SYN."""
        if self.state.judges_targets:
            return queue.has_waiting_before(limits.priority)
        return queue.has_waiting

    def on_held(self, key: bytes, now_s: float) -> None:
        """Handles the report that an agent holds the flow."""
        hint = self.waiting.pop(key, None)
        queue = self._queue_of(hint)
        if queue is not None:
            queue.outlook.on_opened(now_s)
        if queue is not None and queue.is_tried(key):
            queue.on_opened(key)
            self._retry_queued(queue, now_s)

    def on_open_forwarded(self, ip: str, key: bytes, now_s: float) -> None:
        """Handles the report that an agent forwarded a SYN."""
        hint = self.waiting.get(key)
        if hint is not None:
            # The timeout starts again for the next agent.
            self.agent_monitor.avoid(ip, now_s)
            hint.tried.add(ip)
            hint.sent_s = now_s

    def on_refused(
        self,
        ip: str,
        key: bytes,
        packet: FlowPacket | None,
        now_s: float,
    ) -> None:
        """Tries the remaining agents after all candidates refused."""
        self.agent_monitor.avoid(ip, now_s)
        hint = self.waiting.get(key)
        if hint is None or packet is None:
            return
        hint.tried.add(ip)
        hint.agent_ip = ip
        self._place(packet, hint, now_s)

    def tick(self, now_s: float) -> bool:
        """Runs the timers that are due; True while a SYN is unanswered."""
        for key, hint in list(self.waiting.items()):
            if now_s >= hint.deadline_s:
                self._abandon(key, hint)
            elif now_s - hint.sent_s >= AGENT_TIMEOUT_S:
                self._retry(key, hint, now_s)
        self._tick_queues(now_s)
        has_queued = any(queue.has_waiting for queue in self.queues.values())
        return bool(self.waiting) or has_queued

    def _tick_queues(self, now_s: float) -> None:
        is_retry_due = now_s >= self._next_retry_s
        if is_retry_due:
            self._next_retry_s = now_s + OPEN_RETRY_S
        for queue in self.queues.values():
            self._refuse_expired(queue, now_s)
            if self.state.judges_targets:
                self._refuse_early(queue, now_s)
            if is_retry_due:
                queue.keep_tried(self.waiting)
                self._retry_queued(queue, now_s)

    def _start(self, packet: FlowPacket, hint: Hint, now_s: float) -> None:
        """Chooses the service of a new flow, and places or queues its SYN."""
        endpoint = self.service_endpoint(packet.flow_key)
        manifest = self.state.directory.manifest
        shares = manifest.services_at(endpoint)
        if not shares:
            self._refuse(packet, ResultCode.PACKET_NO_SERVICE)
            return
        draw = self.random.random()
        hint.service = pick_service(shares, draw) or shares[0].service
        hint.limits = manifest.limits_at(endpoint)
        hint.deadline_s = now_s + wait_budget_s(hint.limits)
        queue = self._queue_for(hint.service)
        if self.state.judges_targets:
            client = packet.flow_key[CLIENT_ADDRESS]
            hint.is_share_exceeded = self.shares.on_arrived(
                hint.service, hint.limits, client, now_s
            )
        queue.outlook.on_arrived(hint.limits, now_s)
        if not self.must_wait(queue, hint.limits):
            self._place(packet, hint, now_s)
            return
        # Others wait already: their order decides, not who comes now.
        self._enqueue(packet, hint)
        self._retry_queued(queue, now_s)

    def _queue_for(self, service: str) -> OpenQueue:
        """Returns the queue of a service, created on first use."""
        queue = self.queues.get(service)
        if queue is None:
            is_by_value = self.state.judges_targets
            order = 'by-value' if is_by_value else 'urgent-first'
            queue = OpenQueue(service, queue_orders.get(order))
            self.queues[service] = queue
        return queue

    def _place(self, packet: FlowPacket, hint: Hint, now_s: float) -> None:
        """Sends a SYN to the best agent that has not got it yet."""
        key = packet.flow_key
        manifest = self.state.directory.manifest
        if not manifest.services_at(self.service_endpoint(key)):
            self._refuse(packet, ResultCode.PACKET_NO_SERVICE)
            return
        queue = self._queue_of(hint)
        is_queued = queue is not None and queue.is_tried(key)
        tries_max = QUEUED_TRIES_MAX if is_queued else FIRST_TRIES_MAX
        flow = self.ranking.new_flow(hint.service, hint.limits)
        agents = self.ranking.order(flow, hint.tried, self.random, now_s)
        if agents and len(hint.tried) < tries_max:
            self._send(packet, hint, agents, now_s)
        else:
            self._enqueue(packet, hint)

    def _send(
        self,
        packet: FlowPacket,
        hint: Hint,
        agents: list[AgentEntry],
        now_s: float,
    ) -> None:
        """Sends a SYN to the first of some agents; names some of the others."""
        first = agents[0]
        hint.agent_ip = first.ip
        hint.sent_s = now_s
        hint.seen_s = now_s
        hint.tried.add(first.ip)
        self.waiting[packet.flow_key] = hint
        load = self.agent_monitor.load_of(first.ip)
        flow = self.ranking.new_flow(hint.service, hint.limits)
        directory = self.state.directory
        evacuations = directory.evacuations_version
        self.state.log_decision(
            'open-sent',
            packet.flow_key,
            service=hint.service,
            agent=first.name,
            tried=len(hint.tried),
            manifest=directory.manifest.version,
            manifest_age_s=directory.manifest_copy_version.age_s(now_s),
            cost=round(self.ranking.cost_ms(first, flow, now_s), 1),
            load_age_s=round(now_s - load.reported_s, 3),
            waited_s=round(now_s - hint.first_sent_s, 3),
            evacuations=evacuations.as_of,
            evacuations_age_s=evacuations.age_s(now_s),
        )
        load.sent_count += 1
        others = tuple(entry.ip for entry in agents[1:CANDIDATES_MAX])
        self._forward(packet, hint, others)

    def _queue_of(self, hint: Hint | None) -> OpenQueue | None:
        return self.queues.get(hint.service) if hint else None

    def _enqueue(self, packet: FlowPacket, hint: Hint) -> None:
        """Has a SYN wait that no agent can take now.

        Targets that restart or drain are available again or replaced within
        moments, and a balancer that starts reads the store within moments. At
        its deadline, the SYN is refused.
        """
        key = packet.flow_key
        queue = self.queues[hint.service]
        queue.on_refused(key)
        self.waiting.pop(key, None)
        hint.tried.clear()
        hint.agent_ip = ''
        evicted = self.state.hints.get(queue.add(key, hint) or b'')
        if evicted is not None:
            self._give_up(evicted)

    def _retry_queued(self, queue: OpenQueue, now_s: float) -> None:
        """Tries the next waiting SYNs of a service, as the window allows."""
        if not self.state.directory.is_complete:
            return
        for _ in range(queue.window):
            key = queue.take_next()
            if key is None:
                return
            hint = self.state.hints.get(key)
            if hint is None or hint.opening is None:
                queue.drop(key)
            else:
                self._place(hint.opening, hint, now_s)

    def _refuse_expired(self, queue: OpenQueue, now_s: float) -> None:
        for key in queue.expired(now_s):
            queue.drop(key)
            hint = self.state.hints.get(key)
            if hint is not None:
                self._give_up(hint)

    def _refuse_early(self, queue: OpenQueue, now_s: float) -> None:
        """Refuses the SYNs that are overtaken by others until they are late."""
        queue.outlook.update(now_s)
        late = queue.held_too_long(now_s)
        queue.outlook.note_change(
            self.state.events.note_urgently,
            queue.service,
            now_s,
            is_refusing=bool(late),
        )
        for key in late:
            hint = self.state.hints.get(key)
            if hint is None or hint.opening is None:
                queue.drop(key)
                continue
            priority = str(hint.limits.priority)
            EARLY_REFUSALS.labels(queue.service, priority).inc()
            self._give_up(hint)

    def _give_up(self, hint: Hint) -> None:
        """Refuses a SYN that waits, unless it may be open by another way.

        If a copy of it did not come here, routers send the flow to another
        balancer by now, and a target may have taken it there. The client of
        an open flow must not be reset, so it is left to its timeout.
        """
        packet = hint.opening
        if packet is None:
            return
        key = packet.flow_key
        waited_s = self._waited_s(hint)
        if hint.syn_count >= expected_syn_count(waited_s):
            self._refuse(packet, ResultCode.NO_ROOM)
            return
        self._queue_of(hint).drop(key)
        self.state.hints.drop(key)
        self.state.log_decision(
            'open-left', key, waited_s=round(waited_s, 3), syns=hint.syn_count
        )

    def _abandon(self, key: bytes, hint: Hint) -> None:
        """Gives a SYN up that an agent has not answered.

        The client is not reset: the agent may still deliver the SYN.
        """
        self.waiting.pop(key)
        queue = self._queue_of(hint)
        if queue is not None:
            queue.on_refused(key)

    def _refuse(self, packet: FlowPacket, code: ResultCode) -> None:
        """Drops a SYN that cannot be placed, and resets its client.

        The client may retry, since none of its requests has run. No reset is
        sent while the directory is incomplete.
        """
        state = self.state
        key = packet.flow_key
        hint = state.hints.get(key)
        self.waiting.pop(key, None)
        queue = self._queue_of(hint)
        if queue is not None:
            queue.drop(key)
        state.hints.drop(key)
        if not state.directory.is_complete:
            return
        state.log_decision(
            'open-reset',
            key,
            code=int(code),
            reason=code.name,
            waited_s=round(self._waited_s(hint), 3),
            manifest=state.directory.manifest.version,
        )
        state.output.reset(packet.flow_key, packet.acknowledged)

    def _waited_s(self, hint: Hint | None) -> float:
        """Returns how long a SYN has waited; 0 if it never did."""
        return self.state.events.clock() - hint.first_sent_s if hint else 0.0

    def _retry(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Places a SYN again; marks an agent that left it unanswered."""
        queue = self._queue_of(hint)
        if queue is not None and queue.holds(key):
            return
        if hint.agent_ip and now_s - hint.sent_s >= AGENT_TIMEOUT_S:
            self.agent_monitor.on_unanswered(hint.agent_ip, key, now_s)
        if hint.opening is not None:
            self._place(hint.opening, hint, now_s)

    def _forward(
        self,
        packet: FlowPacket,
        hint: Hint,
        candidate_ips: tuple[str, ...],
    ) -> None:
        manifest = self.state.directory.manifest
        forwarded = ForwardedPacket(
            FrameKind.OPEN,
            self.state.ip,
            packet.octets,
            manifest_version=manifest.version,
            service_digest=service_digest(hint.service),
            cold_rate=manifest.cold_rates.get(hint.service, 0.0),
            candidate_ips=candidate_ips,
            keeper_ips=self.state.directory.keepers_of(packet.flow_key),
            limits=hint.limits,
            is_forced=self.ranking.is_forced(
                hint.service, self.state.events.clock()
            ),
        )
        self.state.forward(hint.agent_ip, forwarded)
