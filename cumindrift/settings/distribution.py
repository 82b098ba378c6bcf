"""Distribution of settings snapshots to all processes."""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field
from loguru import logger

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.invariant import require
from cumindrift.membership.view import View
from cumindrift.metric import DROPS
from cumindrift.outcome import Refused
from cumindrift.settings.message import (
    ChunkRequest,
    SnapshotChunk,
    VersionReport,
)
from cumindrift.settings.snapshot import SnapshotStore
from cumindrift.settings.transfer import (
    CHUNK_COUNT_MAX,
    WINDOW_CHUNKS,
    IncomingTransfer,
    chunk_count,
    cut_chunk,
)
from cumindrift.settings.tree import Snapshot
from cumindrift.traffic.action import SendMessage

# A new version is pushed in ROUND_COUNT rounds, to FANOUT random peers each.
ROUND_S = 0.2
ROUND_COUNT = 5
FANOUT = 2
# Mean time between two exchanges of versions with a random peer.
EXCHANGE_PERIOD_S = 2.0
# The same for a process that has no settings yet.
JOIN_PERIOD_S = 0.5
CHUNK_RETRY_S = 0.4
TRANSFER_TIMEOUT_S = 10.0
# A published version counts as replicated once so many peers confirm it.
REPLICA_COUNT = 3
REPLICATION_TIMEOUT_S = 2.0
# Reports of peers' versions that are older than this are dropped.
REPORT_AGE_S = 60.0
SURVEY_PEERS_PER_TICK = 200

ReplicationCallback = Callable[[bool], None]


@define(slots=True)
class _Replication:
    """A published version that waits for confirmations from peers."""

    version: int
    on_replicated: ReplicationCallback
    deadline_s: float = 0.0
    next_s: float = 0.0
    confirmed: set[Endpoint] = field(factory=set)


@define(frozen=True, slots=True)
class _Report:
    version: int
    at_s: float


