"""Snapshots of the settings in force in this process."""

import json
from collections.abc import Callable
from hashlib import blake2b

from attrs import define, field
from loguru import logger

from cumindrift.document import parse_document, unstructure
from cumindrift.outcome import Refused
from cumindrift.settings.message import SnapshotPush
from cumindrift.settings.tree import Snapshot, Tree


def digest_of(document: bytes) -> bytes:
    """Returns the digest under which a document travels."""
    return blake2b(document, digest_size=16).digest()


def encode_snapshot(snapshot: Snapshot) -> SnapshotPush:
    """Returns the message that carries a snapshot."""
    document = json.dumps(unstructure(snapshot.tree)).encode()
    return SnapshotPush(snapshot.version, digest_of(document), document)


@define(slots=True)
class SnapshotStore:
    """Holds the newest snapshot; its version never goes down."""

    on_snapshot: Callable[[Snapshot], None]
    snapshot: Snapshot = field(factory=lambda: Snapshot(0, Tree()))

    def take(self, snapshot: Snapshot) -> bool:
        """Puts a newer snapshot in force; False for any other."""
        if snapshot.version <= self.snapshot.version:
            return False
        self.snapshot = snapshot
        self.on_snapshot(snapshot)
        return True

    def take_push(self, push: SnapshotPush) -> bool:
        """Checks a pushed snapshot whole before it is taken."""
        if push.version <= self.snapshot.version:
            return False
        if digest_of(push.document) != push.digest:
            return False
        parsed = parse_document(push.document.decode(), Tree)
        if isinstance(parsed, Refused):
            logger.error('a pushed snapshot is refused: {}', parsed.line())
            return False
        return self.take(Snapshot(push.version, parsed.content))
