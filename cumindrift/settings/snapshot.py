"""Snapshots of the settings: packing, and the one in force here."""

import json
import zlib
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.document import make_converter, structure
from cumindrift.invariant import require
from cumindrift.objects.store import VALUE_BYTES_MAX
from cumindrift.outcome import Done, Refused
from cumindrift.settings.tree import Snapshot, Tree

DIGEST_BYTES = 16
# Larger than any tree that the platform can store.
DOCUMENT_BYTES_MAX = 2 * VALUE_BYTES_MAX

# Fields with default values are omitted, so that a release with a new field
# packs a tree as the older release does, until the field is set.
_CONVERTER = make_converter(omits_defaults=True)


@define(frozen=True, slots=True)
class PackedSnapshot:
    """A snapshot as sent to peers: compressed, with the document's digest."""

    version: int
    digest: bytes
    octets: bytes


def digest_of(document: bytes) -> bytes:
    """Returns the digest of an uncompressed document."""
    return blake2b(document, digest_size=DIGEST_BYTES).digest()


def pack_snapshot(snapshot: Snapshot) -> PackedSnapshot:
    """Packs a snapshot; the result is the same in all processes."""
    document = json.dumps(
        _unstructure(snapshot.tree),
        sort_keys=True,
        separators=(',', ':'),
    ).encode()
    return PackedSnapshot(
        snapshot.version,
        digest_of(document),
        zlib.compress(document),
    )


def _unstructure(tree: Tree) -> Any:
    return _CONVERTER.unstructure(tree)


def unpack_document(packed: PackedSnapshot) -> Done | Refused:
    """Unpacks a snapshot and checks its digest.

    `Done` holds the unstructured tree.
    """
    try:
        document = zlib.decompressobj().decompress(
            packed.octets,
            DOCUMENT_BYTES_MAX,
        )
    except zlib.error as error:
        return Refused(ResultCode.SNAPSHOT_CORRUPT, '$', str(error))
    if digest_of(document) != packed.digest:
        return Refused(ResultCode.SNAPSHOT_CORRUPT, '$', 'wrong digest')
    try:
        return Done(json.loads(document))
    except ValueError as error:
        return Refused(ResultCode.SYNTAX, '$', str(error))


def structure_changes(
    unstructured: Any, known: Any, known_tree: Tree
) -> Done | Refused:
    """Turns an unstructured tree into a `Tree`, reusing unchanged services.

    `known` is the unstructured form of `known_tree`. Services that did not
    change are taken from `known_tree`: structuring all of a large tree
    would block the event loop for a third of a second.
    """
    if not _has_services(unstructured):
        return structure(unstructured, Tree)
    known_teams = known['teams'] if _has_services(known) else {}
    unchanged = {
        name: _unchanged(team, known_teams.get(name, {}))
        for name, team in unstructured['teams'].items()
    }
    reduced = {
        name: {**team, 'services': _without(team, unchanged[name])}
        for name, team in unstructured['teams'].items()
    }
    structured = structure({**unstructured, 'teams': reduced}, Tree)
    if isinstance(structured, Refused):
        return structured
    return Done(_with_unchanged(structured.content, unchanged, known_tree))


def _with_unchanged(
    fresh: Tree,
    unchanged: dict[str, frozenset[str]],
    known_tree: Tree,
) -> Tree:
    teams = {}
    for name, team in fresh.teams.items():
        services = dict(team.services)
        for service in unchanged[name]:
            services[service] = known_tree.teams[name].services[service]
        teams[name] = evolve(team, services=services)
    return evolve(fresh, teams=teams)


def _has_services(unstructured: Any) -> bool:
    """Returns whether teams and services have the expected structure."""
    teams = (
        unstructured.get('teams') if isinstance(unstructured, dict) else None
    )
    return isinstance(teams, dict) and all(
        isinstance(team, dict) and isinstance(team.get('services', {}), dict)
        for team in teams.values()
    )


def _unchanged(team: Any, known_team: Any) -> frozenset[str]:
    known = known_team.get('services', {})
    return frozenset(
        name
        for name, service in team.get('services', {}).items()
        if name in known and known[name] == service
    )


def _without(team: Any, names: frozenset[str]) -> Any:
    return {
        name: service
        for name, service in team.get('services', {}).items()
        if name not in names
    }


@define(slots=True)
class SnapshotStore:
    """Holds the snapshot in force; its version only goes up."""

    on_snapshot: Callable[[Snapshot], None]
    snapshot: Snapshot = field(factory=lambda: Snapshot(0, Tree()))
    packed: PackedSnapshot = field(
        factory=lambda: pack_snapshot(Snapshot(0, Tree())),
    )
    # The tree in force, unstructured, to find the changes of the next one.
    _unstructured: Any = field(factory=dict)

    def apply(self, snapshot: Snapshot) -> bool:
        """Puts a snapshot in force; returns False if it is not newer."""
        if snapshot.version <= self.snapshot.version:
            return False
        packed = pack_snapshot(snapshot)
        self._activate(snapshot, packed, _unstructure(snapshot.tree))
        return True

    def apply_packed(self, packed: PackedSnapshot) -> Done | Refused:
        """Validates a packed snapshot; puts it in force if it is newer."""
        if packed.version <= self.snapshot.version:
            return Refused(
                ResultCode.VERSION_CONFLICT,
                '$',
                'not newer than the one in force',
            )
        unpacked = unpack_document(packed)
        if isinstance(unpacked, Refused):
            return unpacked
        unstructured = unpacked.content
        structured = structure_changes(
            unstructured, self._unstructured, self.snapshot.tree
        )
        if isinstance(structured, Done):
            snapshot = Snapshot(packed.version, structured.content)
            self._activate(snapshot, packed, unstructured)
        return structured

    def _activate(
        self,
        snapshot: Snapshot,
        packed: PackedSnapshot,
        unstructured: Any,
    ) -> None:
        require(
            snapshot.version > self.snapshot.version,
            'settings-version-goes-up',
            old=self.snapshot.version,
            new=snapshot.version,
        )
        self.snapshot = snapshot
        self.packed = packed
        self._unstructured = unstructured
        self.on_snapshot(snapshot)
