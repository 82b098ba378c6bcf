"""Planned restarts: flows and ledger left to members and taken back."""

from attrs import define, evolve, field

from cumindrift.membership.member import Member, MemberState
from cumindrift.traffic.action import Action, SendMessage
from cumindrift.traffic.flow import Flow, FlowTable
from cumindrift.traffic.message import (
    Candidate,
    HandoverAck,
    HandoverAsk,
    HandoverPart,
)
from cumindrift.traffic.viewpoint import Viewpoint

KEYS_PER_PART = 48
LEDGER_BYTES_PER_PART = 1000
PARTS_PER_TICK = 64
KEEPER_COUNT = 2
RETRY_S = 0.2
RECOVERY_S = 3.0
KEPT_S = 600.0
OWNERS_MAX = 32
PARTS_MAX = 20_000


@define(slots=True)
class LeftBehind:
    """What a restarting agent left here, by part number."""

    incarnation: int
    kept_s: float
    parts: dict[int, HandoverPart] = field(factory=dict)
    # The one incarnation that may have it.
    claimed_by: int = 0

    def is_whole(self) -> bool:
        """Tells whether every part is there."""
        return any(
            len(self.parts) == part.part_count for part in self.parts.values()
        )


@define(slots=True)
class OwedPart:
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

    point: Viewpoint
    table: FlowTable
    is_started: bool = False
    _parts: list[HandoverPart] = field(factory=list)
    _keepers: set[int] = field(factory=set)
    _ever_keepers: set[int] = field(factory=set)
    _claimed: set[int] = field(factory=set)
    _owed: dict[tuple[int, int], OwedPart] = field(factory=dict)
    _kept: dict[int, LeftBehind] = field(factory=dict)
    _returned: LeftBehind | None = None
    _answered: set[int] = field(factory=set)
    _recovery_until_s: float | None = None
    _next_s: float = 0.0
    _is_recovered: bool = False
    _is_given_up: bool = False
    _is_ledger_taken: bool = False

    def start(self, ledger: bytes) -> None:
        """Cuts flows and ledger into parts for two members."""
        self.is_started = True
        self._parts = self._cut(ledger)
        self._choose_keepers()

    def is_over(self) -> bool:
        """Tells whether the keepers have confirmed every part."""
        return self.is_started and not self._owed

    def is_recovering(self, now_s: float) -> bool:
        """Tells whether flows of a former incarnation may yet return."""
        if self._is_recovered:
            return False
        until_s = self._recovery_until_s
        return until_s is None or now_s < until_s

    def is_busy(self, now_s: float) -> bool:
        """Tells whether parts are owed or may yet come back."""
        until_s = self._recovery_until_s
        is_recovering = until_s is not None and now_s < until_s
        return bool(self._owed) or is_recovering

    def on_ack(self, ack: HandoverAck) -> None:
        """Strikes off a part."""
        if ack.incarnation == self.point.incarnation:
            self._owed.pop((ack.keeper_id, ack.number), None)

    def on_part(self, part: HandoverPart, now_s: float) -> list[Action]:
        """Keeps a part for its owner, or takes the own one back."""
        if part.owner.member_id == self.point.me.member_id:
            return []
        left = self._kept.get(part.owner.member_id)
        if left is None or left.incarnation < part.incarnation:
            if len(self._kept) >= OWNERS_MAX:
                return []
            left = LeftBehind(part.incarnation, now_s)
            self._kept[part.owner.member_id] = left
        if left.incarnation > part.incarnation or len(left.parts) >= PARTS_MAX:
            return []
        left.parts[part.number] = part
        left.kept_s = now_s
        ack = HandoverAck(
            self.point.me.member_id,
            part.incarnation,
            part.number,
        )
        return [SendMessage(part.owner.endpoint(), ack)]

    def on_ask(self, ask: HandoverAsk) -> list[Action]:
        """Answers with parts from the number asked for, or with none."""
        left = self._kept.get(ask.owner.member_id)
        if left is not None and not _may_claim(left, ask):
            left = None
        if ask.is_done:
            if left is not None:
                self._kept.pop(ask.owner.member_id)
            return []
        if left is None or not left.is_whole():
            none = HandoverPart(self.point.me, 0, 0, 0, (), False, b'')
            return [SendMessage(ask.owner.endpoint(), none)]
        left.claimed_by = ask.incarnation
        first = min(ask.first_number, len(left.parts) - 1)
        last = min(first + PARTS_PER_TICK, len(left.parts))
        me = self.point.me.member_id
        return [
            SendMessage(
                ask.owner.endpoint(),
                evolve(left.parts[number], keeper_id=me),
            )
            for number in range(first, last)
        ]

    def on_return(self, part: HandoverPart, now_s: float) -> bool:
        """Takes an answer to an ask; True when all flows came back by it."""
        if not part.part_count:
            self._answered.add(part.owner.member_id)
            return False
        if part.incarnation >= self.point.incarnation or self._is_given_up:
            return False
        returned = self._returned
        if returned is None or returned.incarnation < part.incarnation:
            returned = LeftBehind(part.incarnation, now_s)
            self._returned = returned
            self._claimed.clear()
        if returned.incarnation > part.incarnation:
            return False
        returned.parts[part.number] = part
        self._claimed.add(part.keeper_id)
        if self._is_recovered or not returned.is_whole():
            return False
        self._take_back(returned, now_s)
        return True

    def keeps_for(self) -> frozenset[int]:
        """Returns the ids of the agents whose parts are kept here."""
        return frozenset(self._kept)

    def give_up(self) -> None:
        """Wants nothing back: the data centre was taken out."""
        self._is_recovered = True
        self._is_given_up = True

    def take_ledger(self) -> bytes:
        """Returns the ledger once, when no other copy can be adopted."""
        returned = self._returned
        if returned is None or self._is_ledger_taken:
            return b''
        if not self._is_settled():
            return b''
        self._is_ledger_taken = True
        ordered = [returned.parts[number] for number in sorted(returned.parts)]
        return b''.join(part.ledger for part in ordered)

    def awaits_ledger(self, now_s: float) -> bool:
        """Tells whether flows are back whose ledger may yet follow.

        Until then a request of such a flow can be neither run nor refused.
        """
        until_s = self._recovery_until_s
        is_open = until_s is not None and now_s < until_s
        return is_open and self._returned is not None and not self._is_settled()

    def _is_settled(self) -> bool:
        """Tells whether all that may have a copy gave it to this agent."""
        if self._returned is None or not self._is_recovered:
            return False
        return all(
            set(part.keeper_ids) <= self._claimed
            for part in self._returned.parts.values()
        )

    def tick(self, now_s: float) -> list[Action]:
        """Sends parts again, asks for the own ones, forgets old ones."""
        for owner_id, left in list(self._kept.items()):
            if now_s - left.kept_s > KEPT_S:
                self._kept.pop(owner_id)
        if self.is_started:
            self._choose_keepers()
        return [*self._send_owed(now_s), *self._ask(now_s)]

    def _choose_keepers(self) -> None:
        """Owes the parts to two members, of two data centres if any.

        Another is chosen for one that left or whose centre was taken out.
        """
        others = self._others()
        self._keepers &= {member.member_id for member in others}
        for owed_key in list(self._owed):
            if owed_key[0] not in self._keepers:
                self._owed.pop(owed_key)
        chosen = set(self._ever_keepers)
        while others and len(self._keepers) < KEEPER_COUNT:
            member = min(others, key=self._keeper_order)
            others.remove(member)
            self._keepers.add(member.member_id)
            chosen.add(member.member_id)
        if chosen != self._ever_keepers:
            self._ever_keepers = chosen
            self._owe_all()

    def _keeper_order(self, member: Member) -> tuple[bool, bool, bool, int]:
        centres = {
            other.data_centre
            for other in self._others()
            if other.member_id in self._keepers
        }
        return (
            member.member_id in self._keepers,
            member.data_centre in centres,
            member.state >= MemberState.DRAINING,
            member.member_id ^ self.point.me.member_id,
        )

    def _owe_all(self) -> None:
        """Owes all parts to all keepers, with the names of all copies."""
        ids = tuple(sorted(self._ever_keepers))
        named = [evolve(part, keeper_ids=ids) for part in self._parts]
        for member in self._others():
            if member.member_id in self._keepers:
                keeper = Candidate(
                    member.member_id, *member.endpoint.sockaddr()
                )
                for part in named:
                    owed = OwedPart(keeper, part)
                    self._owed[member.member_id, part.number] = owed

    def _others(self) -> list[Member]:
        return [
            member
            for member in self.point.view.targets(self.point.name)
            if member.member_id != self.point.me.member_id
        ]

    def _possible_keepers(self) -> list[Member]:
        """Returns whom to ask: also members whose data centre went out."""
        name = self.point.name
        return [
            member
            for member in self.point.view.members.values()
            if (member.team, member.service) == (name.team, name.service)
            and member.member_id != self.point.me.member_id
        ]

    def _send_owed(self, now_s: float) -> list[Action]:
        due = [owed for owed in self._owed.values() if owed.next_s <= now_s]
        actions: list[Action] = []
        for owed in due[:PARTS_PER_TICK]:
            owed.next_s = now_s + RETRY_S
            actions.append(SendMessage(owed.keeper.endpoint(), owed.part))
        return actions

    def _ask(self, now_s: float) -> list[Action]:
        others = self._possible_keepers()
        if self._recovery_until_s is None:
            if not self.point.view.members:
                return []
            self._recovery_until_s = now_s + RECOVERY_S
        if now_s < self._next_s or now_s >= self._recovery_until_s:
            return []
        self._next_s = now_s + RETRY_S
        ask = HandoverAsk(
            self.point.me,
            self.point.incarnation,
            self._first_missing(),
            self._is_given_up or self._is_settled(),
        )
        return [
            SendMessage(member.endpoint, ask)
            for member in others
            if member.member_id not in self._answered
        ]

    def _first_missing(self) -> int:
        number = 0
        while self._returned is not None and number in self._returned.parts:
            number += 1
        return number

    def _take_back(self, returned: LeftBehind, now_s: float) -> None:
        self._is_recovered = True
        ordered = [returned.parts[number] for number in sorted(returned.parts)]
        for part in ordered:
            for flow_key in part.flow_keys:
                flow = Flow(now_s, now_s, part.is_closing)
                self.table.held.setdefault(flow_key, flow)
                self.table.records.pop(flow_key, None)

    def _cut(self, ledger: bytes) -> list[HandoverPart]:
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
                self.point.me,
                self.point.incarnation,
                number,
                len(contents),
                *content,
            )
            for number, content in enumerate(contents)
        ]


def _may_claim(left: LeftBehind, ask: HandoverAsk) -> bool:
    if left.incarnation >= ask.incarnation:
        return False
    return left.claimed_by in {0, ask.incarnation}
