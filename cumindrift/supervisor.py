"""The root supervisor and its list of children."""

from cumindrift.administration.supervisor import build_administration
from cumindrift.context import Context
from cumindrift.membership.supervisor import build_membership
from cumindrift.objects.supervisor import build_objects
from cumindrift.peer import PeerPort
from cumindrift.role import roles
from cumindrift.settings.supervisor import build_settings
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.traffic import agent as _agent
from cumindrift.traffic import balancer as _balancer

# Importing a role's module registers the role.
ROLE_MODULES = (_agent, _balancer)


def build_root(context: Context) -> Supervisor:
    """Returns the supervisor tree of a process, restarted one-for-one."""
    build_traffic = roles.get(context.settings.role)(context)
    return Supervisor(
        'root',
        [
            ChildSpec('peer', lambda: PeerPort(context)),
            ChildSpec('membership', lambda: build_membership(context)),
            ChildSpec('objects', lambda: build_objects(context)),
            ChildSpec('settings', lambda: build_settings(context)),
            ChildSpec('traffic', build_traffic),
            ChildSpec('administration', lambda: build_administration(context)),
        ],
    )
