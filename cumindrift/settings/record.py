"""The stored settings: a version of the tree with its history."""

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
# Bodies are compressed JSON; longer texts are refused when decompressed.
_TEXT_BYTES_MAX = 16 * VALUE_BYTES_MAX
_COMPRESSION_LEVEL = 1

# Stored trees omit fields that have their default value.
_CONVERTER = make_converter(omits_defaults=True)


@define(frozen=True, slots=True)
class UndoStep:
    """Content of a path before a change; `is_present` is False if none."""

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
    # False if the undo steps were dropped because they were too large.
    has_undo: bool = True


@define(frozen=True, slots=True)
class SettingsRecord:
    """A version of the tree, with the history of changes that led to it.

    The first entry of `history` is the newest change, which made this
    version. Earlier versions are restored by undoing changes one by one.
    """

    version: int = 0
    tree: Tree = field(factory=Tree)
    history: tuple[HistoryEntry, ...] = ()

    @property
    def write_id(self) -> str:
        """The id of the write that made this version."""
        return self.history[0].write_id if self.history else ''

    def entry_for(self, write_id: str) -> HistoryEntry | None:
        """Returns the change made by a write if the history has it."""
        for entry in self.history:
            if entry.write_id == write_id:
                return entry
        return None

    def can_restore(self, version: int) -> bool:
        """Returns whether the history reaches back to a version."""
        undone = self.changes_after(version)
        return (
            0 <= version <= self.version
            and len(undone) == self.version - version
            and all(entry.has_undo for entry in undone)
        )

    def changes_after(self, version: int) -> list[HistoryEntry]:
        """Returns the changes after a version, newest first."""
        return [entry for entry in self.history if entry.version > version]

    def paths_after(self, version: int) -> list[SettingsPath]:
        """Returns the paths that changed after a version."""
        return [
            parse_path(step.path)
            for entry in self.changes_after(version)
            for step in entry.undo
        ]

    def unstructured_at(self, version: int) -> Any:
        """Returns the unstructured tree of a version that can be restored."""
        unstructured = unstructure_tree(self.tree)
        for entry in self.changes_after(version):
            for step in entry.undo:
                before = step.before if step.is_present else ABSENT
                undone = put_at(unstructured, parse_path(step.path), before)
                if isinstance(undone, Done):
                    unstructured = undone.content
        return unstructured


_FULL_CONVERTER = make_converter()


def unstructure_tree(tree: Tree) -> Any:
    """Returns a tree as plain dicts, with all default values."""
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
    """Returns the body to store; drops old history to fit the size limit.

    Refused with code 409 if the tree alone is too large.
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
        detail = f'{len(body)} bytes; at most {VALUE_BYTES_MAX} are allowed'
        return Refused(ResultCode.TOO_LARGE, '/', detail)
    return Done(body)


def decode_record(body: bytes) -> Done | Refused:
    """Decodes a stored body; an empty one gives version 0."""
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
    unstructured = _CONVERTER.unstructure(record)
    text = json.dumps(unstructured, separators=(',', ':'))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def _decompress(body: bytes) -> Done | Refused:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, _TEXT_BYTES_MAX)
    except zlib.error as error:
        return Refused(ResultCode.SYNTAX, '$', str(error))
    if not decompressor.eof:
        return Refused(ResultCode.SYNTAX, '$', 'truncated or too large')
    return Done(text)
