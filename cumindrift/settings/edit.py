"""Planning of writes: checks and applies an edit, without I/O."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, Refused
from cumindrift.registry import Registry
from cumindrift.settings.check import find_fault, structure_tree
from cumindrift.settings.path import (
    ABSENT,
    Difference,
    SettingsPath,
    differences,
    put_at,
    read_at,
)
from cumindrift.settings.record import (
    HistoryEntry,
    SettingsRecord,
    undo_steps,
    unstructure_tree,
)
from cumindrift.settings.token import Author
from cumindrift.settings.tree import Tree

_TEAMS = 'teams'
_DATA_CENTRES = 'data_centres'
# A path to a whole team has two keys: `teams` and the name of the team.
_TEAM_DEPTH = 2
_PATHS_SHOWN_MAX = 10


@define(frozen=True, slots=True)
class WriteRequest:
    """A requested change, based on the version that the author saw."""

    path: SettingsPath
    expected_version: int
    write_id: str
    author: Author
    kind: str = 'put'
    content: Any = None
    # The version whose content a roll-forward restores.
    source_version: int = 0


# An edit returns the new content at the path of its request.
Edit = Callable[[SettingsRecord, WriteRequest], Done | Refused]
edits: Registry[Edit] = Registry('edit')


@edits.register('put')
def edit_by_put(
    record: SettingsRecord, request: WriteRequest
) -> Done | Refused:
    """Writes the content of the request."""
    return Done(request.content)


@edits.register('remove')
def edit_by_removal(
    record: SettingsRecord, request: WriteRequest
) -> Done | Refused:
    """Returns ABSENT, which removes the content at the path."""
    return Done(ABSENT)


@edits.register('roll-forward')
def edit_by_history(
    record: SettingsRecord, request: WriteRequest
) -> Done | Refused:
    """Restores the content of an earlier version, as a new version."""
    version = request.source_version
    if not record.can_restore(version):
        detail = f'version {version} is not in the history'
        return Refused(ResultCode.VERSION_GONE, str(request.path), detail)
    return Done(read_at(record.unstructured_at(version), request.path))


@define(frozen=True, slots=True)
class WritePlan:
    """The record that a write would store, and its differences."""

    record: SettingsRecord
    changed: tuple[Difference, ...]


def check_ownership(request: WriteRequest) -> Refused | None:
    """Refuses paths that the author may never write; needs no read."""
    path, author = request.path, request.author
    if author.is_supervisor:
        is_allowed = len(path.keys) <= _TEAM_DEPTH or path.keys[0] != _TEAMS
    else:
        is_allowed = SettingsPath((_TEAMS, author.name)).contains(path)
    return None if is_allowed else _not_owned(path, author)


def plan_write(
    record: SettingsRecord,
    request: WriteRequest,
    now_s: float,
) -> Done | Refused:
    """Applies a write to a record; `Done` holds a `WritePlan`.

    The version that the author saw need not be the current one: the write
    is refused only if something at, above or below its path changed since.
    """
    refused = check_ownership(request) or _check_version(record, request)
    if refused:
        return refused
    content = edits.get(request.kind)(record, request)
    if isinstance(content, Refused):
        return content
    part = reachable_part(record.tree, request.path)
    before = unstructure_tree(part)
    edited = put_at(before, request.path, content.content)
    if isinstance(edited, Refused):
        return edited
    structured = structure_tree(edited.content)
    if isinstance(structured, Refused):
        return structured
    tree = merge_part(record.tree, request.path, structured.content)
    changed = tuple(differences(before, unstructure_tree(structured.content)))
    refused = find_fault(tree) or _check_changes(changed, request.author)
    if refused:
        return refused
    return _plan(record, request, tree, changed, now_s)


def reachable_part(tree: Tree, path: SettingsPath) -> Tree:
    """Returns the tree with only the teams that a write can change.

    In a large deployment this saves most of the work. After the edit,
    `merge_part` puts the part back.
    """
    reached = _reached_teams(tree, path)
    teams = {name: tree.teams[name] for name in reached if name in tree.teams}
    return evolve(tree, teams=teams)


def merge_part(tree: Tree, path: SettingsPath, part: Tree) -> Tree:
    """Returns the tree with the edited part of `reachable_part`."""
    teams = {**tree.teams, **part.teams}
    for name in _reached_teams(tree, path):
        if name not in part.teams:
            teams.pop(name, None)
    return evolve(tree, data_centres=part.data_centres, teams=teams)


def _reached_teams(tree: Tree, path: SettingsPath) -> tuple[str, ...]:
    if path.keys[:1] == (_DATA_CENTRES,):
        return ()
    if len(path.keys) < _TEAM_DEPTH:
        return tuple(tree.teams)
    return (path.keys[1],)


def _plan(
    record: SettingsRecord,
    request: WriteRequest,
    tree: Any,
    changed: tuple[Difference, ...],
    now_s: float,
) -> Done:
    if not changed:
        return Done(WritePlan(record, ()), ResultCode.UNCHANGED)
    version = record.version + 1
    entry = HistoryEntry(
        version,
        request.write_id,
        request.author.name,
        now_s,
        str(request.path),
        undo_steps(list(changed)),
    )
    planned = SettingsRecord(version, tree, (entry, *record.history))
    return Done(WritePlan(planned, changed))


def _check_version(
    record: SettingsRecord, request: WriteRequest
) -> Refused | None:
    expected = request.expected_version
    if expected == record.version:
        return None
    if not record.can_restore(expected):
        detail = (
            f'version {record.version} is current; yours is not in its history'
        )
        return Refused(ResultCode.VERSION_CONFLICT, str(request.path), detail)
    conflicts = [
        str(path)
        for path in record.paths_after(expected)
        if path.overlaps(request.path)
    ]
    if not conflicts:
        return None
    shown = ', '.join(sorted(set(conflicts))[:_PATHS_SHOWN_MAX])
    detail = f'version {record.version} is current; changed since: {shown}'
    return Refused(ResultCode.VERSION_CONFLICT, str(request.path), detail)


def _check_changes(
    changed: tuple[Difference, ...],
    author: Author,
) -> Refused | None:
    """Refuses changes of settings that another author owns."""
    for difference in changed:
        if not _may_change(difference, author):
            return _not_owned(difference.path, author)
    return None


def _may_change(difference: Difference, author: Author) -> bool:
    keys = difference.path.keys
    if not author.is_supervisor:
        return len(keys) > _TEAM_DEPTH and keys[1] == author.name
    if keys[0] == _DATA_CENTRES:
        return True
    is_whole = ABSENT in (difference.before, difference.after)
    return len(keys) == _TEAM_DEPTH and is_whole


def _not_owned(path: SettingsPath, author: Author) -> Refused:
    detail = f'{author.name} does not own this'
    return Refused(ResultCode.NOT_YOURS, str(path), detail)
