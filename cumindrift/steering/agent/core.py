"""The agent's decisions on which packets its target receives, without I/O."""

from collections.abc import Callable

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.metric import (
    FOREIGN_HEARTBEATS,
    OPEN_HOPS,
    OPEN_SECONDS,
    RESPONSE_SECONDS,
)
from cumindrift.steering.agent.coordinator import SearchCoordinator
from cumindrift.steering.agent.crash_recovery import CrashRecovery
from cumindrift.steering.agent.flow import Flow
from cumindrift.steering.agent.heartbeat import Heartbeat
from cumindrift.steering.agent.holder_records import HolderRecords
from cumindrift.steering.agent.liveness import LivenessMonitor
from cumindrift.steering.agent.opener import Opener
from cumindrift.steering.agent.prober import Prober
from cumindrift.steering.agent.state import AgentState
from cumindrift.steering.agent.target import HeartbeatEffect, Refusal
from cumindrift.steering.frame import AgentReport, ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket

EXPIRE_PERIOD_S = 5.0
CLEANUP_PERIOD_S = 0.5
# An agent that received no forwarded packet or ping for this long checks that
# the store still holds its entry.
ENTRY_CHECK_AFTER_S = 10.0


@define(slots=True, eq=False, repr=False)
class AgentCore:
    """Decides what happens to each packet of a client and of the target.

    Used by the agent's ports. The target is the authority on the flows it
    holds: a packet that it bounces goes back to the balancer or on to the
    next candidate.
    """

    state: AgentState
    read_packet: Callable[[bytes], FlowPacket | None]
    liveness: LivenessMonitor = field(init=False)
    opener: Opener = field(init=False)
    prober: Prober = field(init=False)
    crash_recovery: CrashRecovery = field(init=False)
    holder_records: HolderRecords = field(init=False)
    coordinator: SearchCoordinator = field(init=False)
    _next_expiry_s: float = 0.0
    _next_cleanup_s: float = 0.0
    _last_frame_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Builds the parts, which share the state."""
        self.liveness = LivenessMonitor(self.state)
        self.opener = Opener(self.state, self.liveness)
        self.prober = Prober(self.state)
        self.crash_recovery = CrashRecovery(self.state)
        self.holder_records = HolderRecords(self.state)
        self.coordinator = SearchCoordinator(self.state, self.holder_records)

    def on_forwarded(self, forwarded: ForwardedPacket, now_s: float) -> None:
        """Handles a client's packet from a balancer or another agent."""
        state = self.state
        self._last_frame_s = now_s
        if state.evacuation.learn(forwarded, now_s):
            state.log_evacuation(forwarded.origin_ip)
        if forwarded.kind is FrameKind.PING:
            state.send_report(forwarded.origin_ip, FrameKind.PONG)
            return
        if forwarded.kind is FrameKind.ENTRY_MISSING:
            state.output.check_entry()
            return
        packet = self.read_packet(forwarded.packet)
        if packet is None:
            state.count_drop(ResultCode.PACKET_MALFORMED)
            return
        state.manifest_version = max(
            state.manifest_version,
            forwarded.manifest_version,
        )
        if forwarded.kind is FrameKind.OPEN:
            self.opener.on_open(forwarded, packet, now_s)
        elif forwarded.kind is FrameKind.DELEGATED_SEARCH:
            self.coordinator.start(forwarded, packet, now_s)
        else:
            self._on_later_packet(forwarded, packet, now_s)

    def on_report(self, ip: str, report: AgentReport, now_s: float) -> None:
        """Handles a report that the agent at `ip` sent about a flow."""
        if report.kind is FrameKind.HOLDER_RECORD:
            self.holder_records.record(report.flow_key, ip, now_s)
        elif report.kind is FrameKind.ABSENT and report.is_authoritative:
            self.coordinator.on_absent(ip, report.flow_key)

    def on_target_packet(self, packet: FlowPacket, now_s: float) -> None:
        """Handles a packet of the target: an answer or a bounced packet."""
        if packet.is_reset and not packet.is_bounced:
            self._on_reset(packet, now_s)
            return
        self.liveness.on_packet()
        if packet.is_bounced:
            if not self.prober.on_bounced(packet):
                self._on_bounced(packet)
            return
        key = packet.flow_key
        flow = self.state.table.flows.get(key)
        if flow is None:
            flow = self.prober.on_answer(packet, now_s)
        if flow is not None:
            self._on_answer(flow, packet, now_s)
        self.state.output.answer(key, packet.octets)

    def on_heartbeat(
        self, heartbeat: Heartbeat, now_s: float
    ) -> HeartbeatEffect:
        """Handles a heartbeat; its content is in effect on return."""
        target = self.state.target
        earlier = target.last_heartbeat
        effect = target.on_heartbeat(heartbeat, now_s)
        self.state.table.work.slots = target.slots
        if effect is HeartbeatEffect.FOREIGN:
            self._refuse_heartbeat(heartbeat)
            return effect
        self.crash_recovery.reset_lost_flows()
        self.state.notify_unserved(now_s)
        if effect is not HeartbeatEffect.SAME:
            self.state.events.note(
                'target-beat',
                target=heartbeat.target_id,
                effect=effect.value,
                service=heartbeat.service,
                is_draining=heartbeat.is_draining,
                cold_s=heartbeat.cold_s,
                sequence=heartbeat.sequence,
                incarnation=heartbeat.incarnation,
                known_incarnation=earlier.incarnation if earlier else 0,
                is_sure=target.knows_all_flows,
            )
        return effect

    def _refuse_heartbeat(self, heartbeat: Heartbeat) -> None:
        FOREIGN_HEARTBEATS.inc()
        self.state.events.note(
            'beat-refused',
            target=heartbeat.target_id,
            service=heartbeat.service,
            address=str(heartbeat.packets),
            incarnation=heartbeat.incarnation,
        )

    def on_deregistered(self, target_id: str) -> None:
        """Handles a target's notice that it is about to end."""
        state = self.state
        is_known = state.target.on_deregistered(target_id)
        state.events.note(
            'target-left',
            target=target_id,
            is_known=is_known,
        )

    def on_target_gone(self, asked_s: float, now_s: float) -> None:
        """Handles a check that found nothing listening at the target's address.

        Resets the flows that were lost with the target's process: those with
        a request in progress, and those without a packet since the check
        started at `asked_s`.
        """
        state = self.state
        self.liveness.on_exit()
        ended = [
            key
            for key, flow in state.table.flows.items()
            if flow.seen_s <= asked_s or state.table.work.is_in_progress(key)
        ]
        state.events.note_urgently(
            'target-gone',
            incarnation=state.target.incarnation,
            flow_count=len(ended),
        )
        for key in ended:
            self._reset_flow(key)

    def on_target_alive(self) -> None:
        """Handles a check that found the target's process listening."""
        state = self.state
        state.events.note(
            'target-listens',
            is_silent=state.target.is_silent,
        )

    def tick(self, now_s: float) -> bool:
        """Runs the timers that are due; True while an answer is pending.

        All input must have been read before.
        """
        self.state.input_age.mark_read()
        waits = [
            self.prober.tick(now_s),
            self.opener.tick(now_s),
            self.liveness.tick(now_s),
        ]
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + CLEANUP_PERIOD_S
            self.state.drop_stale_work(now_s)
            self.coordinator.expire(now_s)
            self.holder_records.tick(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRE_PERIOD_S
            self.state.table.expire(now_s)
            if now_s - self._last_frame_s > ENTRY_CHECK_AFTER_S:
                self.state.output.check_entry()
        return any(waits)

    def _on_later_packet(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        table = self.state.table
        flow = table.flows.get(packet.flow_key)
        if flow is None:
            self.prober.on_unknown_flow(forwarded, packet, now_s)
        elif table.accepts(flow, packet):
            self._on_held_flow(forwarded, flow, packet, now_s)
        else:
            # The client acknowledges the SYN-ACK of another target.
            self.prober.report_absent(forwarded, packet)

    def _on_held_flow(
        self,
        forwarded: ForwardedPacket,
        flow: Flow,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        state = self.state
        if state.target.is_gone:
            self._reset_flow(key, packet)
            return
        is_new_origin = flow.origin_ip != forwarded.origin_ip
        if is_new_origin or forwarded.kind is FrameKind.SEARCH:
            flow.origin_ip = forwarded.origin_ip
            state.send_report(forwarded.origin_ip, FrameKind.HELD, key)
        abandoned = state.table.on_client_packet(flow, packet, now_s)
        if abandoned is not None and abandoned.is_late(now_s):
            state.on_request_failed(now_s)
        if packet.payload_bytes:
            self.liveness.on_data(now_s)
        state.output.deliver(packet.octets)

    def _on_bounced(self, packet: FlowPacket) -> None:
        key = packet.flow_key
        state = self.state
        flow = state.table.flows.get(key)
        if flow is None or (packet.is_syn and flow.is_established):
            # A late copy of the SYN does not end the flow.
            return
        state.table.remove(key)
        self.opener.forget(key)
        if packet.is_syn:
            self.opener.on_not_opened(flow, packet, Refusal.FULL)
        elif flow.is_confirmed:
            # The target held the flow and lost it: it restarted or dropped
            # the flow.
            self._end_flow(key, flow, packet, 'bounced')
        else:
            self._return_for_search(key, flow, packet)

    def _return_for_search(
        self, key: bytes, flow: Flow, packet: FlowPacket
    ) -> None:
        """Returns the packet of an unconfirmed flow to the balancer.

        The balancer then searches for the holder.
        """
        self.state.send_report(
            flow.origin_ip,
            FrameKind.RETURNED,
            key,
            packet.octets,
        )

    def _on_reset(self, packet: FlowPacket, now_s: float) -> None:
        """Handles a reset of the target, or of its host's operating system.

        Only the holder of a flow may end it. If no target listens, the host
        resets every packet it gets, including those of flows that other
        targets hold.
        """
        key = packet.flow_key
        state = self.state
        is_unanswered = state.table.work.is_in_progress(key)
        flow = state.table.remove(key)
        self.opener.forget(key)
        state.log_decision(
            'target-reset',
            key,
            is_known=flow is not None,
            is_holder=flow is not None and flow.is_confirmed,
            incarnation=state.target.incarnation,
        )
        if flow is None:
            self.prober.on_reset(key)
        elif flow.is_confirmed:
            state.output.answer(key, packet.octets)
            state.send_report(flow.origin_ip, FrameKind.ENDED, key)
            self.liveness.on_flow_reset(now_s)
            if is_unanswered:
                state.on_request_failed(now_s)
        elif flow.is_assumed:
            self._return_for_search(key, flow, flow.client_packet)
        else:
            self.opener.on_not_opened(flow, flow.client_packet, Refusal.GONE)

    def _on_answer(
        self,
        flow: Flow,
        packet: FlowPacket,
        now_s: float,
    ) -> None:
        key = packet.flow_key
        state = self.state
        opening = flow.opening
        flow.is_assumed = False
        taken_s = state.table.on_target_packet(flow, packet, now_s)
        if taken_s is not None:
            RESPONSE_SECONDS.labels(state.service).observe(taken_s)
            state.on_request_answered(now_s)
        if packet.is_syn_ack:
            self.opener.forget(key)
            state.send_report(flow.origin_ip, FrameKind.HELD, key)
            if opening is not None:
                self.holder_records.on_opened(key, flow, now_s)
                self._observe_open(key, flow, opening, now_s)

    def _observe_open(
        self,
        key: bytes,
        flow: Flow,
        opening: ForwardedPacket,
        now_s: float,
    ) -> None:
        state = self.state
        table = state.table
        OPEN_HOPS.labels(state.service).observe(opening.hop_count)
        OPEN_SECONDS.labels(state.service).observe(now_s - flow.opened_s)
        state.log_decision(
            'flow-opened',
            key,
            origin=opening.origin_ip,
            hops=opening.hop_count,
            manifest=opening.manifest_version,
            evacuations=opening.evacuations.as_of,
            flows=table.open_count,
            busy=table.work.count,
            response_ms=table.work.response_ms(now_s),
            beat_age_s=state.heartbeat_age_s(),
            code=int(ResultCode.DONE),
        )

    def _reset_flow(self, key: bytes, packet: FlowPacket | None = None) -> None:
        """Resets a flow whose target is known to have ended."""
        state = self.state
        flow = state.table.remove(key)
        if flow is None:
            return
        self.opener.forget(key)
        last = packet or flow.client_packet
        if flow.is_assumed:
            self._return_for_search(key, flow, last)
        elif flow.is_established and last is not None:
            self._end_flow(key, flow, last, 'target-gone')
        else:
            self.opener.on_not_opened(flow, flow.client_packet, Refusal.GONE)

    def _end_flow(
        self, key: bytes, flow: Flow, last: FlowPacket, reason: str
    ) -> None:
        """Resets the client of a flow that its target has lost.

        A client whose `last` packet was a reset has ended the flow itself.
        """
        state = self.state
        state.log_decision(
            'flow-reset',
            key,
            reason=reason,
            incarnation=state.target.incarnation,
            code=int(ResultCode.FLOW_LOST),
        )
        if not last.is_reset:
            state.output.reset(key, last.acknowledged)
        state.send_report(flow.origin_ip, FrameKind.ENDED, key)
