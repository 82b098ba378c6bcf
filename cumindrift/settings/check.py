"""Validation of a whole settings tree, with checks kept in a registry."""

import re
from collections.abc import Callable, Iterator
from ipaddress import AddressValueError, IPv4Address
from typing import Any

from cumindrift.code import ResultCode
from cumindrift.document import structure
from cumindrift.outcome import Done, Refused
from cumindrift.registry import Registry
from cumindrift.settings.token import SUPERVISORS
from cumindrift.settings.tree import Service, Tree

_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')

SettingsCheck = Callable[[Tree], Iterator[Refused]]

# Each check yields the inconsistencies of a tree whose types are correct.
checks: Registry[SettingsCheck] = Registry('settings check')


def services_of(tree: Tree) -> Iterator[tuple[str, Service]]:
    """Yields the path and settings of every service."""
    for team_name, team in tree.teams.items():
        for name, service in team.services.items():
            yield f'/teams/{team_name}/services/{name}', service


def inconsistent(path: str, detail: str) -> Refused:
    """Returns a refusal with the code for inconsistent settings."""
    return Refused(ResultCode.INCONSISTENT, path, detail)


@checks.register('names')
def check_names(tree: Tree) -> Iterator[Refused]:
    """Checks that names are short lower-case labels, and none is reserved."""
    paths = [f'/data-centres/{name}' for name in tree.data_centres]
    paths.extend(f'/teams/{name}' for name in tree.teams)
    paths.extend(path for path, _ in services_of(tree))
    for path in paths:
        name = path.rpartition('/')[2]
        if not _NAME.fullmatch(name) or path == f'/teams/{SUPERVISORS}':
            yield inconsistent(path, f'{name!r} is not allowed as a name')


@checks.register('addresses')
def check_addresses(tree: Tree) -> Iterator[Refused]:
    """Checks that every service has a valid address of its own."""
    owners: dict[tuple[str, int, str], str] = {}
    for path, service in services_of(tree):
        try:
            IPv4Address(service.ip)
        except AddressValueError as error:
            yield inconsistent(f'{path}/ip', str(error))
        address = (service.ip, service.port, service.protocol)
        owner = owners.setdefault(address, path)
        if owner != path:
            yield inconsistent(
                f'{path}/ip', f'{owner} already has this address'
            )


@checks.register('data-centres')
def check_data_centres(tree: Tree) -> Iterator[Refused]:
    """Checks the data centres, and those that the services name.

    At least one data centre must be in service, and the `endpoints` of a
    service may name only data centres that exist.
    """
    if not any(place.state == 'in' for place in tree.data_centres.values()):
        yield inconsistent('/data-centres', 'no data centre is in service')
    for path, service in services_of(tree):
        for name in service.endpoints:
            if name not in tree.data_centres:
                yield inconsistent(
                    f'{path}/endpoints/{name}',
                    'this data centre does not exist',
                )


def check_tree(unstructured: Any) -> Done | Refused:
    """Structures a tree and runs all checks; returns the first refusal."""
    structured = structure_tree(unstructured)
    if isinstance(structured, Refused):
        return structured
    return find_fault(structured.content) or structured


def structure_tree(unstructured: Any) -> Done | Refused:
    """Turns an unstructured tree into a `Tree`.

    The path of a refusal is a settings path such as ``/teams/x/services``.
    """
    structured = structure(unstructured, Tree)
    if isinstance(structured, Refused):
        return _with_tree_path(structured)
    return structured


def find_fault(tree: Tree) -> Refused | None:
    """Runs all checks on a whole tree; returns the first refusal."""
    for _, check in checks:
        fault = next(check(tree), None)
        if fault is not None:
            return fault
    return None


def _with_tree_path(refused: Refused) -> Refused:
    """Turns the path ``$.teams['x'].services`` into ``/teams/x/services``."""
    keys = re.findall(r"\['([^']*)'\]|\.([^.\[]+)", refused.path)
    path = ''.join(f'/{quoted or plain}' for quoted, plain in keys)
    path = path.replace('/data_centres', '/data-centres', 1)
    return Refused(refused.code, path or '/', refused.detail)
