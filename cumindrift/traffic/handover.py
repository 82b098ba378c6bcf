"""Planned restarts: flows and ledger are stored at other members."""

from attrs import define, evolve, field

from cumindrift.membership.member import Member, MemberState
from cumindrift.traffic.action import Action, SendMessage
from cumindrift.traffic.flow import Flow, FlowTable
from cumindrift.traffic.message import (
    Candidate,
    HandoverAck,
    HandoverPart,
    HandoverRequest,
)
from cumindrift.traffic.view_history import ViewHistory

KEYS_PER_PART = 48
LEDGER_BYTES_PER_PART = 1000
PARTS_PER_TICK = 64
KEEPER_COUNT = 2
RETRY_S = 0.2
RECOVERY_TIMEOUT_S = 3.0
# How long another agent's copy is kept after its last part.
COPY_TTL_S = 600.0
OWNERS_MAX = 32
PARTS_MAX = 20_000


@define(slots=True)
class HandoverCopy:
    """The stored state of one incarnation of an agent, by part number."""

    incarnation: int
    updated_s: float
    parts: dict[int, HandoverPart] = field(factory=dict)
    # The incarnation that requested the copy first; no other one may get it.
    # 0 if none has requested it.
    claimed_by: int = 0

    def is_complete(self) -> bool:
        """Returns whether every part is stored."""
        return any(
            len(self.parts) == part.part_count for part in self.parts.values()
        )


@define(slots=True)
class UnackedPart:
    """A part that one keeper has not acknowledged yet."""

    keeper: Candidate
    part: HandoverPart
    next_s: float = 0.0


