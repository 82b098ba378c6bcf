"""Records of holders: told, confirmed, moved and taken back."""

from collections import deque

from attrs import define, evolve, field

from cumindrift.traffic.action import Action, SendMessage
from cumindrift.traffic.flow import Flow, FlowTable, Record
from cumindrift.traffic.message import Candidate, HolderRecord, RecordAck
from cumindrift.traffic.viewpoint import RECORD_KEEPERS, Viewpoint

RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.8
# So many flows or records are looked at in one tick.
SLICE_COUNT = 200
SWEEP_PERIOD_S = 5.0
RECORD_KEPT_S = 600.0
RESTART_WITHIN_S = 30.0
# Flows opened closer together than this are told apart by member id.
SAME_TIME_S = 0.05
_MS_PER_S = 1000


@define(slots=True)
class OwedRecord:
    """A record that its keeper has not confirmed yet."""

    keeper: Candidate
    record: HolderRecord
    next_s: float
    retry_s: float = RETRY_FIRST_S


@define(slots=True)
class RecordBook:
    """Tells keepers who holds a flow, and keeps what others tell.

    Used by the finder. The home and the second candidate of each held flow
    are told, again when membership moves them. Sequence numbers go up with
    all that this incarnation says, so late messages order.
    """

    point: Viewpoint
    table: FlowTable
    _owed: dict[tuple[bytes, int], OwedRecord] = field(factory=dict)
    _sequence: int = 0
    _to_check: deque[bytes] = field(factory=deque)
    _to_sweep: deque[bytes] = field(factory=deque)
    _sweep_s: float = 0.0
    _seen: dict[int, int] = field(factory=dict)
    _forgetful: set[int] = field(factory=set)

    def tell(
        self,
        keeper: Candidate,
        flow_key: bytes,
        now_s: float,
    ) -> Action:
        """Tells a keeper whether this agent holds a flow."""
        flow = self.table.held.get(flow_key)
        if flow is not None:
            flow.note_told(keeper.member_id)
        return self._owe(keeper, self._state(flow_key, now_s), now_s)

    def disown(
        self,
        keeper: Candidate,
        flow_key: bytes,
        now_s: float,
    ) -> Action:
        """Tells a keeper, once, that its record of this agent is stale."""
        return SendMessage(keeper.endpoint(), self._state(flow_key, now_s))

    def retract(
        self,
        flow_key: bytes,
        flow: Flow,
        now_s: float,
    ) -> list[Action]:
        """Takes back the records of a flow that is no longer held."""
        members = self.point.view.members
        actions: list[Action] = []
        for member_id in flow.told:
            self._owed.pop((flow_key, member_id), None)
            member = members.get(member_id)
            if member is not None:
                keeper = Candidate(member_id, *member.endpoint.sockaddr())
                actions.append(self.tell(keeper, flow_key, now_s))
        return actions

    def forget_all(self) -> None:
        """Drops what is owed and kept: the data centre was taken out."""
        self._owed.clear()
        self.table.records.clear()
        self._to_check.clear()

    def on_record(self, record: HolderRecord, now_s: float) -> list[Action]:
        """Keeps a newer record and confirms it."""
        known = self.table.records.get(record.flow_key)
        if known is not None and known.holder != record.holder:
            if record.held and not self.point.has_left(known.holder):
                # Two holders: the one known decides whether it still is.
                query = evolve(record, teller=self.point.me)
                return [SendMessage(known.holder.endpoint(), query)]
            if not record.held:
                return [self._confirm(record)]
            known = None
        if self._keep(record, known, now_s):
            return [self._confirm(record)]
        return []

    def on_ack(self, ack: RecordAck) -> bool:
        """Strikes off a record that its keeper has; True if it was owed."""
        owed = self._owed.get((ack.flow_key, ack.keeper_id))
        if owed is None or owed.record.sequence > ack.sequence:
            return False
        self._owed.pop((ack.flow_key, ack.keeper_id))
        kept = self.table.records.get(ack.flow_key)
        if kept is not None and owed.record.holder != self.point.me:
            kept.is_handed_on = True
        return True

    def is_owed(self, flow_key: bytes, flow: Flow) -> bool:
        """Tells whether some keeper has not confirmed the flow."""
        return any((flow_key, told) in self._owed for told in flow.told)

    def on_view(self, *, has_moved: bool) -> None:
        """Notes which keepers forgot what they were told, or moved.

        A member that restarted or left keeps no records, though its id may
        stand in the same place again.
        """
        seen = {
            member.member_id: member.incarnation
            for member in self.point.view.targets(self.point.name)
        }
        forgetful = {
            member_id
            for member_id, incarnation in self._seen.items()
            if seen.get(member_id) != incarnation
        }
        self._seen = seen
        if forgetful or has_moved:
            self._forgetful |= forgetful
            self.on_moved()

    def on_moved(self) -> None:
        """Notes that keepers may have moved; ticks look in slices."""
        self._to_check = deque(self.table.held)
        for record in self.table.records.values():
            record.is_handed_on = False

    def is_busy(self) -> bool:
        """Tells whether records wait to be told or confirmed."""
        return bool(self._owed or self._to_check)

    def is_handed_on(self) -> bool:
        """Tells whether nothing kept here would be lost by leaving."""
        if self._owed or self._to_check:
            return False
        return all(
            record.is_handed_on for record in self.table.records.values()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Sends again, tells moved keepers and sweeps, a slice of each."""
        actions = self._retry(now_s)
        if not self._to_check:
            self._forgetful.clear()
        for _ in range(min(SLICE_COUNT, len(self._to_check))):
            actions.extend(self._check(self._to_check.popleft(), now_s))
        self._sweep(now_s)
        if self.point.is_draining():
            actions += self._hand_on(now_s)
        return actions

    def drop_records_out(self) -> None:
        """Drops records of flows whose data centre was taken out."""
        for key, record in list(self.table.records.items()):
            if self.point.is_member_out(record.holder):
                self.table.records.pop(key)

    def is_older(self, flow: Flow, record: HolderRecord, now_s: float) -> bool:
        """Tells whether a held flow goes before another holder's."""
        other_s = now_s - record.age_ms / _MS_PER_S
        if abs(flow.opened_s - other_s) < SAME_TIME_S:
            return self.point.me.member_id < record.holder.member_id
        return flow.opened_s < other_s

    def _state(self, flow_key: bytes, now_s: float) -> HolderRecord:
        flow = self.table.held.get(flow_key)
        self._sequence += 1
        return HolderRecord(
            self.point.name.team,
            self.point.name.service,
            flow_key,
            self.point.me,
            self.point.incarnation,
            self._sequence,
            int((now_s - flow.opened_s) * _MS_PER_S) if flow else 0,
            flow is not None,
            self.point.me,
        )

    def _owe(
        self,
        keeper: Candidate,
        record: HolderRecord,
        now_s: float,
    ) -> Action:
        owed = OwedRecord(keeper, record, now_s + RETRY_FIRST_S)
        self._owed[record.flow_key, keeper.member_id] = owed
        return SendMessage(keeper.endpoint(), record)

    def _confirm(self, record: HolderRecord) -> Action:
        ack = RecordAck(
            record.flow_key,
            self.point.me.member_id,
            record.sequence,
        )
        return SendMessage(record.teller.endpoint(), ack)

    def _keep(
        self,
        record: HolderRecord,
        known: Record | None,
        now_s: float,
    ) -> bool:
        order = (record.incarnation, record.sequence)
        is_newer = known is None or known.order() < order
        if record.held and is_newer:
            opened_s = now_s - record.age_ms / _MS_PER_S
            kept = Record(record.holder, *order, opened_s)
            return self.table.keep(record.flow_key, kept)
        if is_newer:
            self.table.records.pop(record.flow_key, None)
        return True

    def _retry(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        for owed_key, owed in list(self._owed.items()):
            if owed.keeper.member_id not in self.point.view.members:
                self._owed.pop(owed_key)
            elif owed.next_s <= now_s:
                owed.retry_s = min(owed.retry_s * 2, RETRY_MAX_S)
                owed.next_s = now_s + owed.retry_s
                actions.append(
                    SendMessage(owed.keeper.endpoint(), owed.record),
                )
        return actions

    def _check(self, flow_key: bytes, now_s: float) -> list[Action]:
        flow = self.table.held.get(flow_key)
        if flow is None:
            return []
        flow.told = tuple(
            member_id
            for member_id in flow.told
            if member_id not in self._forgetful
        )
        return [
            self.tell(keeper, flow_key, now_s)
            for keeper in self.point.keepers(flow_key)
            if keeper.member_id not in flow.told
        ]

    def _sweep(self, now_s: float) -> None:
        if not self._to_sweep:
            if now_s < self._sweep_s:
                return
            self._sweep_s = now_s + SWEEP_PERIOD_S
            self._to_sweep = deque(self.table.records)
        for _ in range(min(SLICE_COUNT, len(self._to_sweep))):
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
        member = self.point.view.members.get(record.holder.member_id)
        ranked = self.point.candidates(flow_key)[:RECORD_KEEPERS]
        if member is None or member.incarnation > record.incarnation:
            kept_s = RESTART_WITHIN_S
        elif self.point.me in ranked:
            record.doubted_s = 0.0
            return False
        else:
            kept_s = RECORD_KEPT_S
        record.doubted_s = record.doubted_s or now_s
        return now_s - record.doubted_s > kept_s

    def _hand_on(self, now_s: float) -> list[Action]:
        """Tells those who keep a record once this agent has left."""
        actions: list[Action] = []
        waiting = [
            key
            for key, record in self.table.records.items()
            if not record.is_handed_on
        ]
        for flow_key in waiting[:SLICE_COUNT]:
            actions.extend(self._hand_record_on(flow_key, now_s))
        return actions

    def _hand_record_on(self, flow_key: bytes, now_s: float) -> list[Action]:
        kept = self.table.records[flow_key]
        others = [
            candidate
            for candidate in self.point.candidates(flow_key)
            if candidate not in {self.point.me, kept.holder}
        ]
        if not others:
            kept.is_handed_on = True
        record = HolderRecord(
            self.point.name.team,
            self.point.name.service,
            flow_key,
            kept.holder,
            kept.incarnation,
            kept.sequence,
            int((now_s - kept.opened_s) * _MS_PER_S),
            True,
            self.point.me,
        )
        return [
            self._owe(keeper, record, now_s)
            for keeper in others[:RECORD_KEEPERS]
            if (flow_key, keeper.member_id) not in self._owed
        ]
