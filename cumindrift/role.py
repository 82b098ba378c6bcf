"""The registry of roles; a process has one, such as balancer or agent."""

from collections.abc import Callable

from cumindrift.context import Context
from cumindrift.registry import Registry
from cumindrift.supervision import Supervisor


class RoleSettingsError(ValueError):
    """Raised when the settings file lacks a field that the role needs."""


# A role builds its core once and returns a function that builds its
# supervisor, so that the flows in the core survive restarts of the supervisor.
roles: Registry[Callable[[Context], Callable[[], Supervisor]]] = Registry(
    'role',
)
