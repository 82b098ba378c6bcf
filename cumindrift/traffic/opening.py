"""Opening of flows: chooses the target that holds a new one."""

from random import Random

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.traffic.action import (
    Action,
    Deliver,
    Drop,
    Refuse,
    SendMessage,
)
from cumindrift.traffic.flow import Flow, FlowTable
from cumindrift.traffic.message import (
    Candidate,
    FlowHint,
    LoadReport,
    OpenSearch,
)
from cumindrift.traffic.placement import (
    Choice,
    LoadProbe,
    Policy,
    assign_lightest,
)
from cumindrift.traffic.record import RecordReplicator
from cumindrift.traffic.view_history import RECORD_KEEPERS, ViewHistory

OPEN_HOP_LIMIT = 24
# A repetition within this time is dropped: the first is still on its way.
PENDING_OPEN_S = 0.5
# How long an opening packet is remembered, so that its repetition is placed at
# the home.
REPEATED_OPEN_S = 3.0
PENDING_OPENS_MAX = 4096
RECORD_ACK_TIMEOUT_S = 0.4


@define(slots=True)
class WaitingOpen:
    """An opening packet that waits for the record keepers' acks."""

    packet: bytes
    deadline_s: float


@define(slots=True)
class FlowOpener:
    """Places new flows of one service; used by the finder.

    The opening packet is delivered once the record keepers have
    acknowledged the record, so that searches find the flow as soon as the
    target has answered.
    """

    views: ViewHistory
    table: FlowTable
    replicator: RecordReplicator
    policy: Policy
    probe: LoadProbe
    random: Random = field(factory=Random)
    opened_count: int = 0
    # Time of the last opening packet, by flow key and whether it was assigned.
    _pending: dict[tuple[bytes, bool], float] = field(factory=dict)
    _waiting: dict[bytes, WaitingOpen] = field(factory=dict)

    def on_open(self, search: OpenSearch, now_s: float) -> list[Action]:
        """Accepts a flow that no agent holds, or forwards its first packet."""
        open_key = (search.route.flow_key, search.assigned)
        last_open_s = self._pending.get(open_key)
        if last_open_s is not None and now_s - last_open_s < PENDING_OPEN_S:
            return [Drop(ResultCode.OPEN_PENDING)]
        self._note_pending(open_key, now_s)
        if search.assigned:
            return self._accept_assigned(search, now_s)
        is_repeated = last_open_s is not None and not search.position
        if is_repeated and self._load_report().can_take:
            # The first opening packet got no answer: an agent on its way may
            # be dead.
            return self._accept(search, now_s)
        return self._place(search, now_s)

    def on_record_acked(self, flow_key: bytes) -> list[Action]:
        """Delivers the opening packet once all record keepers have acked."""
        flow = self.table.held.get(flow_key)
        if flow_key not in self._waiting or flow is None:
            return []
        if self.replicator.is_unacked(flow_key, flow):
            return []
        return [Deliver(flow_key, self._waiting.pop(flow_key).packet)]

    def is_waiting(self, flow_key: bytes) -> bool:
        """Returns whether a flow's opening packet is not delivered yet."""
        return flow_key in self._waiting

    @property
    def pending_count(self) -> int:
        """Returns the number of recent opening packets remembered."""
        return len(self._pending)

    def is_busy(self) -> bool:
        """Returns whether opening packets wait for acknowledgements."""
        return bool(self._waiting)

    def discard(self, flow_key: bytes) -> None:
        """Discards an opening packet whose flow is held elsewhere."""
        self._waiting.pop(flow_key, None)

    def discard_all(self) -> None:
        """Discards all opening packets: the data centre was taken out."""
        self._pending.clear()
        self._waiting.clear()

    def tick(self, now_s: float) -> list[Action]:
        """Delivers opening packets whose record was not acked in time."""
        for key, last_open_s in list(self._pending.items()):
            if now_s - last_open_s < REPEATED_OPEN_S:
                break
            self._pending.pop(key)
        late = [
            key
            for key, waiting in self._waiting.items()
            if waiting.deadline_s < now_s
        ]
        return [Deliver(key, self._waiting.pop(key).packet) for key in late]

    def _load_report(self) -> LoadReport:
        report = self.probe(len(self.table.held))
        if self.views.is_out() or self.views.is_draining():
            return evolve(report, can_take=False)
        return report

    def _note_pending(self, open_key: tuple[bytes, bool], now_s: float) -> None:
        self._pending.pop(open_key, None)
        if len(self._pending) >= PENDING_OPENS_MAX:
            self._pending.pop(next(iter(self._pending)))
        self._pending[open_key] = now_s

    def _place(self, search: OpenSearch, now_s: float) -> list[Action]:
        reports = (*search.reports, self._load_report())
        left = len(search.route.candidates) - search.position - 1
        decision = self.policy(reports, left, self.random)
        extended = evolve(search, reports=reports)
        if decision.choice is Choice.TAKE:
            return self._accept(extended, now_s)
        if decision.choice is Choice.REFUSE:
            return [Refuse(search.packet, ResultCode.NO_ROOM)]
        if decision.choice is Choice.PASS:
            following = search.route.candidates[search.position + 1]
            return [self._forward(extended, following)]
        return [self._assign(extended, decision.member_id)]

    def _accept_assigned(
        self,
        search: OpenSearch,
        now_s: float,
    ) -> list[Action]:
        if self._load_report().can_take:
            return self._accept(search, now_s)
        # Full since its report: assign the next lightest agent.
        others = tuple(
            other
            for other in search.reports
            if other.member_id != self.views.me.member_id
        )
        decision = assign_lightest(others)
        if decision.choice is Choice.REFUSE:
            return [Refuse(search.packet, ResultCode.NO_ROOM)]
        return [
            self._assign(evolve(search, reports=others), decision.member_id)
        ]

    def _assign(self, search: OpenSearch, member_id: int) -> Action:
        chosen = next(
            candidate
            for candidate in search.route.candidates
            if candidate.member_id == member_id
        )
        return self._forward(evolve(search, assigned=True), chosen)

    def _forward(self, search: OpenSearch, following: Candidate) -> Action:
        if search.hop_count >= OPEN_HOP_LIMIT:
            return Drop(ResultCode.HOP_LIMIT)
        onward = evolve(
            search,
            position=search.position + (not search.assigned),
            hop_count=search.hop_count + 1,
        )
        return SendMessage(following.endpoint(), onward)

    def _accept(self, search: OpenSearch, now_s: float) -> list[Action]:
        """Makes this agent the holder of the flow."""
        route = search.route
        flow_key = route.flow_key
        self.table.held[flow_key] = Flow(now_s, now_s)
        self.table.records.pop(flow_key, None)
        self.opened_count += 1
        keepers = {
            keeper.member_id: keeper
            for keeper in (
                *route.candidates[:RECORD_KEEPERS],
                *self.views.record_keepers(flow_key),
            )
            if keeper != self.views.me and not self.views.has_left(keeper)
        }
        actions: list[Action] = [
            self.replicator.replicate(keeper, flow_key, now_s)
            for keeper in keepers.values()
        ]
        if not actions:
            return [Deliver(flow_key, search.packet)]
        self._waiting[flow_key] = WaitingOpen(
            search.packet,
            now_s + RECORD_ACK_TIMEOUT_S,
        )
        if route.candidates[0] != self.views.me:
            hint = FlowHint(
                route.service,
                flow_key,
                self.views.me,
                held=True,
            )
            actions.append(SendMessage(route.balancer.endpoint(), hint))
        return actions
