"""Builds the record of open flows, and resets these after a power loss."""

from attrs import define

from cumindrift.fleet.recorder import FlowRecord
from cumindrift.steering.agent.state import AgentState

# Flows are recorded from this age on, up to this number.
RECORDED_AFTER_S = 2.0
RECORDED_MAX = 2000


@define(slots=True, eq=False, repr=False)
class CrashRecovery:
    """Builds the flow record, and resets its flows after a power loss.

    A client is reset before it sends on a flow that no longer exists.
    Otherwise a request that must not be repeated could be lost there.
    """

    state: AgentState
    _record: FlowRecord | None = None

    def on_record(self, record: FlowRecord) -> None:
        """Handles the record that an earlier process left."""
        self._record = record
        self.reset_lost_flows()

    def build_record(self, now_s: float) -> FlowRecord:
        """Returns the flows to reset if the power is lost now."""
        flows = {
            key: flow.client_packet.acknowledged
            for key, flow in self.state.table.flows.items()
            if flow.is_established
            and not flow.is_closed
            and flow.client_packet is not None
            and now_s - flow.opened_s >= RECORDED_AFTER_S
        }
        latest = list(flows.items())[-RECORDED_MAX:]
        return FlowRecord(self.state.target.incarnation, dict(latest))

    def reset_lost_flows(self) -> None:
        """Resets the recorded flows if their target restarted since then.

        Does nothing until both the record and a heartbeat have arrived.
        """
        record = self._record
        state = self.state
        incarnation = state.target.incarnation
        if record is None or not incarnation:
            return
        self._record = None
        is_ended = incarnation != record.incarnation
        state.events.note_urgently(
            'record-read',
            recorded=record.incarnation,
            incarnation=incarnation,
            flow_count=len(record.flows),
            is_ended=is_ended,
        )
        for key, acknowledged in record.flows.items():
            if is_ended and key not in state.table.flows:
                state.log_decision('flow-reset', key, reason='recorded')
                state.output.reset(key, acknowledged)
