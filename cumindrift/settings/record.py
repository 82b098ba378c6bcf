"""The stored object of the settings: the tree with its history."""

import json
import zlib
from typing import Any

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.document import make_converter, parse_strict, structure
from cumindrift.objects.store import VALUE_BYTES_MAX
from cumindrift.outcome import Done, Refused
from cumindrift.settings.path import (
    ABSENT,
    Difference,
    SettingsPath,
    parse_path,
    put_at,
)
from cumindrift.settings.tree import Tree

HISTORY_COUNT_MAX = 200
# Bodies are compressed JSON; this much text is read from one.
_TEXT_BYTES_MAX = 16 * VALUE_BYTES_MAX
_COMPRESSION_LEVEL = 1

# Stored trees leave out what has its default value.
_CONVERTER = make_converter(omits_defaults=True)


@define(frozen=True, slots=True)
class UndoStep:
    """What stood at a path before a change; nothing when absent."""

    path: str
    is_present: bool = True
    before: Any = None


@define(frozen=True, slots=True)
class HistoryEntry:
    """One accepted change: who made it, and the steps that undo it."""

    version: int
    write_id: str
    author: str
    changed_at_s: float
    path: str
    undo: tuple[UndoStep, ...] = ()
    # False when the steps were too large to be kept.
    has_undo: bool = True


@define(frozen=True, slots=True)
class SettingsRecord:
    """A version of the tree, with the changes that led to it.

    The newest change comes first in `history` and tells who wrote this
    version. Older states are found by undoing changes one by one.
    """

    version: int = 0
    tree: Tree = field(factory=Tree)
    history: tuple[HistoryEntry, ...] = ()

    @property
    def write_id(self) -> str:
        """Returns the id of the write that made this version."""
        return self.history[0].write_id if self.history else ''

    def entry_for(self, write_id: str) -> HistoryEntry | None:
        """Returns the change made by a write, if it is remembered."""
        for entry in self.history:
            if entry.write_id == write_id:
                return entry
        return None

    def can_restore(self, version: int) -> bool:
        """Tells whether the state of an earlier version can be found."""
        undone = self.changes_after(version)
        return (
            0 <= version <= self.version
            and len(undone) == self.version - version
            and all(entry.has_undo for entry in undone)
        )

    def changes_after(self, version: int) -> list[HistoryEntry]:
        """Returns the remembered changes that came after a version."""
        return [entry for entry in self.history if entry.version > version]

    def paths_after(self, version: int) -> list[SettingsPath]:
        """Returns the places that changed after a version."""
        return [
            parse_path(step.path)
            for entry in self.changes_after(version)
            for step in entry.undo
        ]

    def unstructured_at(self, version: int) -> Any:
        """Returns the bare tree of a version that `can_restore` allows."""
        bare = unstructure_tree(self.tree)
        for entry in self.changes_after(version):
            for step in entry.undo:
                before = step.before if step.is_present else ABSENT
                undone = put_at(bare, parse_path(step.path), before)
                if isinstance(undone, Done):
                    bare = undone.content
        return bare


_FULL_CONVERTER = make_converter()


def unstructure_tree(tree: Tree) -> Any:
    """Returns a tree as bare objects, with every default spelt out."""
    return _FULL_CONVERTER.unstructure(tree)


def undo_steps(changed: list[Difference]) -> tuple[UndoStep, ...]:
    """Returns the steps that undo the given differences."""
    steps = []
    for difference in changed:
        is_present = difference.before is not ABSENT
        before = difference.before if is_present else None
        steps.append(UndoStep(str(difference.path), is_present, before))
    return tuple(steps)


def encode_record(record: SettingsRecord) -> Done | Refused:
    """Returns the body to store; the oldest history yields to the limit.

    Code 409 when the tree alone is too large.
    """
    history = record.history[:HISTORY_COUNT_MAX]
    body = _encode(evolve(record, history=history))
    while len(body) > VALUE_BYTES_MAX and len(history) > 1:
        history = history[: len(history) // 2]
        body = _encode(evolve(record, history=history))
    if len(body) > VALUE_BYTES_MAX:
        last = evolve(history[0], undo=(), has_undo=False)
        body = _encode(evolve(record, history=(last,)))
    if len(body) > VALUE_BYTES_MAX:
        detail = f'{len(body)} bytes, {VALUE_BYTES_MAX} are allowed'
        return Refused(ResultCode.TOO_LARGE, '/', detail)
    return Done(body)


def decode_record(body: bytes) -> Done | Refused:
    """Returns the record of a stored body; an empty one has version 0."""
    if not body:
        return Done(SettingsRecord())
    text = _decompress(body)
    if isinstance(text, Refused):
        return text
    parsed = parse_strict(text.content)
    if isinstance(parsed, Refused):
        return parsed
    return structure(parsed.content, SettingsRecord)


def _encode(record: SettingsRecord) -> bytes:
    bare = _CONVERTER.unstructure(record)
    text = json.dumps(bare, separators=(',', ':'))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def _decompress(body: bytes) -> Done | Refused:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, _TEXT_BYTES_MAX)
    except zlib.error as error:
        return Refused(ResultCode.SYNTAX, '$', str(error))
    if not decompressor.eof:
        return Refused(ResultCode.SYNTAX, '$', 'cut short, or too large')
    return Done(text)
