"""Flow search: an agent's decisions about packets, without I/O."""

from attrs import define, evolve, field
from cachetools import LRUCache

from cumindrift.code import ResultCode
from cumindrift.invariant import require
from cumindrift.membership.view import ServiceName, View
from cumindrift.traffic.action import (
    Action,
    Deliver,
    Drop,
    ForwardPacket,
    Refuse,
    SendMessage,
)
from cumindrift.traffic.candidates import CANDIDATE_COUNT
from cumindrift.traffic.flow import Flow, FlowTable, Record
from cumindrift.traffic.handover import Handover
from cumindrift.traffic.message import (
    Candidate,
    FlowHint,
    FlowRoute,
    HandoverPart,
    HolderRecord,
    OpenSearch,
    PacketKind,
    RecordAck,
    SteeredPacket,
)
from cumindrift.traffic.opening import FlowOpener
from cumindrift.traffic.placement import LoadProbe, Policy
from cumindrift.traffic.record import RecordReplicator
from cumindrift.traffic.view_history import ViewHistory

HOP_LIMIT = 40
SEARCH_CANDIDATES_MAX = 16
HINT_PERIOD_S = 1.0
HINT_TIMES_MAX = 8192
EXPIRY_PERIOD_S = 1.0


@define(slots=True)
class FlowFinder:
    """Decides what happens to each packet and message of one service.

    `me` is the agent itself; `probe` returns its load report for a number of
    held flows. Methods return actions and do no I/O.

    A packet of a flow that is not held here is forwarded along the
    candidates that its balancer listed. The last of them appends the
    candidates of all views that it knows, and the search goes on along these.
    A record keeper on the way forwards the packet to the holder; if that
    agent no longer holds the flow, the search goes on after the record
    keeper. Positions only increase, so every search ends; HOP_LIMIT guards
    against faults.
    """

    me: Candidate
    name: ServiceName
    policy: Policy
    probe: LoadProbe
    incarnation: int = 0
    table: FlowTable = field(factory=FlowTable)
    views: ViewHistory = field(init=False)
    replicator: RecordReplicator = field(init=False)
    opener: FlowOpener = field(init=False)
    handover: Handover = field(init=False)
    _hint_times: LRUCache[tuple[bytes, int], float] = field(
        factory=lambda: LRUCache(HINT_TIMES_MAX),
    )
    _next_expiry_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Builds the parts that share the view history and the flow table."""
        self.views = ViewHistory(self.me, self.name, self.incarnation)
        self.replicator = RecordReplicator(self.views, self.table)
        self.opener = FlowOpener(
            self.views,
            self.table,
            self.replicator,
            self.policy,
            self.probe,
        )
        self.handover = Handover(self.views, self.table)

    def on_steered(self, steered: SteeredPacket, now_s: float) -> list[Action]:
        """Delivers a packet, or forwards it to where its flow may be held."""
        route = steered.route
        if not self._is_own_service(route.team, route.service):
            return [Drop(ResultCode.WRONG_SERVICE)]
        flow = self.table.held.get(route.flow_key)
        if flow is not None:
            return self._deliver(flow, steered, now_s)
        if steered.hop_count >= HOP_LIMIT:
            return [Drop(ResultCode.HOP_LIMIT)]
        return self._search(steered, now_s)

    def on_open(self, search: OpenSearch, now_s: float) -> list[Action]:
        """Places a new flow, or first searches for an agent that holds it."""
        route = search.route
        if not self._is_own_service(route.team, route.service):
            return [Drop(ResultCode.WRONG_SERVICE)]
        flow = self.table.held.get(route.flow_key)
        if flow is None and self._may_place(search):
            return self.opener.on_open(search, now_s)
        steered = SteeredPacket(
            route,
            PacketKind.OPEN,
            0,
            search.hop_count,
            search.packet,
        )
        return self.on_steered(steered, now_s)

    def on_record(self, record: HolderRecord, now_s: float) -> list[Action]:
        """Stores a holder record; of two holders, the older flow remains."""
        if not self._is_own_service(record.team, record.service):
            return [Drop(ResultCode.WRONG_SERVICE)]
        flow = self.table.held.get(record.flow_key)
        if flow is None or record.holder == self.me:
            return self._store_record(record, now_s)
        if not record.held:
            return []
        if not self.replicator.is_older(flow, record, now_s):
            self.table.held.pop(record.flow_key)
            self.opener.discard(record.flow_key)
            actions = self.replicator.retract(record.flow_key, flow, now_s)
            return [*actions, *self.replicator.on_record(record, now_s)]
        if record.teller == record.holder:
            return []
        return [
            self.replicator.send_correction(
                record.holder, record.flow_key, now_s
            )
        ]

    def on_ack(self, ack: RecordAck) -> list[Action]:
        """Handles a record keeper's acknowledgement."""
        if self.replicator.on_ack(ack):
            return self.opener.on_record_acked(ack.flow_key)
        return []

    def on_part(self, part: HandoverPart, now_s: float) -> list[Action]:
        """Handles another agent's handover part, or an answer to a request."""
        is_answer = part.owner == self.me or not part.part_count
        if not is_answer:
            return self.handover.on_part(part, now_s)
        if self.handover.on_answer(part, now_s):
            self.replicator.on_keepers_moved()
        return []

    def on_view(self, view: View, now_s: float) -> list[Action]:
        """Applies a new view; later ticks update record keepers in batches."""
        before = self.views.current.data_centres_out
        was_draining = self.views.is_draining()
        was_out = self.views.is_out()
        has_changed = self.views.update(view, now_s)
        if self.views.is_out() and not was_out:
            # Cleared only on this transition: records that arrive while the
            # data centre is out are of flows that are still held elsewhere.
            self.table.held.clear()
            self.opener.discard_all()
            self.replicator.clear()
            self.handover.abandon_recovery()
        if view.data_centres_out != before:
            self.replicator.drop_records_of_out_holders()
        is_draining = self.views.is_draining()
        self.replicator.on_view(
            keepers_moved=has_changed or is_draining != was_draining,
        )
        return []

    def close(self, flow_key: bytes, now_s: float) -> None:
        """Marks a flow as ended; it stays for a while for late packets."""
        flow = self.table.held.get(flow_key)
        if flow is not None:
            flow.is_closing = True
            flow.last_used_s = now_s

    def may_leave(self, now_s: float) -> bool:
        """Returns whether nothing is lost if this agent stops now.

        It must hold no flows and have transferred all records.
        """
        if self.table.held or self.handover.is_recovering(now_s):
            return False
        return self.replicator.is_transferred()

    def tick(self, now_s: float) -> list[Action]:
        """Retransmits, transfers records and removes expired flows."""
        self.views.expire(now_s)
        actions = self.opener.tick(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + EXPIRY_PERIOD_S
            for flow_key in self.table.expired_keys(now_s):
                flow = self.table.held.pop(flow_key)
                actions += self.replicator.retract(flow_key, flow, now_s)
        actions += self.replicator.tick(now_s)
        return [*actions, *self.handover.tick(now_s)]

    def is_busy(self, now_s: float) -> bool:
        """Returns whether work is left for the next tick."""
        return (
            self.replicator.is_busy()
            or self.opener.is_busy()
            or self.handover.is_busy(now_s)
        )

    def _is_own_service(self, team: str, service: str) -> bool:
        return team == self.name.team and service == self.name.service

    def _may_place(self, search: OpenSearch) -> bool:
        """Returns whether the new flow can be placed without a search."""
        route = search.route
        record = self.table.records.get(route.flow_key)
        if record is not None and not self.views.has_left(record.holder):
            return False
        if search.searched or search.position or search.assigned:
            return True
        return self.views.is_settled(route.view_version)

    def _store_record(self, record: HolderRecord, now_s: float) -> list[Action]:
        actions = self.replicator.on_record(record, now_s)
        is_query = record.holder not in {record.teller, self.me}
        if is_query and record.held:
            # The record keeper checks whether this agent still holds the
            # flow, which it does not.
            actions.append(
                self.replicator.send_correction(
                    record.teller, record.flow_key, now_s
                ),
            )
        return actions

    def _deliver(
        self,
        flow: Flow,
        steered: SteeredPacket,
        now_s: float,
    ) -> list[Action]:
        route = steered.route
        require(not self.views.is_out(), 'delivered while out', me=self.me)
        flow.last_used_s = now_s
        if steered.kind is PacketKind.CLOSE:
            flow.is_closing = True
        elif steered.kind is PacketKind.OPEN:
            flow.is_closing = False
            if self.opener.is_waiting(route.flow_key):
                return [Drop(ResultCode.OPEN_PENDING)]
        actions: list[Action] = [Deliver(route.flow_key, steered.packet)]
        if steered.hop_count and self._may_hint(route, now_s):
            hint = FlowHint(route.service, route.flow_key, self.me, held=True)
            actions.append(SendMessage(route.balancer.endpoint(), hint))
        return actions

    def _may_hint(self, route: FlowRoute, now_s: float) -> bool:
        hint_key = (route.flow_key, route.balancer.member_id)
        if (
            now_s - self._hint_times.get(hint_key, -HINT_PERIOD_S)
            < HINT_PERIOD_S
        ):
            return False
        self._hint_times[hint_key] = now_s
        return True

    def _search(self, steered: SteeredPacket, now_s: float) -> list[Action]:
        route = steered.route
        if self._is_unsure(route, now_s):
            steered = steered.marked_unsure()
        asked = route.candidates[steered.position]
        if steered.by_record:
            if self.handover.is_recovering(now_s):
                return [Drop(ResultCode.SEARCH_UNSURE)]
            correction = self.replicator.send_correction(
                asked, route.flow_key, now_s
            )
            return [
                correction,
                *self._search_from(steered, steered.position + 1, now_s),
            ]
        if asked.member_id != self.me.member_id and not steered.hop_count:
            # The balancer's hint was wrong: start at the flow's home.
            return self._search_from(steered, 0, now_s)
        return self._search_from(steered, steered.position, now_s)

    def _is_unsure(self, route: FlowRoute, now_s: float) -> bool:
        if not self.views.accepts_version(route.view_version, now_s):
            return True
        # In a newer view the holder's data centre may be in service again.
        record = self.table.records.get(route.flow_key)
        return record is not None and self.views.is_member_out(record.holder)

    def _search_from(
        self,
        steered: SteeredPacket,
        position: int,
        now_s: float,
    ) -> list[Action]:
        """Forwards to the first eligible candidate from `position` on.

        At its own position this agent follows the record that it stores.
        """
        while True:
            if position >= len(steered.route.candidates):
                steered = self._extend_candidates(steered)
            if position >= len(steered.route.candidates):
                return self._end_search(steered, now_s)
            forward = self._next_hop(steered, position)
            if forward is not None:
                return [forward]
            position += 1

    def _next_hop(
        self, steered: SteeredPacket, position: int
    ) -> ForwardPacket | None:
        """Returns the hop to the candidate at `position`; None skips it."""
        following = steered.route.candidates[position]
        if following.member_id != self.me.member_id:
            if self.views.may_forward_to(following):
                forward = steered.next_hop(position)
                return ForwardPacket(following.endpoint(), forward)
            return None
        record = self.table.records.get(steered.route.flow_key)
        if record is None or not self._may_follow_record(record, steered):
            return None
        forward = steered.next_hop(position, by_record=True)
        return ForwardPacket(record.holder.endpoint(), forward)

    def _may_follow_record(
        self, record: Record, steered: SteeredPacket
    ) -> bool:
        if record.holder == self.me:
            return False
        is_open = steered.kind is PacketKind.OPEN
        if is_open and self.views.has_left(record.holder):
            return False
        return not self.views.is_member_out(record.holder)

    def _extend_candidates(self, steered: SteeredPacket) -> SteeredPacket:
        """Appends the candidates of all known views that are not listed."""
        known = dict.fromkeys(steered.route.candidates)
        for candidates in self.views.candidate_lists(steered.route.flow_key):
            known.update(dict.fromkeys(candidates))
        if len(known) == len(steered.route.candidates):
            return steered
        longer = tuple(known)[:SEARCH_CANDIDATES_MAX]
        route = evolve(steered.route, candidates=longer)
        return evolve(steered, route=route)

    def _end_search(self, steered: SteeredPacket, now_s: float) -> list[Action]:
        kind = steered.kind
        is_open = kind is PacketKind.OPEN
        if not is_open and steered.is_unsure:
            return [Drop(ResultCode.SEARCH_UNSURE)]
        if is_open or kind is PacketKind.WITHIN_OR_OPEN:
            return self._start_open(steered, now_s)
        return [Refuse(steered.packet, ResultCode.NO_SUCH_FLOW)]

    def _start_open(self, steered: SteeredPacket, now_s: float) -> list[Action]:
        route = steered.route
        candidates = self.views.candidates(route.flow_key)
        if not candidates:
            candidates = route.candidates[:CANDIDATE_COUNT]
        route = evolve(route, candidates=candidates)
        search = OpenSearch(
            route,
            0,
            steered.hop_count,
            assigned=False,
            reports=(),
            packet=steered.packet,
            searched=True,
        )
        home = candidates[0]
        if home == self.me:
            return self.opener.on_open(search, now_s)
        return [SendMessage(home.endpoint(), search)]
