"""Replication of holder records to the record keepers of each flow."""

from collections import deque

from attrs import define, evolve, field

from cumindrift.traffic.action import Action, SendMessage
from cumindrift.traffic.flow import Flow, FlowTable, Record
from cumindrift.traffic.message import Candidate, HolderRecord, RecordAck
from cumindrift.traffic.view_history import RECORD_KEEPERS, ViewHistory

RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.8
# Flows or records that one tick checks, sweeps or transfers.
BATCH_SIZE = 200
SWEEP_PERIOD_S = 5.0
# How long an agent stores a record after it ceased to be the flow's record
# keeper.
RECORD_TTL_S = 600.0
# How long a record is stored whose holder left or restarted.
RESTART_GRACE_S = 30.0
# If two agents hold the same flow, the one that opened it first keeps it. If
# they opened it within this time of each other, the lower member id keeps it.
SIMULTANEOUS_OPEN_S = 0.05
_MS_PER_S = 1000


@define(slots=True)
class UnackedRecord:
    """A record that one record keeper has not acknowledged yet."""

    keeper: Candidate
    record: HolderRecord
    next_s: float
    retry_s: float = RETRY_FIRST_S


@define(slots=True)
class RecordReplicator:
    """Replicates own holder records and stores those of other agents.

    Used by the finder. The record of a held flow is sent to its record
    keepers until they acknowledge it, and again when membership changes
    them. Each record of this incarnation has a higher sequence number, so
    that delayed messages cannot replace newer ones.
    """

    views: ViewHistory
    table: FlowTable
    _unacked: dict[tuple[bytes, int], UnackedRecord] = field(factory=dict)
    _sequence: int = 0
    _to_check: deque[bytes] = field(factory=deque)
    _to_sweep: deque[bytes] = field(factory=deque)
    _next_sweep_s: float = 0.0
    _incarnations: dict[int, int] = field(factory=dict)
    _lost_keepers: set[int] = field(factory=set)

    def replicate(
        self,
        keeper: Candidate,
        flow_key: bytes,
        now_s: float,
    ) -> Action:
        """Sends this agent's record of a flow until it is acknowledged."""
        flow = self.table.held.get(flow_key)
        if flow is not None:
            flow.add_notified(keeper.member_id)
        return self._send_until_acked(
            keeper, self._own_record(flow_key, now_s), now_s
        )

    def send_correction(
        self,
        keeper: Candidate,
        flow_key: bytes,
        now_s: float,
    ) -> Action:
        """Sends this agent's record of a flow once, to correct a stale one."""
        return SendMessage(keeper.endpoint(), self._own_record(flow_key, now_s))

    def retract(
        self,
        flow_key: bytes,
        flow: Flow,
        now_s: float,
    ) -> list[Action]:
        """Retracts the records of a flow that is no longer held."""
        members = self.views.current.members
        actions: list[Action] = []
        for member_id in flow.notified:
            self._unacked.pop((flow_key, member_id), None)
            member = members.get(member_id)
            if member is not None:
                keeper = Candidate(member_id, *member.endpoint.sockaddr())
                actions.append(self.replicate(keeper, flow_key, now_s))
        return actions

    def clear(self) -> None:
        """Discards all records: the data centre was taken out."""
        self._unacked.clear()
        self.table.records.clear()
        self._to_check.clear()

    def on_record(self, record: HolderRecord, now_s: float) -> list[Action]:
        """Stores a newer record and acknowledges it."""
        known = self.table.records.get(record.flow_key)
        if known is not None and known.holder != record.holder:
            if record.held and not self.views.has_left(known.holder):
                # Another agent is recorded as holder: ask it whether it still
                # holds the flow.
                query = evolve(record, teller=self.views.me)
                return [SendMessage(known.holder.endpoint(), query)]
            if not record.held:
                return [self._acknowledge(record)]
            known = None
        if self._store(record, known, now_s):
            return [self._acknowledge(record)]
        return []

    def on_ack(self, ack: RecordAck) -> bool:
        """Handles an acknowledgement; returns whether it was expected."""
        unacked = self._unacked.get((ack.flow_key, ack.keeper_id))
        if unacked is None or unacked.record.sequence > ack.sequence:
            return False
        self._unacked.pop((ack.flow_key, ack.keeper_id))
        kept = self.table.records.get(ack.flow_key)
        if kept is not None and unacked.record.holder != self.views.me:
            kept.is_transferred = True
        return True

    def is_unacked(self, flow_key: bytes, flow: Flow) -> bool:
        """Returns whether a record keeper has not acknowledged the flow."""
        return any(
            (flow_key, member_id) in self._unacked
            for member_id in flow.notified
        )

    def on_view(self, *, keepers_moved: bool) -> None:
        """Schedules checks of the flows whose record keepers changed.

        A member that restarted or left has lost its records, even if it is
        a record keeper of the same flows again.
        """
        seen = {
            member.member_id: member.incarnation
            for member in self.views.current.targets(self.views.name)
        }
        lost_keepers = {
            member_id
            for member_id, incarnation in self._incarnations.items()
            if seen.get(member_id) != incarnation
        }
        self._incarnations = seen
        if lost_keepers or keepers_moved:
            self._lost_keepers |= lost_keepers
            self.on_keepers_moved()

    def on_keepers_moved(self) -> None:
        """Schedules a check of all flows and records, in batches per tick."""
        self._to_check = deque(self.table.held)
        for record in self.table.records.values():
            record.is_transferred = False

    def is_busy(self) -> bool:
        """Returns whether records must be checked or are unacknowledged."""
        return bool(self._unacked or self._to_check)

    def is_transferred(self) -> bool:
        """Returns whether no record is lost if this agent stops."""
        if self._unacked or self._to_check:
            return False
        return all(
            record.is_transferred for record in self.table.records.values()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Retransmits, updates record keepers and removes stale records.

        Updates and removals are done in batches of BATCH_SIZE.
        """
        actions = self._retransmit(now_s)
        if not self._to_check:
            self._lost_keepers.clear()
        for _ in range(min(BATCH_SIZE, len(self._to_check))):
            actions.extend(
                self._update_keepers(self._to_check.popleft(), now_s)
            )
        self._sweep(now_s)
        if self.views.is_draining():
            actions += self._transfer_records(now_s)
        return actions

    def drop_records_of_out_holders(self) -> None:
        """Drops the records of holders whose data centre was taken out."""
        for key, record in list(self.table.records.items()):
            if self.views.is_member_out(record.holder):
                self.table.records.pop(key)

    def is_older(self, flow: Flow, record: HolderRecord, now_s: float) -> bool:
        """Returns whether a held flow is older than another holder's."""
        other_s = now_s - record.age_ms / _MS_PER_S
        if abs(flow.opened_s - other_s) < SIMULTANEOUS_OPEN_S:
            return self.views.me.member_id < record.holder.member_id
        return flow.opened_s < other_s

    def _own_record(self, flow_key: bytes, now_s: float) -> HolderRecord:
        flow = self.table.held.get(flow_key)
        self._sequence += 1
        return HolderRecord(
            self.views.name.team,
            self.views.name.service,
            flow_key,
            self.views.me,
            self.views.incarnation,
            self._sequence,
            int((now_s - flow.opened_s) * _MS_PER_S) if flow else 0,
            flow is not None,
            self.views.me,
        )

    def _send_until_acked(
        self,
        keeper: Candidate,
        record: HolderRecord,
        now_s: float,
    ) -> Action:
        unacked = UnackedRecord(keeper, record, now_s + RETRY_FIRST_S)
        self._unacked[record.flow_key, keeper.member_id] = unacked
        return SendMessage(keeper.endpoint(), record)

    def _acknowledge(self, record: HolderRecord) -> Action:
        ack = RecordAck(
            record.flow_key,
            self.views.me.member_id,
            record.sequence,
        )
        return SendMessage(record.teller.endpoint(), ack)

    def _store(
        self,
        record: HolderRecord,
        known: Record | None,
        now_s: float,
    ) -> bool:
        version = (record.incarnation, record.sequence)
        is_newer = known is None or known.version() < version
        if record.held and is_newer:
            opened_s = now_s - record.age_ms / _MS_PER_S
            kept = Record(record.holder, *version, opened_s)
            return self.table.store_record(record.flow_key, kept)
        if is_newer:
            self.table.records.pop(record.flow_key, None)
        return True

    def _retransmit(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for unacked_key, unacked in list(self._unacked.items()):
            if unacked.keeper.member_id not in self.views.current.members:
                self._unacked.pop(unacked_key)
            elif unacked.next_s <= now_s:
                unacked.retry_s = min(unacked.retry_s * 2, RETRY_MAX_S)
                unacked.next_s = now_s + unacked.retry_s
                actions.append(
                    SendMessage(unacked.keeper.endpoint(), unacked.record),
                )
        return actions

    def _update_keepers(self, flow_key: bytes, now_s: float) -> list[Action]:
        flow = self.table.held.get(flow_key)
        if flow is None:
            return []
        flow.notified = tuple(
            member_id
            for member_id in flow.notified
            if member_id not in self._lost_keepers
        )
        return [
            self.replicate(keeper, flow_key, now_s)
            for keeper in self.views.record_keepers(flow_key)
            if keeper.member_id not in flow.notified
        ]

    def _sweep(self, now_s: float) -> None:
        if not self._to_sweep:
            if now_s < self._next_sweep_s:
                return
            self._next_sweep_s = now_s + SWEEP_PERIOD_S
            self._to_sweep = deque(self.table.records)
        for _ in range(min(BATCH_SIZE, len(self._to_sweep))):
            flow_key = self._to_sweep.popleft()
            record = self.table.records.get(flow_key)
            if record is not None and self._is_stale(flow_key, record, now_s):
                self.table.records.pop(flow_key)

    def _is_stale(
        self,
        flow_key: bytes,
        record: Record,
        now_s: float,
    ) -> bool:
        """Returns whether a record has been doubtful beyond its lifetime.

        A record is doubtful if its holder left or restarted, or if this agent
        is no longer a record keeper of the flow.
        """
        member = self.views.current.members.get(record.holder.member_id)
        ranked = self.views.candidates(flow_key)[:RECORD_KEEPERS]
        if member is None or member.incarnation > record.incarnation:
            lifetime_s = RESTART_GRACE_S
        elif self.views.me in ranked:
            record.doubtful_since_s = 0.0
            return False
        else:
            lifetime_s = RECORD_TTL_S
        record.doubtful_since_s = record.doubtful_since_s or now_s
        return now_s - record.doubtful_since_s > lifetime_s

    def _transfer_records(self, now_s: float) -> list[Action]:
        """Sends stored records to the agents that keep them after this one."""
        actions: list[Action] = []
        waiting = [
            key
            for key, record in self.table.records.items()
            if not record.is_transferred
        ]
        for flow_key in waiting[:BATCH_SIZE]:
            actions.extend(self._transfer_record(flow_key, now_s))
        return actions

    def _transfer_record(self, flow_key: bytes, now_s: float) -> list[Action]:
        kept = self.table.records[flow_key]
        others = [
            candidate
            for candidate in self.views.candidates(flow_key)
            if candidate not in {self.views.me, kept.holder}
        ]
        if not others:
            kept.is_transferred = True
        record = HolderRecord(
            self.views.name.team,
            self.views.name.service,
            flow_key,
            kept.holder,
            kept.incarnation,
            kept.sequence,
            int((now_s - kept.opened_s) * _MS_PER_S),
            True,
            self.views.me,
        )
        return [
            self._send_until_acked(keeper, record, now_s)
            for keeper in others[:RECORD_KEEPERS]
            if (flow_key, keeper.member_id) not in self._unacked
        ]
