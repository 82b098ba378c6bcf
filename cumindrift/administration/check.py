"""Checks names in the settings against registries of the traffic package."""

from collections.abc import Iterator

from cumindrift.outcome import Refused
from cumindrift.settings.check import checks, inconsistent, services_of
from cumindrift.settings.tree import Tree
from cumindrift.traffic.front_end import front_ends
from cumindrift.traffic.placement import policies


@checks.register('placements')
def check_placements(tree: Tree) -> Iterator[Refused]:
    """Requires that every service has a registered placement policy."""
    known = ', '.join(policies.names())
    for path, service in services_of(tree):
        if service.placement not in policies:
            yield inconsistent(f'{path}/placement', f'known: {known}')


@checks.register('front-ends')
def check_front_ends(tree: Tree) -> Iterator[Refused]:
    """Requires that every service has a registered front end."""
    known = ', '.join(front_ends.names())
    for path, service in services_of(tree):
        if service.front not in front_ends:
            yield inconsistent(f'{path}/front', f'known: {known}')
