"""The settings writer: stores changes and replicates them to peers."""

from collections.abc import Callable, Mapping
from time import time
from typing import Protocol

from attrs import define, field
from loguru import logger

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.invariant import require
from cumindrift.objects.store import ObjectStore, StoredObject
from cumindrift.outcome import Done, NotRun, Outcome, Refused, Unknown
from cumindrift.settings.edit import WriteRequest, check_ownership, plan_write
from cumindrift.settings.record import (
    HistoryEntry,
    SettingsRecord,
    decode_record,
    encode_record,
)
from cumindrift.settings.tree import Snapshot

SETTINGS_KEY = 'settings'
# Limit on the reads of one write: each conflict or lost answer needs one.
READS_MAX = 6

WriteCallback = Callable[[Outcome], None]


class Publisher(Protocol):
    """The part of `Distribution` that the writer needs."""

    def publish(
        self,
        snapshot: Snapshot,
        on_replicated: Callable[[bool], None],
    ) -> bool:
        """Puts a snapshot in force here and replicates it to a few peers.

        `on_replicated` is called once: with True if enough peers confirmed
        this version or a newer one, with False if they did not in time.
        Returns False if it is not newer than the snapshot in force.
        """

    def versions(self, now_s: float) -> Mapping[Endpoint, int]:
        """Returns the versions that peers reported recently."""

    def survey(self) -> None:
        """Starts asking every peer for its version."""


@define(frozen=True, slots=True)
class WriteResult:
    """Result of a write: its version and the paths that it changed."""

    version: int
    paths: tuple[str, ...]


@define(slots=True, eq=False)
class SettingsWriter:
    """Writes the settings on behalf of the administration API.

    It keeps no state between writes. Each write is conditional on the
    version of the stored object, so neither a concurrent writer nor one that
    was paused overwrites a newer change.
    """

    store: ObjectStore
    publisher: Publisher
    wall_clock: Callable[[], float] = time
    key: str = SETTINGS_KEY

    def write(self, request: WriteRequest, on_outcome: WriteCallback) -> None:
        """Carries out one write; calls `on_outcome` once.

        `Done` holds a `WriteResult` with code 101, or 103 if there was
        nothing to change. After `Refused` and `NotRun` nothing has changed;
        after `Unknown` the write must be repeated with the same id.
        """
        refused = check_ownership(request)
        if refused is not None:
            on_outcome(refused)
            return
        _Attempt(self, request, on_outcome).read()

    def read_record(self, on_outcome: WriteCallback) -> None:
        """Reads the stored record; `Done` holds a `SettingsRecord`."""
        self.store.read(
            self.key,
            lambda outcome: on_outcome(_decode(outcome)),
        )


def _decode(outcome: Outcome) -> Outcome:
    """Decodes the record from an answer of the store."""
    if not isinstance(outcome, Done):
        return outcome
    stored: StoredObject = outcome.content
    decoded = decode_record(stored.body)
    if isinstance(decoded, Refused):
        logger.error(
            'the stored settings cannot be read: {}', decoded.summary()
        )
        return NotRun(ResultCode.PLATFORM_MALFORMED, decoded.summary())
    return decoded


