"""Feeders: the few processes that watch the platform store for the rest."""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field
from loguru import logger
from xxhash import xxh3_64_intdigest

from cumindrift.membership.member import Member, MemberState
from cumindrift.objects.roster import RosterWriter, roster_key
from cumindrift.objects.store import ABSENT_VERSION, ObjectStore, StoredObject
from cumindrift.outcome import Done, Outcome, Refused
from cumindrift.settings.distribution import Distribution
from cumindrift.settings.record import decode_record
from cumindrift.settings.tree import Snapshot
from cumindrift.settings.writer import SETTINGS_KEY

FEEDER_COUNT = 2
FEEDER_CHECK_PERIOD_S = 1.0
# A new process waits this long for its seeds before it calls the platform.
START_GRACE_S = 4.0


def decode_settings(stored: StoredObject) -> Done | Refused:
    """Decodes the stored settings; `Done` holds a `Snapshot`."""
    decoded = decode_record(stored.body)
    if isinstance(decoded, Refused):
        return decoded
    return Done(Snapshot(decoded.content.version, decoded.content.tree))


def feeder_rank(me: Member, members: Iterable[Member]) -> int:
    """Returns the rank of `me` among the members of its data centre.

    Members are ordered by a hash of their names: all processes that see the
    same members find the same order, and similar names do not cluster.
    """
    mine = _weight(me)
    return sum(
        _weight(member) < mine
        for member in members
        if member.data_centre == me.data_centre
        and member.state < MemberState.LEFT
        and member.member_id != me.member_id
    )


def _weight(member: Member) -> tuple[int, int]:
    digest = xxh3_64_intdigest(f'feeder/{member.name}'.encode())
    return (digest, member.member_id)


@define(slots=True, eq=False)
class Feeder:
    """Watches the platform store while this process is an active feeder.

    The first FEEDER_COUNT members of a data centre are active; the others
    make no calls. While processes have different views there may be one
    feeder too many or too few. This is harmless: snapshots are ordered by
    version, and rosters are written conditionally.
    """

    me: Member
    store: ObjectStore
    random: Random
    distribution: Distribution
    members: Callable[[], Iterable[Member]]
    on_members: Callable[[tuple[Member, ...]], None]
    is_active: bool = False
    _rosters: dict[str, RosterWriter] = field(factory=dict)
    _open_watches: set[str] = field(factory=set)
    # Newest version seen of the settings object, also if it was unreadable.
    _seen_version: int = ABSENT_VERSION
    _next_s: float = 0.0
    _grace_until_s: float = 0.0

    def tick(self, now_s: float) -> None:
        """Decides once per period whether this process is an active feeder."""
        if now_s < self._next_s:
            return
        self._next_s = now_s + FEEDER_CHECK_PERIOD_S * (
            0.5 + self.random.random()
        )
        members = tuple(self.members())
        if not self._is_settled(members, now_s):
            return
        rank = feeder_rank(self.me, members)
        self._set_active(is_active=rank < FEEDER_COUNT)
        if not self.is_active:
            return
        self._watch_settings()
        own = self.me.data_centre
        self._update_roster(own, members, rank, now_s)
        for data_centre in self._unseen_data_centres(members):
            self._update_roster(data_centre, None, rank, now_s)

    def _is_settled(self, members: tuple[Member, ...], now_s: float) -> bool:
        """Returns whether peers are known or the grace time is over."""
        if not self._grace_until_s:
            jitter = 0.5 + self.random.random()
            self._grace_until_s = now_s + START_GRACE_S * jitter
        return len(members) > 1 or now_s >= self._grace_until_s

    def _set_active(self, *, is_active: bool) -> None:
        if is_active == self.is_active:
            return
        self.is_active = is_active
        logger.info('feeder of {}: {}', self.me.data_centre, is_active)
        if not is_active:
            # Rosters become outdated meanwhile, so they are read again later.
            self._rosters.clear()

    def _unseen_data_centres(self, members: tuple[Member, ...]) -> set[str]:
        """Returns the other data centres without any known member."""
        tree = self.distribution.store.snapshot.tree
        seen = {member.data_centre for member in members}
        return set(tree.data_centres) - seen - {self.me.data_centre}

    def _watch_settings(self) -> None:
        if SETTINGS_KEY in self._open_watches:
            return
        self._open_watches.add(SETTINGS_KEY)
        self.store.watch(SETTINGS_KEY, self._seen_version, self._on_settings)

    def _on_settings(self, outcome: Outcome) -> None:
        self._open_watches.discard(SETTINGS_KEY)
        if not isinstance(outcome, Done):
            return
        self._seen_version = outcome.content.version
        decoded = decode_settings(outcome.content)
        if isinstance(decoded, Refused):
            logger.error(
                'invalid settings from the platform: {}', decoded.summary()
            )
            return
        self.distribution.publish(decoded.content)
        if self.is_active:
            self._watch_settings()

    def _update_roster(
        self,
        data_centre: str,
        members: tuple[Member, ...] | None,
        rank: int,
        now_s: float,
    ) -> None:
        writer = self._rosters.get(data_centre)
        if writer is None:
            writer = RosterWriter(
                data_centre,
                self.store,
                self.random,
                self.on_members,
            )
            self._rosters[data_centre] = writer
        writer.tick(members, rank, now_s)
        if writer.is_read:
            self._watch_roster(writer)

    def _watch_roster(self, writer: RosterWriter) -> None:
        key = roster_key(writer.data_centre)
        if key in self._open_watches:
            return
        self._open_watches.add(key)

        def on_roster(outcome: Outcome) -> None:
            self._open_watches.discard(key)
            if isinstance(outcome, Done):
                writer.on_stored(outcome.content)

        self.store.watch(key, writer.version, on_roster)
