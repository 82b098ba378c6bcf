"""Finding and placing flows: the decisions of an agent, without I/O."""

from collections import deque
from collections.abc import Callable

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.membership.view import ServiceName, View
from cumindrift.traffic.action import (
    Action,
    Deliver,
    Drop,
    Refuse,
    SendMessage,
    SendSteered,
)
from cumindrift.traffic.candidates import candidates_in
from cumindrift.traffic.flow import Flow, FlowTable, Record
from cumindrift.traffic.message import (
    Candidate,
    FlowHint,
    HolderRecord,
    LoadReport,
    OpenSearch,
    PacketKind,
    RecordAck,
    Steered,
)
from cumindrift.traffic.placement import Choice, Policy

HOP_LIMIT = 16
VIEW_GRACE_S = 30.0
PENDING_OPEN_S = 3.0
RECORD_RETRY_S = 0.5
RECORD_KEEPERS = 2

LoadProbe = Callable[[int], LoadReport]


@define(slots=True)
class OwedRecord:
    """A record that its keeper has not confirmed yet."""

    keeper: Candidate
    record: HolderRecord
    next_s: float


@define(slots=True)
class FlowFinder:
    """Decides for each packet of one service; used by the agent's front.

    `me` is the agent itself, `probe` tells its load for a number of held
    flows. All methods return actions and touch nothing outside.
    """

    me: Candidate
    name: ServiceName
    policy: Policy
    probe: LoadProbe
    table: FlowTable = field(factory=FlowTable)
    view: View = field(factory=View)
    _former: deque[tuple[View, float]] = field(factory=deque)
    _pending: dict[bytes, float] = field(factory=dict)
    _owed: dict[tuple[bytes, int], OwedRecord] = field(factory=dict)
    _sequence: int = 0

    def on_steered(self, steered: Steered, now_s: float) -> list[Action]:
        """Delivers a packet, or sends it where its flow may be held."""
        route = steered.route
        if (route.team, route.service) != (self.name.team, self.name.service):
            return [Drop(ResultCode.WRONG_SERVICE)]
        flow = self.table.held.get(route.flow_key)
        if flow is not None:
            return self._deliver(flow, steered, now_s)
        if steered.hop_count >= HOP_LIMIT:
            return [Drop(ResultCode.HOP_LIMIT)]
        record = self.table.records.get(route.flow_key)
        if record is not None and record.holder != self.me:
            return [self._onward(record.holder, steered, steered.position)]
        return self._next(steered, now_s)

    def on_open(self, search: OpenSearch, now_s: float) -> list[Action]:
        """Places a new flow, or passes its open along with the loads."""
        route = search.route
        if (route.team, route.service) != (self.name.team, self.name.service):
            return [Drop(ResultCode.WRONG_SERVICE)]
        if route.flow_key in self.table.held:
            return [Deliver(route.flow_key, search.packet)]
        record = self.table.records.get(route.flow_key)
        if record is not None and record.holder != self.me:
            return [self._pass_open(search, record.holder, assigned=True)]
        if self._is_duplicate(search, now_s):
            return []
        return self._place(search, now_s)

    def on_record(self, record: HolderRecord, now_s: float) -> list[Action]:
        """Keeps a newer record and confirms it."""
        known = self.table.records.get(record.flow_key)
        if known is None or known.sequence < record.sequence:
            if record.held:
                self.table.records[record.flow_key] = Record(
                    record.holder,
                    record.sequence,
                    now_s,
                )
            else:
                self.table.records.pop(record.flow_key, None)
        self._pending.pop(record.flow_key, None)
        ack = RecordAck(record.flow_key, self.me.member_id, record.sequence)
        return [SendMessage(record.holder.endpoint(), ack)]

    def on_ack(self, ack: RecordAck) -> None:
        """Strikes off a record that its keeper has."""
        owed = self._owed.get((ack.flow_key, ack.keeper_id))
        if owed is not None and owed.record.sequence <= ack.sequence:
            self._owed.pop((ack.flow_key, ack.keeper_id))

    def on_view(self, view: View, now_s: float) -> list[Action]:
        """Takes a new view and tells moved keepers who holds their flows."""
        former = self.view
        self._former.append((former, now_s + VIEW_GRACE_S))
        self.view = view
        actions: list[Action] = []
        if view.service_version(self.name) == former.service_version(
            self.name,
        ):
            return actions
        for flow_key in self.table.held:
            before = self._keepers(former, flow_key)
            for keeper in self._keepers(view, flow_key):
                if keeper not in before:
                    actions.append(self._owe(keeper, flow_key, now_s))
        return actions

    def close(self, flow_key: bytes, now_s: float) -> None:
        """Marks a flow as ended; it lingers for late packets."""
        flow = self.table.held.get(flow_key)
        if flow is not None:
            flow.is_closing = True
            flow.used_s = now_s

    def tick(self, now_s: float) -> list[Action]:
        """Sends unconfirmed records again and forgets what is over."""
        self._forget(now_s)
        actions = [
            self._owe(keeper, flow_key, now_s)
            for flow_key in self.table.expire(now_s)
            for keeper in self._keepers(self.view, flow_key)
        ]
        for owed_key, owed in list(self._owed.items()):
            if owed.keeper.member_id not in self.view.members:
                self._owed.pop(owed_key)
            elif owed.next_s <= now_s:
                owed.next_s = now_s + RECORD_RETRY_S
                actions.append(
                    SendMessage(owed.keeper.endpoint(), owed.record),
                )
        return actions

    def _forget(self, now_s: float) -> None:
        while self._former and self._former[0][1] < now_s:
            self._former.popleft()
        for key, until_s in list(self._pending.items()):
            if until_s < now_s:
                self._pending.pop(key)

    def _deliver(
        self,
        flow: Flow,
        steered: Steered,
        now_s: float,
    ) -> list[Action]:
        flow.used_s = now_s
        if steered.kind is PacketKind.CLOSE:
            flow.is_closing = True
        route = steered.route
        actions: list[Action] = [Deliver(route.flow_key, steered.packet)]
        if steered.hop_count:
            hint = FlowHint(route.service, route.flow_key, self.me, held=True)
            actions.append(SendMessage(route.balancer.endpoint(), hint))
        return actions

    def _next(self, steered: Steered, now_s: float) -> list[Action]:
        candidates = steered.route.candidates
        position = steered.position + 1
        if position < len(candidates):
            return [self._onward(candidates[position], steered, position)]
        for view in self._other_views(now_s):
            own = candidates_in(view, self.name, steered.route.flow_key)
            if own and own != candidates:
                return self._search_again(steered, own)
        if steered.kind is PacketKind.WITHIN_OR_OPEN:
            search = OpenSearch(steered.route, 0, 0, False, (), steered.packet)
            return self._route_open(search, now_s)
        return [Refuse(steered.packet, ResultCode.NO_SUCH_FLOW)]

    def _search_again(
        self,
        steered: Steered,
        own: tuple[Candidate, ...],
    ) -> list[Action]:
        if steered.hop_count >= len(steered.route.candidates) + len(own):
            return [Refuse(steered.packet, ResultCode.NO_SUCH_FLOW)]
        route = evolve(steered.route, candidates=own)
        again = evolve(steered, route=route)
        return [self._onward(own[0], again, 0)]

    def _other_views(self, now_s: float) -> list[View]:
        former = [view for view, until_s in self._former if until_s >= now_s]
        return [self.view, *reversed(former)]

    def _onward(
        self,
        holder: Candidate,
        steered: Steered,
        position: int,
    ) -> Action:
        onward = evolve(
            steered,
            position=position,
            hop_count=steered.hop_count + 1,
        )
        return SendSteered(holder.endpoint(), onward)

    def _is_duplicate(self, search: OpenSearch, now_s: float) -> bool:
        if search.position or search.assigned:
            return False
        flow_key = search.route.flow_key
        if self._pending.get(flow_key, 0.0) >= now_s:
            return True
        self._pending[flow_key] = now_s + PENDING_OPEN_S
        return False

    def _route_open(self, search: OpenSearch, now_s: float) -> list[Action]:
        home = search.route.candidates[0]
        if home == self.me:
            return self.on_open(search, now_s)
        return [SendMessage(home.endpoint(), search)]

    def _place(self, search: OpenSearch, now_s: float) -> list[Action]:
        report = self.probe(len(self.table.held))
        if search.assigned and report.can_take:
            return self._take(search, now_s)
        reports = (*search.reports, report)
        left = len(search.route.candidates) - search.position - 1
        if search.assigned:
            # The lightest filled up meanwhile; those after it are not asked.
            return [Refuse(search.packet, ResultCode.NO_ROOM)]
        decision = self.policy(reports, left)
        if decision.choice is Choice.TAKE:
            return self._take(search, now_s)
        if decision.choice is Choice.REFUSE:
            return [Refuse(search.packet, ResultCode.NO_ROOM)]
        grown = evolve(search, reports=reports)
        if decision.choice is Choice.PASS:
            following = search.route.candidates[search.position + 1]
            return [self._pass_open(grown, following, assigned=False)]
        chosen = next(
            candidate
            for candidate in search.route.candidates
            if candidate.member_id == decision.member_id
        )
        return [self._pass_open(grown, chosen, assigned=True)]

    def _pass_open(
        self,
        search: OpenSearch,
        following: Candidate,
        *,
        assigned: bool,
    ) -> Action:
        if search.hop_count >= HOP_LIMIT:
            return Drop(ResultCode.HOP_LIMIT)
        onward = evolve(
            search,
            position=search.position + 1,
            hop_count=search.hop_count + 1,
            assigned=assigned,
        )
        return SendMessage(following.endpoint(), onward)

    def _take(self, search: OpenSearch, now_s: float) -> list[Action]:
        route = search.route
        self.table.held[route.flow_key] = Flow(now_s, now_s)
        actions: list[Action] = [Deliver(route.flow_key, search.packet)]
        for keeper in route.candidates[:RECORD_KEEPERS]:
            if keeper != self.me:
                actions.append(self._owe(keeper, route.flow_key, now_s))
        if route.candidates[0] != self.me:
            hint = FlowHint(route.service, route.flow_key, self.me, held=True)
            actions.append(SendMessage(route.balancer.endpoint(), hint))
        return actions

    def _keepers(self, view: View, flow_key: bytes) -> tuple[Candidate, ...]:
        ranked = candidates_in(view, self.name, flow_key)[:RECORD_KEEPERS]
        return tuple(keeper for keeper in ranked if keeper != self.me)

    def _owe(
        self,
        keeper: Candidate,
        flow_key: bytes,
        now_s: float,
    ) -> Action:
        self._sequence += 1
        record = HolderRecord(
            self.name.team,
            self.name.service,
            flow_key,
            self.me,
            self._sequence,
            held=flow_key in self.table.held,
        )
        self._owed[flow_key, keeper.member_id] = OwedRecord(
            keeper,
            record,
            now_s + RECORD_RETRY_S,
        )
        return SendMessage(keeper.endpoint(), record)
