"""The record of flows: what a power loss must not leave unsaid."""

from attrs import define

from cumindrift.fleet.recorder import FlowRecord
from cumindrift.steering.agent.state import AgentState

# Only flows that last are recorded, and so many at the most.
RECORDED_AFTER_S = 2.0
RECORDED_MAX = 2000


@define(slots=True, eq=False, repr=False)
class CrashRecovery:
    """Makes the record, and resets its flows once their target is known.

    A client learns of it before it sends on a flow that is dead, so that a
    request which must not be repeated is not lost there.
    """

    state: AgentState
    _record: FlowRecord | None = None

    def on_record(self, record: FlowRecord) -> None:
        """Takes the record that an earlier process left."""
        self._record = record
        self.reset_lost_flows()

    def build_record(self, now_s: float) -> FlowRecord:
        """Returns the flows that are worth a reset after a power loss."""
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
        """Resets the recorded flows if their target started again since."""
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