@define(slots=True, eq=False)
class Distribution:
    """Replicates snapshots of the settings between the processes.

    A process that puts a new version in force announces it to a few random
    peers in each of a few rounds. Peers that the rounds miss find it by the
    periodic exchange of versions with one random peer. There is one
    instance per process; it does no I/O, and callers pass in the time.
    """

    me: Endpoint
    seeds: tuple[Endpoint, ...]
    random: Random
    store: SnapshotStore
    _view: View = field(factory=View)
    _known_peers: tuple[Endpoint, ...] | None = None
    _rounds_left: int = 0
    _round_next_s: float = 0.0
    _exchange_next_s: float = 0.0
    _incoming: IncomingTransfer | None = None
    _replications: list[_Replication] = field(factory=list)
    _reports: dict[Endpoint, _Report] = field(factory=dict)
    _survey: deque[Endpoint] = field(factory=deque)

    def on_view(self, view: View) -> None:
        """Sets the members to distribute to."""
        self._view = view
        self._known_peers = None

    def publish(
        self,
        snapshot: Snapshot,
        on_replicated: ReplicationCallback | None = None,
    ) -> bool:
        """Puts a snapshot in force here and replicates it to peers.

        `on_replicated` is called once: with True as soon as REPLICA_COUNT
        peers (all, if there are fewer) confirm this version or a newer one,
        else with False after REPLICATION_TIMEOUT_S. Returns False if the
        snapshot is not newer than the one in force.
        """
        is_applied = self.store.apply(snapshot)
        if is_applied:
            self._start_rounds()
        if on_replicated is not None:
            self._replications.append(
                _Replication(snapshot.version, on_replicated)
            )
        return is_applied

    def versions(self, now_s: float) -> dict[Endpoint, int]:
        """Returns the versions that peers reported within REPORT_AGE_S."""
        return {
            peer: report.version
            for peer, report in self._reports.items()
            if now_s - report.at_s <= REPORT_AGE_S
        }

    def survey(self) -> None:
        """Starts asking every peer for its version; see `versions`."""
        self._survey = deque(self._peers())

    def receive(self, message: Any, now_s: float) -> list[SendMessage]:
        """Handles a message from a peer; returns the messages to send."""
        if isinstance(message, SnapshotChunk):
            return self._on_chunk(message, now_s)
        if isinstance(message, ChunkRequest):
            return self._on_chunk_request(message)
        return self._on_report(message, now_s)

    def tick(self, now_s: float) -> list[SendMessage]:
        """Returns the messages that are due."""
        return [
            *self._tick_rounds(now_s),
            *self._tick_exchange(now_s),
            *self._tick_incoming(now_s),
            *self._tick_replications(now_s),
            *self._tick_survey(),
        ]

    @property
    def is_busy(self) -> bool:
        """Whether the next tick has work besides the periodic exchange."""
        return bool(
            self._rounds_left
            or self._incoming
            or self._replications
            or self._survey,
        )

    def _start_rounds(self) -> None:
        self._rounds_left = ROUND_COUNT
        self._round_next_s = 0.0

    def _tick_rounds(self, now_s: float) -> list[SendMessage]:
        if not self._rounds_left or now_s < self._round_next_s:
            return []
        self._rounds_left -= 1
        self._round_next_s = now_s + ROUND_S * (0.5 + self.random.random())
        return [self._announce(peer) for peer in self._random_peers(FANOUT)]

    def _tick_exchange(self, now_s: float) -> list[SendMessage]:
        if now_s < self._exchange_next_s:
            return []
        is_joining = self.store.snapshot.version == 0
        period_s = JOIN_PERIOD_S if is_joining else EXCHANGE_PERIOD_S
        self._exchange_next_s = now_s + period_s * (0.5 + self.random.random())
        self._reports = {
            peer: report
            for peer, report in self._reports.items()
            if now_s - report.at_s <= REPORT_AGE_S
        }
        return [
            self._report_to(peer, wants_answer=is_joining)
            for peer in self._random_peers(1)
        ]

    def _tick_incoming(self, now_s: float) -> list[SendMessage]:
        incoming = self._incoming
        if incoming is None or now_s < incoming.progress_s + CHUNK_RETRY_S:
            return []
        if now_s >= incoming.started_s + TRANSFER_TIMEOUT_S:
            # A later exchange starts a new transfer, perhaps from other peers.
            self._incoming = None
            return []
        return [self._request_chunks(incoming, now_s)]

    def _tick_replications(self, now_s: float) -> list[SendMessage]:
        sent: list[SendMessage] = []
        for replication in list(self._replications):
            if not replication.deadline_s:
                replication.deadline_s = now_s + REPLICATION_TIMEOUT_S
            is_replicated = self._is_replicated(replication)
            if is_replicated or now_s >= replication.deadline_s:
                self._replications.remove(replication)
                replication.on_replicated(is_replicated)
            elif now_s >= replication.next_s:
                replication.next_s = now_s + ROUND_S
                sent.extend(
                    self._report_to(peer, wants_answer=True)
                    for peer in self._random_peers(REPLICA_COUNT)
                )
        return sent

    def _is_replicated(self, replication: _Replication) -> bool:
        wanted = min(REPLICA_COUNT, len(self._peers()))
        return len(replication.confirmed) >= wanted

    def _tick_survey(self) -> list[SendMessage]:
        count = min(SURVEY_PEERS_PER_TICK, len(self._survey))
        return [
            self._report_to(self._survey.popleft(), wants_answer=True)
            for _ in range(count)
        ]

    def _on_report(
        self,
        report: VersionReport,
        now_s: float,
    ) -> list[SendMessage]:
        self._record_report(report, now_s)
        mine = self.store.packed
        answers: list[SendMessage] = []
        if report.version > mine.version:
            request = ChunkRequest(self.me, report.version, (0,))
            answers.append(SendMessage(report.sender, request))
        elif report.version < mine.version:
            answers.append(self._announce(report.sender))
        else:
            require(
                report.digest == mine.digest,
                'settings-version-has-one-content',
                version=mine.version,
                peer=str(report.sender),
            )
        if report.wants_answer:
            answers.append(self._report_to(report.sender, wants_answer=False))
        return answers

    def _record_report(self, report: VersionReport, now_s: float) -> None:
        self._reports[report.sender] = _Report(report.version, now_s)
        for replication in self._replications:
            if report.version >= replication.version:
                replication.confirmed.add(report.sender)

    def _on_chunk_request(self, request: ChunkRequest) -> list[SendMessage]:
        mine = self.store.packed
        if request.version > mine.version:
            return []
        if request.version < mine.version:
            return [self._announce(request.sender)]
        count = chunk_count(mine)
        return [
            SendMessage(request.sender, cut_chunk(mine, number, self.me))
            for number in request.numbers[:WINDOW_CHUNKS]
            if number < count
        ]

    def _on_chunk(
        self,
        chunk: SnapshotChunk,
        now_s: float,
    ) -> list[SendMessage]:
        incoming = self._transfer_of(chunk, now_s)
        if incoming is None:
            return []
        incoming.add(chunk, now_s)
        if incoming.is_complete:
            self._finish(incoming)
            return self._tick_rounds(now_s)
        if incoming.is_waiting:
            return []
        return [self._request_chunks(incoming, now_s)]

    def _transfer_of(
        self,
        chunk: SnapshotChunk,
        now_s: float,
    ) -> IncomingTransfer | None:
        """Returns the transfer that a chunk belongs to, None if useless.

        A chunk of a newer version starts a new transfer.
        """
        if chunk.version <= self.store.snapshot.version:
            return None
        if not 0 < chunk.chunk_count <= CHUNK_COUNT_MAX:
            DROPS.labels(ResultCode.SNAPSHOT_CORRUPT.name).inc()
            return None
        current = self._incoming
        if current is not None:
            if current.matches(chunk):
                return current
            if chunk.version < current.version:
                return None
        self._incoming = IncomingTransfer(
            chunk.version,
            chunk.digest,
            chunk.chunk_count,
            progress_s=now_s,
            started_s=now_s,
        )
        return self._incoming

    def _finish(self, incoming: IncomingTransfer) -> None:
        self._incoming = None
        applied = self.store.apply_packed(incoming.assemble())
        if isinstance(applied, Refused):
            DROPS.labels(ResultCode.SNAPSHOT_CORRUPT.name).inc()
            logger.error('invalid snapshot from peers: {}', applied.summary())
        else:
            self._start_rounds()

    def _request_chunks(
        self, incoming: IncomingTransfer, now_s: float
    ) -> SendMessage:
        numbers = incoming.next_request(now_s)
        source = self.random.choice(incoming.sources)
        return SendMessage(
            source, ChunkRequest(self.me, incoming.version, numbers)
        )

    def _announce(self, peer: Endpoint) -> SendMessage:
        return SendMessage(peer, cut_chunk(self.store.packed, 0, self.me))

    def _report_to(self, peer: Endpoint, *, wants_answer: bool) -> SendMessage:
        mine = self.store.packed
        report = VersionReport(
            self.me,
            mine.version,
            mine.digest,
            wants_answer,
        )
        return SendMessage(peer, report)

    def _random_peers(self, count: int) -> list[Endpoint]:
        peers = self._peers()
        return self.random.sample(peers, min(count, len(peers)))

    def _peers(self) -> tuple[Endpoint, ...]:
        """Returns the other members, or the seeds while none is known."""
        if self._known_peers is None:
            members = (
                member.endpoint for member in self._view.members.values()
            )
            known = tuple(peer for peer in members if peer != self.me)
            seeds = tuple(peer for peer in self.seeds if peer != self.me)
            self._known_peers = known or seeds
        return self._known_peers