@define(slots=True, eq=False)
class _Attempt:
    """One write in progress: read, plan, store and replicate."""

    writer: SettingsWriter
    request: WriteRequest
    on_outcome: WriteCallback
    reads: int = 0
    # The object last sent to the store. It is also `unconfirmed` if the answer
    # was lost, so that it may or may not have been stored.
    last_sent: StoredObject | None = None
    unconfirmed: StoredObject | None = None
    base: SettingsRecord = field(factory=SettingsRecord)
    planned: SettingsRecord = field(factory=SettingsRecord)
    paths: tuple[str, ...] = ()

    def read(self) -> None:
        """Reads the stored object, up to READS_MAX times."""
        self.reads += 1
        if self.reads <= READS_MAX:
            self.writer.store.read(self.writer.key, self._on_read)
        elif self.unconfirmed is None:
            self.on_outcome(NotRun(ResultCode.PLATFORM_CONFLICT))
        else:
            self.on_outcome(Unknown(ResultCode.PLATFORM_ANSWER_LOST))

    def _on_read(self, outcome: Outcome) -> None:
        decoded = _decode(outcome)
        if isinstance(decoded, Done):
            self._on_record(outcome.content, decoded.content)
        elif self.unconfirmed is None:
            self.on_outcome(decoded)
        else:
            self.on_outcome(Unknown(ResultCode.PLATFORM_ANSWER_LOST))

    def _on_record(self, stored: StoredObject, record: SettingsRecord) -> None:
        entry = record.entry_for(self.request.write_id)
        if entry:
            self._on_already_stored(record, entry)
        elif self.unconfirmed is None:
            self._plan_and_store(stored, record)
        elif stored.version == self.unconfirmed.version:
            self._store(self.unconfirmed)
        elif record.can_restore(self.base.version):
            # Another write took that version, so the unconfirmed one can no
            # longer take effect.
            self.unconfirmed = None
            self._plan_and_store(stored, record)
        else:
            self.on_outcome(Unknown(ResultCode.PLATFORM_ANSWER_LOST))

    def _on_already_stored(
        self, record: SettingsRecord, entry: HistoryEntry
    ) -> None:
        """Replicates a write that is already stored.

        The attempt that stored it may have ended before it replicated it.
        """
        self.paths = tuple(step.path for step in entry.undo)
        code = ResultCode.UNCHANGED
        if self.unconfirmed is not None:
            self._log_change()
            code = ResultCode.ACCEPTED
        self._replicate(record, entry.version, code)

    def _plan_and_store(
        self, stored: StoredObject, record: SettingsRecord
    ) -> None:
        plan = plan_write(record, self.request, self.writer.wall_clock())
        if isinstance(plan, Refused):
            self.on_outcome(plan)
            return
        if plan.code == ResultCode.UNCHANGED:
            self._replicate(record, record.version, plan.code)
            return
        self.base = record
        self.planned = plan.content.record
        self.paths = tuple(
            str(difference.path) for difference in plan.content.changed
        )
        encoded = encode_record(self.planned)
        if isinstance(encoded, Refused):
            self.on_outcome(encoded)
            return
        self._store(
            StoredObject(stored.key, stored.version, encoded.content),
        )

    def _store(self, base: StoredObject) -> None:
        self.last_sent = base
        self.writer.store.write(
            base.key,
            base.body,
            base.version,
            self.request.write_id,
            self._on_written,
        )

    def _on_written(self, outcome: Outcome) -> None:
        if isinstance(outcome, Done):
            self._log_change()
            version = self.planned.version
            self._replicate(self.planned, version, ResultCode.ACCEPTED)
        elif isinstance(outcome, Unknown):
            self.unconfirmed = self.last_sent
            self.read()
        elif isinstance(outcome, Refused) or self.unconfirmed is not None:
            self.read()
        else:
            self.on_outcome(outcome)

    def _log_change(self) -> None:
        request = self.request
        require(
            self.planned.version == self.base.version + 1,
            'settings-version-rises-by-one',
            base=self.base.version,
            planned=self.planned.version,
        )
        logger.info(
            'settings version {} by {}: {} {}',
            self.planned.version,
            request.author.name,
            request.kind,
            request.path,
        )

    def _replicate(
        self,
        record: SettingsRecord,
        version: int,
        code: ResultCode,
    ) -> None:
        """Replicates the newest snapshot to peers, then answers."""
        self.writer.publisher.publish(
            Snapshot(record.version, record.tree),
            lambda is_replicated: self._on_replicated(
                version, code, is_replicated
            ),
        )

    def _on_replicated(
        self,
        version: int,
        code: ResultCode,
        is_replicated: bool,
    ) -> None:
        if is_replicated:
            self.on_outcome(Done(WriteResult(version, self.paths), code))
        else:
            detail = f'version {version} is stored'
            self.on_outcome(Unknown(ResultCode.HANDOVER_PENDING, detail))