@define(slots=True)
class Handover:
    """Carries flows and an opaque ledger through a planned restart.

    Used by the finder. The stopping incarnation sends numbered parts to two
    members of its service, its keepers. The next incarnation requests them
    from all members of the service and resumes the flows. Until they are
    back or RECOVERY_TIMEOUT_S has passed, a packet that was forwarded by a
    stored record is dropped as unsure if its flow is not held here.

    A ledger must be adopted at most once. So a keeper returns its copy to
    one incarnation only, and the ledger is adopted only after every member
    that may have a copy has returned it.
    """

    views: ViewHistory
    table: FlowTable
    is_started: bool = False
    _parts: list[HandoverPart] = field(factory=list)
    _keepers: set[int] = field(factory=set)
    _all_keepers: set[int] = field(factory=set)
    _received_from: set[int] = field(factory=set)
    _unacked: dict[tuple[int, int], UnackedPart] = field(factory=dict)
    _stored: dict[int, HandoverCopy] = field(factory=dict)
    _own_copy: HandoverCopy | None = None
    _without_copy: set[int] = field(factory=set)
    _recovery_deadline_s: float | None = None
    _next_request_s: float = 0.0
    _is_recovered: bool = False
    _is_abandoned: bool = False
    _is_ledger_taken: bool = False

    def start(self, ledger: bytes) -> None:
        """Splits flows and ledger into parts and chooses their keepers."""
        self.is_started = True
        self._parts = self._split(ledger)
        self._choose_keepers()

    def is_acknowledged(self) -> bool:
        """Returns whether the keepers have acknowledged every part."""
        return self.is_started and not self._unacked

    def is_recovering(self, now_s: float) -> bool:
        """Returns whether flows of a former incarnation may still come back."""
        if self._is_recovered:
            return False
        until_s = self._recovery_deadline_s
        return until_s is None or now_s < until_s

    def is_busy(self, now_s: float) -> bool:
        """Returns whether parts are unacknowledged or may still come back."""
        until_s = self._recovery_deadline_s
        is_recovering = until_s is not None and now_s < until_s
        return bool(self._unacked) or is_recovering

    def on_ack(self, ack: HandoverAck) -> None:
        """Handles the acknowledgement of a part."""
        if ack.incarnation == self.views.incarnation:
            self._unacked.pop((ack.keeper_id, ack.number), None)

    def on_part(self, part: HandoverPart, now_s: float) -> list[Action]:
        """Stores and acknowledges a part of another agent."""
        if part.owner.member_id == self.views.me.member_id:
            return []
        copy = self._stored.get(part.owner.member_id)
        if copy is None or copy.incarnation < part.incarnation:
            if len(self._stored) >= OWNERS_MAX:
                return []
            copy = HandoverCopy(part.incarnation, now_s)
            self._stored[part.owner.member_id] = copy
        if copy.incarnation > part.incarnation or len(copy.parts) >= PARTS_MAX:
            return []
        copy.parts[part.number] = part
        copy.updated_s = now_s
        ack = HandoverAck(
            self.views.me.member_id,
            part.incarnation,
            part.number,
        )
        return [SendMessage(part.owner.endpoint(), ack)]

    def on_request(self, request: HandoverRequest) -> list[Action]:
        """Answers with parts from the requested number on, or with none."""
        copy = self._stored.get(request.owner.member_id)
        if copy is not None and not _may_claim(copy, request):
            copy = None
        if request.is_done:
            if copy is not None:
                self._stored.pop(request.owner.member_id)
            return []
        if copy is None or not copy.is_complete():
            none = HandoverPart(self.views.me, 0, 0, 0, (), False, b'')
            return [SendMessage(request.owner.endpoint(), none)]
        copy.claimed_by = request.incarnation
        first = min(request.first_number, len(copy.parts) - 1)
        last = min(first + PARTS_PER_TICK, len(copy.parts))
        me = self.views.me.member_id
        return [
            SendMessage(
                request.owner.endpoint(),
                evolve(copy.parts[number], keeper_id=me),
            )
            for number in range(first, last)
        ]

    def on_answer(self, part: HandoverPart, now_s: float) -> bool:
        """Handles an answer; returns whether it has completed the flows."""
        if not part.part_count:
            self._without_copy.add(part.owner.member_id)
            return False
        if part.incarnation >= self.views.incarnation or self._is_abandoned:
            return False
        own_copy = self._own_copy
        if own_copy is None or own_copy.incarnation < part.incarnation:
            own_copy = HandoverCopy(part.incarnation, now_s)
            self._own_copy = own_copy
            self._received_from.clear()
        if own_copy.incarnation > part.incarnation:
            return False
        own_copy.parts[part.number] = part
        self._received_from.add(part.keeper_id)
        if self._is_recovered or not own_copy.is_complete():
            return False
        self._restore_flows(own_copy, now_s)
        return True

    def stored_owner_ids(self) -> frozenset[int]:
        """Returns the ids of the agents whose parts are stored here."""
        return frozenset(self._stored)

    def abandon_recovery(self) -> None:
        """Ends the recovery: the data centre was taken out."""
        self._is_recovered = True
        self._is_abandoned = True

    def take_ledger(self) -> bytes:
        """Returns the ledger, once, when nobody else can adopt a copy."""
        own_copy = self._own_copy
        if own_copy is None or self._is_ledger_taken:
            return b''
        if not self._has_every_copy():
            return b''
        self._is_ledger_taken = True
        ordered = [own_copy.parts[number] for number in sorted(own_copy.parts)]
        return b''.join(part.ledger for part in ordered)

    def awaits_ledger(self, now_s: float) -> bool:
        """Returns whether flows are recovered but their ledger may be pending.

        Meanwhile a request on such a flow can neither be run nor refused.
        """
        until_s = self._recovery_deadline_s
        is_open = until_s is not None and now_s < until_s
        return (
            is_open
            and self._own_copy is not None
            and not self._has_every_copy()
        )

    def _has_every_copy(self) -> bool:
        """Returns whether every member that may have a copy returned it."""
        if self._own_copy is None or not self._is_recovered:
            return False
        return all(
            set(part.keeper_ids) <= self._received_from
            for part in self._own_copy.parts.values()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Retransmits parts, requests own ones and discards old copies."""
        for owner_id, copy in list(self._stored.items()):
            if now_s - copy.updated_s > COPY_TTL_S:
                self._stored.pop(owner_id)
        if self.is_started:
            self._choose_keepers()
        return [*self._send_unacked(now_s), *self._request_parts(now_s)]

    def _choose_keepers(self) -> None:
        """Chooses two members, in two data centres if possible.

        A member that left or whose data centre was taken out is replaced.
        """
        others = self._other_targets()
        self._keepers &= {member.member_id for member in others}
        for unacked_key in list(self._unacked):
            if unacked_key[0] not in self._keepers:
                self._unacked.pop(unacked_key)
        chosen = set(self._all_keepers)
        while others and len(self._keepers) < KEEPER_COUNT:
            member = min(others, key=self._keeper_preference)
            others.remove(member)
            self._keepers.add(member.member_id)
            chosen.add(member.member_id)
        if chosen != self._all_keepers:
            self._all_keepers = chosen
            self._queue_parts()

    def _keeper_preference(
        self, member: Member
    ) -> tuple[bool, bool, bool, int]:
        centres = {
            other.data_centre
            for other in self._other_targets()
            if other.member_id in self._keepers
        }
        return (
            member.member_id in self._keepers,
            member.data_centre in centres,
            member.state >= MemberState.DRAINING,
            member.member_id ^ self.views.me.member_id,
        )

    def _queue_parts(self) -> None:
        """Queues every part for every current keeper.

        Each part lists the ids of all members that may have a copy.
        """
        ids = tuple(sorted(self._all_keepers))
        named = [evolve(part, keeper_ids=ids) for part in self._parts]
        for member in self._other_targets():
            if member.member_id in self._keepers:
                keeper = Candidate(
                    member.member_id, *member.endpoint.sockaddr()
                )
                for part in named:
                    unacked = UnackedPart(keeper, part)
                    self._unacked[member.member_id, part.number] = unacked

    def _other_targets(self) -> list[Member]:
        return [
            member
            for member in self.views.current.targets(self.views.name)
            if member.member_id != self.views.me.member_id
        ]

    def _possible_keepers(self) -> list[Member]:
        """Returns all members of the service, also in centres taken out."""
        name = self.views.name
        return [
            member
            for member in self.views.current.members.values()
            if (member.team, member.service) == (name.team, name.service)
            and member.member_id != self.views.me.member_id
        ]

    def _send_unacked(self, now_s: float) -> list[Action]:
        due = [
            unacked
            for unacked in self._unacked.values()
            if unacked.next_s <= now_s
        ]
        actions: list[Action] = []
        for unacked in due[:PARTS_PER_TICK]:
            unacked.next_s = now_s + RETRY_S
            actions.append(SendMessage(unacked.keeper.endpoint(), unacked.part))
        return actions

    def _request_parts(self, now_s: float) -> list[Action]:
        others = self._possible_keepers()
        if self._recovery_deadline_s is None:
            if not self.views.current.members:
                return []
            self._recovery_deadline_s = now_s + RECOVERY_TIMEOUT_S
        if now_s < self._next_request_s or now_s >= self._recovery_deadline_s:
            return []
        self._next_request_s = now_s + RETRY_S
        request = HandoverRequest(
            self.views.me,
            self.views.incarnation,
            self._first_missing(),
            self._is_abandoned or self._has_every_copy(),
        )
        return [
            SendMessage(member.endpoint, request)
            for member in others
            if member.member_id not in self._without_copy
        ]

    def _first_missing(self) -> int:
        number = 0
        while self._own_copy is not None and number in self._own_copy.parts:
            number += 1
        return number

    def _restore_flows(self, own_copy: HandoverCopy, now_s: float) -> None:
        self._is_recovered = True
        ordered = [own_copy.parts[number] for number in sorted(own_copy.parts)]
        for part in ordered:
            for flow_key in part.flow_keys:
                flow = Flow(now_s, now_s, part.is_closing)
                self.table.held.setdefault(flow_key, flow)
                self.table.records.pop(flow_key, None)

    def _split(self, ledger: bytes) -> list[HandoverPart]:
        contents: list[tuple[tuple[bytes, ...], bool, bytes]] = []
        for is_closing in (False, True):
            keys = [
                key
                for key, flow in self.table.held.items()
                if flow.is_closing is is_closing
            ]
            contents += [
                (tuple(keys[start : start + KEYS_PER_PART]), is_closing, b'')
                for start in range(0, len(keys), KEYS_PER_PART)
            ]
        contents += [
            ((), False, ledger[start : start + LEDGER_BYTES_PER_PART])
            for start in range(0, len(ledger), LEDGER_BYTES_PER_PART)
        ]
        return [
            HandoverPart(
                self.views.me,
                self.views.incarnation,
                number,
                len(contents),
                *content,
            )
            for number, content in enumerate(contents)
        ]


def _may_claim(copy: HandoverCopy, request: HandoverRequest) -> bool:
    if copy.incarnation >= request.incarnation:
        return False
    return copy.claimed_by in {0, request.incarnation}
