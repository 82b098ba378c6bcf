"""Paths into the settings tree; reads and edits of unstructured trees.

An unstructured tree consists of plain dicts, lists and scalars.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import Any

from attrs import define

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, Refused

# Paths spell these field names with a hyphen, as in `/data-centres/hel-a`.
_ROOT_FIELDS = {'data-centres': 'data_centres'}
_ROOT_SEGMENTS = {'data_centres': 'data-centres'}


@unique
class Absent(Enum):
    """Marks missing content; writing it removes what is there."""

    ABSENT = 'absent'


ABSENT = Absent.ABSENT


@define(frozen=True, slots=True)
class SettingsPath:
    """A place in the tree, given by the keys that lead to it.

    Example: ``parse_path('/teams/studio/services')``; the root is ``/``.
    """

    keys: tuple[str, ...] = ()

    def child(self, key: str) -> 'SettingsPath':
        """Returns the place one key below this one."""
        return SettingsPath((*self.keys, key))

    def contains(self, other: 'SettingsPath') -> bool:
        """Returns whether `other` is this place or below it."""
        return other.keys[: len(self.keys)] == self.keys

    def overlaps(self, other: 'SettingsPath') -> bool:
        """Returns whether one of the two places contains the other."""
        return self.contains(other) or other.contains(self)

    def __str__(self) -> str:
        if not self.keys:
            return '/'
        first = _ROOT_SEGMENTS.get(self.keys[0], self.keys[0])
        return ''.join(f'/{key}' for key in (first, *self.keys[1:]))


def parse_path(text: str) -> SettingsPath:
    """Parses a path; any text is valid, even if the tree lacks the place."""
    keys = [key for key in text.split('/') if key]
    if keys:
        keys[0] = _ROOT_FIELDS.get(keys[0], keys[0])
    return SettingsPath(tuple(keys))


@define(frozen=True, slots=True)
class Difference:
    """A place where two unstructured trees differ; one may lack it."""

    path: SettingsPath
    before: Any
    after: Any


def read_at(tree: Any, path: SettingsPath) -> Any:
    """Returns the content of an unstructured tree at a path, or ABSENT."""
    for key in path.keys:
        if not isinstance(tree, dict) or key not in tree:
            return ABSENT
        tree = tree[key]
    return tree


def put_at(tree: Any, path: SettingsPath, content: Any) -> Done | Refused:
    """Returns a copy of an unstructured tree with `content` at a path.

    The given tree is not modified. The parent of the path must exist, and
    so must the path itself if ABSENT removes it.
    """
    if not path.keys:
        return Done({} if content is ABSENT else content)
    parent = SettingsPath(path.keys[:-1])
    holder = read_at(tree, parent)
    is_missing = not isinstance(holder, dict) or (
        content is ABSENT and path.keys[-1] not in holder
    )
    if is_missing:
        return Refused(
            ResultCode.NO_SUCH_PATH, str(path), 'this path does not exist'
        )
    changed = {**holder, path.keys[-1]: content}
    if content is ABSENT:
        changed.pop(path.keys[-1])
    return put_at(tree, parent, changed)


def differences(
    before: Any,
    after: Any,
    path: SettingsPath | None = None,
) -> Iterator[Difference]:
    """Yields the outermost places where two unstructured trees differ."""
    path = path or SettingsPath()
    if not isinstance(before, dict) or not isinstance(after, dict):
        if before != after:
            yield Difference(path, before, after)
        return
    for key in sorted({*before, *after}):
        yield from differences(
            before.get(key, ABSENT),
            after.get(key, ABSENT),
            path.child(key),
        )
