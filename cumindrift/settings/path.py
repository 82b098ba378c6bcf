"""Paths into the settings tree, and edits of bare trees along them."""

from collections.abc import Iterator
from enum import Enum, unique
from typing import Any

from attrs import define

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, Refused

# Field names stand in paths with a hyphen, as in `/data-centres/hel-a`.
_ROOT_FIELDS = {'data-centres': 'data_centres'}
_ROOT_SEGMENTS = {'data_centres': 'data-centres'}


@unique
class Absent(Enum):
    """Stands where a tree holds nothing; a put of it removes."""

    ABSENT = 'absent'


ABSENT = Absent.ABSENT


@define(frozen=True, slots=True)
class SettingsPath:
    """A place in the tree, as the keys that lead to it.

    Example: ``parse_path('/teams/studio/services')``; the root is ``/``.
    """

    keys: tuple[str, ...] = ()

    def child(self, key: str) -> 'SettingsPath':
        """Returns the place one key below this one."""
        return SettingsPath((*self.keys, key))

    def contains(self, other: 'SettingsPath') -> bool:
        """Tells whether `other` is this place or below it."""
        return other.keys[: len(self.keys)] == self.keys

    def overlaps(self, other: 'SettingsPath') -> bool:
        """Tells whether one of the two places holds the other."""
        return self.contains(other) or other.contains(self)

    def __str__(self) -> str:
        if not self.keys:
            return '/'
        first = _ROOT_SEGMENTS.get(self.keys[0], self.keys[0])
        return ''.join(f'/{key}' for key in (first, *self.keys[1:]))


def parse_path(text: str) -> SettingsPath:
    """Reads a path; any text is one, though the tree may not have it."""
    keys = [key for key in text.split('/') if key]
    if keys:
        keys[0] = _ROOT_FIELDS.get(keys[0], keys[0])
    return SettingsPath(tuple(keys))


@define(frozen=True, slots=True)
class Difference:
    """One place at which two bare trees differ; either may lack it."""

    path: SettingsPath
    before: Any
    after: Any


def read_at(bare: Any, path: SettingsPath) -> Any:
    """Returns what a bare tree holds at a path, or ABSENT."""
    for key in path.keys:
        if not isinstance(bare, dict) or key not in bare:
            return ABSENT
        bare = bare[key]
    return bare


def put_at(bare: Any, path: SettingsPath, content: Any) -> Done | Refused:
    """Returns a bare tree that holds `content` at a path.

    The given tree is left as it is. The place above the path must exist,
    and so must the path itself when it is removed.
    """
    if not path.keys:
        return Done({} if content is ABSENT else content)
    parent = SettingsPath(path.keys[:-1])
    holder = read_at(bare, parent)
    is_missing = not isinstance(holder, dict) or (
        content is ABSENT and path.keys[-1] not in holder
    )
    if is_missing:
        return Refused(ResultCode.NO_SUCH_PATH, str(path), 'nothing is there')
    changed = {**holder, path.keys[-1]: content}
    if content is ABSENT:
        changed.pop(path.keys[-1])
    return put_at(bare, parent, changed)


def differences(
    before: Any,
    after: Any,
    path: SettingsPath | None = None,
) -> Iterator[Difference]:
    """Yields the outermost places at which two bare trees differ."""
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
