"""Rosters: the stored list of members of each data centre."""

import json
import zlib
from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field
from cattrs import Converter
from loguru import logger

from cumindrift.code import ResultCode
from cumindrift.membership.member import Member, MemberState
from cumindrift.objects.store import (
    ABSENT_VERSION,
    VALUE_BYTES_MAX,
    ObjectStore,
    StoredObject,
)
from cumindrift.outcome import Done, Outcome, Refused

KEY_PREFIX = 'roster/'
WRITE_PERIOD_S = 5.0
# Delay of a write per feeder rank (see `feeder_rank`), so that usually only
# the first feeder writes a change.
RANK_DELAY_S = 10.0
# A stored member that has not been seen for this long is removed.
UNSEEN_RETENTION_S = 600.0
WRITE_ID_BYTES = 8
DECOMPRESSED_BYTES_MAX = 8 * VALUE_BYTES_MAX

# Unknown fields are ignored: processes of two releases share a roster.
_CONVERTER = Converter(detailed_validation=False)


@define(frozen=True, slots=True)
class Roster:
    """The members of one data centre, sorted by id."""

    members: tuple[Member, ...] = ()


def roster_key(data_centre: str) -> str:
    """Returns the key of a data centre's roster."""
    return f'{KEY_PREFIX}{data_centre}'


def encode_roster(roster: Roster) -> bytes:
    """Returns the stored form: compressed JSON."""
    return zlib.compress(json.dumps(_CONVERTER.unstructure(roster)).encode())


def decode_roster(body: bytes) -> Done | Refused:
    """Decodes a stored roster; an absent one is empty."""
    if not body:
        return Done(Roster())
    try:
        document = zlib.decompressobj().decompress(body, DECOMPRESSED_BYTES_MAX)
    except zlib.error as error:
        return Refused(ResultCode.PLATFORM_MALFORMED, '$', str(error))
    try:
        return Done(_CONVERTER.structure(json.loads(document), Roster))
    except (LookupError, TypeError, ValueError) as error:
        return Refused(ResultCode.PLATFORM_MALFORMED, '$', repr(error))


def merge_members(first: Iterable[Member], second: Iterable[Member]) -> Roster:
    """Returns the newest record of each member that has not left."""
    newest: dict[int, Member] = {}
    for member in (*first, *second):
        known = newest.get(member.member_id)
        if known is None or member.newer_than(known):
            newest[member.member_id] = member
    return Roster(
        tuple(
            newest[member_id]
            for member_id in sorted(newest)
            if newest[member_id].state < MemberState.LEFT
        ),
    )


@define(slots=True, eq=False)
class RosterWriter:
    """Maintains the stored roster of a data centre; used by the feeder.

    Writes only changes, at most once per WRITE_PERIOD_S on average, and
    conditionally on the version that it has read, so that several writers
    may run at once.
    """

    data_centre: str
    store: ObjectStore
    random: Random
    # Called with the members of each stored roster.
    on_members: Callable[[tuple[Member, ...]], None]
    _version: int | None = None
    _stored: Roster = field(factory=Roster)
    _unseen_since_s: dict[int, float] = field(factory=dict)
    _waiting_since_s: float | None = None
    _is_busy: bool = False
    _next_s: float = 0.0

    def on_stored(self, stored: StoredObject) -> None:
        """Handles a stored version that was read, written or watched."""
        if self._version is not None and stored.version < self._version:
            return
        decoded = decode_roster(stored.body)
        if isinstance(decoded, Refused):
            logger.error(
                'the stored object {} is not a valid roster: {}',
                stored.key,
                decoded.summary(),
            )
            # The next write replaces it: gossip provides the members.
            decoded = Done(Roster())
        self._version = stored.version
        self._stored = decoded.content
        self.on_members(self._stored.members)

    def tick(
        self,
        members: Iterable[Member] | None,
        rank: int,
        now_s: float,
    ) -> None:
        """Reads the roster first, then writes changes.

        With `members` None the roster is only read, as is done for other
        data centres.
        """
        if self._is_busy or now_s < self._next_s:
            return
        self._next_s = now_s + WRITE_PERIOD_S * (0.5 + self.random.random())
        if self._version is None:
            self._is_busy = True
            self.store.read(roster_key(self.data_centre), self._on_read)
            return
        if members is None:
            return
        seen = [
            member
            for member in members
            if member.data_centre == self.data_centre
        ]
        wanted = merge_members(seen, self._retained(seen, now_s))
        if wanted == self._stored:
            self._waiting_since_s = None
        elif not rank or self._has_waited(rank, now_s):
            self._write(wanted)

    @property
    def is_read(self) -> bool:
        """Whether the stored roster was read."""
        return self._version is not None

    @property
    def version(self) -> int:
        """The version that was read or written last."""
        return self._version or ABSENT_VERSION

    @property
    def members(self) -> tuple[Member, ...]:
        """The members in the stored roster."""
        return self._stored.members

    def _retained(self, seen: list[Member], now_s: float) -> list[Member]:
        """Returns stored members seen within UNSEEN_RETENTION_S."""
        seen_ids = {member.member_id for member in seen}
        unseen = {
            member.member_id: self._unseen_since_s.get(
                member.member_id,
                now_s,
            )
            for member in self._stored.members
            if member.member_id not in seen_ids
        }
        self._unseen_since_s = unseen
        return [
            member
            for member in self._stored.members
            if now_s - unseen.get(member.member_id, now_s) < UNSEEN_RETENTION_S
        ]

    def _write(self, wanted: Roster) -> None:
        self._waiting_since_s = None
        self._is_busy = True
        self.store.write(
            roster_key(self.data_centre),
            encode_roster(wanted),
            self.version,
            self.random.randbytes(WRITE_ID_BYTES).hex(),
            self._on_written,
        )

    def _has_waited(self, rank: int, now_s: float) -> bool:
        if self._waiting_since_s is None:
            self._waiting_since_s = now_s
        return now_s - self._waiting_since_s >= rank * RANK_DELAY_S

    def _on_read(self, outcome: Outcome) -> None:
        self._is_busy = False
        if isinstance(outcome, Done):
            self.on_stored(outcome.content)

    def _on_written(self, outcome: Outcome) -> None:
        self._is_busy = False
        if isinstance(outcome, Done):
            self.on_stored(outcome.content)
        else:
            # Read again: another writer may have stored a version.
            self._version = None
