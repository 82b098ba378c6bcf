"""Transfers of packed snapshots, split into chunks."""

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.settings.message import SnapshotChunk
from cumindrift.settings.snapshot import DOCUMENT_BYTES_MAX, PackedSnapshot

# With header, digest and MAC a chunk fits one Ethernet frame.
CHUNK_BYTES = 1200
CHUNK_COUNT_MAX = DOCUMENT_BYTES_MAX // CHUNK_BYTES + 1
WINDOW_CHUNKS = 64


def chunk_count(packed: PackedSnapshot) -> int:
    """Returns the number of chunks of a packed snapshot."""
    return -(-len(packed.octets) // CHUNK_BYTES)


def cut_chunk(
    packed: PackedSnapshot,
    number: int,
    sender: Endpoint,
) -> SnapshotChunk:
    """Returns chunk `number` of a snapshot, counted from 0."""
    start = number * CHUNK_BYTES
    return SnapshotChunk(
        sender,
        packed.version,
        packed.digest,
        number,
        chunk_count(packed),
        packed.octets[start : start + CHUNK_BYTES],
    )


@define(slots=True)
class IncomingTransfer:
    """A snapshot that is being received.

    `sources` are the peers that sent chunks of it; `progress_s` is the time
    of the last new chunk or request.
    """

    version: int
    digest: bytes
    chunk_count: int
    progress_s: float
    started_s: float
    sources: list[Endpoint] = field(factory=list)
    _chunks: dict[int, bytes] = field(factory=dict)
    _requested: set[int] = field(factory=set)

    def matches(self, chunk: SnapshotChunk) -> bool:
        """Returns whether a chunk belongs to this transfer."""
        return (
            chunk.version == self.version
            and chunk.digest == self.digest
            and chunk.chunk_count == self.chunk_count
        )

    def add(self, chunk: SnapshotChunk, now_s: float) -> None:
        """Stores a chunk; a duplicate changes nothing."""
        if chunk.sender not in self.sources:
            self.sources.append(chunk.sender)
        self._requested.discard(chunk.number)
        if chunk.number < self.chunk_count:
            if chunk.number not in self._chunks:
                self.progress_s = now_s
            self._chunks.setdefault(chunk.number, chunk.body)

    @property
    def is_complete(self) -> bool:
        """Whether all chunks were received."""
        return len(self._chunks) == self.chunk_count

    @property
    def is_waiting(self) -> bool:
        """Whether requested chunks are still missing."""
        return bool(self._requested)

    def next_request(self, now_s: float) -> tuple[int, ...]:
        """Returns the next missing chunk numbers, marked as requested."""
        missing = [
            number
            for number in range(self.chunk_count)
            if number not in self._chunks
        ]
        self._requested = set(missing[:WINDOW_CHUNKS])
        self.progress_s = now_s
        return tuple(missing[:WINDOW_CHUNKS])

    def assemble(self) -> PackedSnapshot:
        """Returns the packed snapshot; requires that it is complete."""
        octets = b''.join(
            self._chunks[number] for number in range(self.chunk_count)
        )
        return PackedSnapshot(self.version, self.digest, octets)
