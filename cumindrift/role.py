"""Roles: what a process does besides being a member."""

from collections.abc import Callable

from cumindrift.context import Context
from cumindrift.registry import Registry
from cumindrift.supervision import Supervisor


class RoleSettingsError(ValueError):
    """Tells that the settings file lacks what its role needs."""


# A role builds its core once and returns what builds its supervisor, so
# that a restart of the supervisor finds the same flows.
roles: Registry[Callable[[Context], Callable[[], Supervisor]]] = Registry(
    'role',
)
