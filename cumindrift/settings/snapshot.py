"""Snapshots of the settings in force in this process."""

import json
import zlib
from collections.abc import Callable
from hashlib import blake2b

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.document import parse_strict, structure, unstructure
from cumindrift.invariant import require
from cumindrift.outcome import Done, Refused
from cumindrift.platform.store import VALUE_BYTES_MAX
from cumindrift.settings.tree import Snapshot, Tree

DIGEST_BYTES = 16
# The tree with default values written out, which the platform leaves away.
DOCUMENT_BYTES_MAX = 4 * VALUE_BYTES_MAX


@define(frozen=True, slots=True)
class PackedSnapshot:
    """A snapshot as it travels: compressed, with its document's digest."""

    version: int
    digest: bytes
    octets: bytes


def digest_of(document: bytes) -> bytes:
    """Returns the digest under which a document travels."""
    return blake2b(document, digest_size=DIGEST_BYTES).digest()


def pack_snapshot(snapshot: Snapshot) -> PackedSnapshot:
    """Returns the one packed form of a snapshot, equal in all processes."""
    document = json.dumps(
        unstructure(snapshot.tree),
        sort_keys=True,
        separators=(',', ':'),
    ).encode()
    return PackedSnapshot(
        snapshot.version,
        digest_of(document),
        zlib.compress(document),
    )


def unpack_snapshot(packed: PackedSnapshot) -> Done | Refused:
    """Checks a packed snapshot whole; `Done` holds the `Snapshot`."""
    try:
        document = zlib.decompressobj().decompress(
            packed.octets,
            DOCUMENT_BYTES_MAX,
        )
    except zlib.error as error:
        return Refused(ResultCode.SNAPSHOT_CORRUPT, '$', str(error))
    if digest_of(document) != packed.digest:
        return Refused(ResultCode.SNAPSHOT_CORRUPT, '$', 'wrong digest')
    parsed = parse_strict(document)
    if isinstance(parsed, Refused):
        return parsed
    structured = structure(parsed.content, Tree)
    if isinstance(structured, Refused):
        return structured
    return Done(Snapshot(packed.version, structured.content))


@define(slots=True)
class SnapshotStore:
    """Holds the newest snapshot; its version never goes down."""

    on_snapshot: Callable[[Snapshot], None]
    snapshot: Snapshot = field(factory=lambda: Snapshot(0, Tree()))
    packed: PackedSnapshot = field(
        factory=lambda: pack_snapshot(Snapshot(0, Tree())),
    )

    def take(self, snapshot: Snapshot) -> bool:
        """Puts a newer snapshot in force; False for any other."""
        if snapshot.version <= self.snapshot.version:
            return False
        self._put_in_force(snapshot, pack_snapshot(snapshot))
        return True

    def take_packed(self, packed: PackedSnapshot) -> Done | Refused:
        """Checks a packed snapshot whole and puts it in force if newer."""
        if packed.version <= self.snapshot.version:
            return Refused(ResultCode.VERSION_CONFLICT, '$', 'not newer')
        unpacked = unpack_snapshot(packed)
        if isinstance(unpacked, Done):
            self._put_in_force(unpacked.content, packed)
        return unpacked

    def _put_in_force(
        self,
        snapshot: Snapshot,
        packed: PackedSnapshot,
    ) -> None:
        require(
            snapshot.version > self.snapshot.version,
            'settings-version-goes-up',
            old=self.snapshot.version,
            new=snapshot.version,
        )
        self.snapshot = snapshot
        self.packed = packed
        self.on_snapshot(snapshot)
