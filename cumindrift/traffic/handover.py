"""Planned restarts: flows and ledger left to members and taken back."""

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
COPY_TTL_S = 600.0
OWNERS_MAX = 32
PARTS_MAX = 20_000


@define(slots=True)
class HandoverCopy:
    """What a restarting agent left here, by part number."""

    incarnation: int
    updated_s: float
    parts: dict[int, HandoverPart] = field(factory=dict)
    # The one incarnation that may have it.
    claimed_by: int = 0

    def is_complete(self) -> bool:
        """Tells whether every part is there."""
        return any(
            len(self.parts) == part.part_count for part in self.parts.values()
        )


@define(slots=True)
class UnackedPart:
    """A part that one keeper has not confirmed yet."""

    keeper: Candidate
    part: HandoverPart
    next_s: float = 0.0


@define(slots=True)
class Handover:
    """Hands flows and an opaque ledger over a planned restart.

    Used by the finder. The stopping incarnation sends numbered parts to
    two members of its service; the next one asks all of them at its start
    and serves the flows on. Until that is settled it is unsure of flows
    that it does not hold.

    A ledger must be adopted once. A keeper gives its copy to one incarnation
    only, and the ledger is adopted when all that may have a copy gave it.
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
        """Cuts flows and ledger into parts for two members."""
        self.is_started = True
        self._parts = self._split(ledger)
        self._choose_keepers()

    def is_acknowledged(self) -> bool:
        """Tells whether the keepers have confirmed every part."""
        return self.is_started and not self._unacked

    def is_recovering(self, now_s: float) -> bool:
        """Tells whether flows of a former incarnation may yet return."""
        if self._is_recovered:
            return False
        until_s = self._recovery_deadline_s
        return until_s is None or now_s < until_s

    def is_busy(self, now_s: float) -> bool:
        """Tells whether parts are owed or may yet come back."""
        until_s = self._recovery_deadline_s
        is_recovering = until_s is not None and now_s < until_s
        return bool(self._unacked) or is_recovering

    def on_ack(self, ack: HandoverAck) -> None:
        """Strikes off a part."""
        if ack.incarnation == self.views.incarnation:
            self._unacked.pop((ack.keeper_id, ack.number), None)

    def on_part(self, part: HandoverPart, now_s: float) -> list[Action]:
        """Keeps a part for its owner, or takes the own one back."""
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
        """Answers with parts from the number asked for, or with none."""
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
        """Takes an answer to an ask; True when all flows came back by it."""
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
        """Returns the ids of the agents whose parts are kept here."""
        return frozenset(self._stored)

    def abandon_recovery(self) -> None:
        """Wants nothing back: the data centre was taken out."""
        self._is_recovered = True
        self._is_abandoned = True

    def take_ledger(self) -> bytes:
        """Returns the ledger once, when no other copy can be adopted."""
        own_copy = self._own_copy
        if own_copy is None or self._is_ledger_taken:
            return b''
        if not self._has_every_copy():
            return b''
        self._is_ledger_taken = True
        ordered = [own_copy.parts[number] for number in sorted(own_copy.parts)]
        return b''.join(part.ledger for part in ordered)

    def awaits_ledger(self, now_s: float) -> bool:
        """Tells whether flows are back whose ledger may yet follow.

        Until then a request of such a flow can be neither run nor refused.
        """
        until_s = self._recovery_deadline_s
        is_open = until_s is not None and now_s < until_s
        return (
            is_open
            and self._own_copy is not None
            and not self._has_every_copy()
        )

    def _has_every_copy(self) -> bool:
        """Tells whether all that may have a copy gave it to this agent."""
        if self._own_copy is None or not self._is_recovered:
            return False
        return all(
            set(part.keeper_ids) <= self._received_from
            for part in self._own_copy.parts.values()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Sends parts again, asks for the own ones, forgets old ones."""
        for owner_id, copy in list(self._stored.items()):
            if now_s - copy.updated_s > COPY_TTL_S:
                self._stored.pop(owner_id)
        if self.is_started:
            self._choose_keepers()
        return [*self._send_unacked(now_s), *self._request_parts(now_s)]

    def _choose_keepers(self) -> None:
        """Owes the parts to two members, of two data centres if any.

        Another is chosen for one that left or whose centre was taken out.
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
        """Owes all parts to all keepers, with the names of all copies."""
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
        """Returns whom to ask: also members whose data centre went out."""
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
