"""The administration supervisor and its list of children."""

from cumindrift.address import Endpoint
from cumindrift.administration import page as _page
from cumindrift.administration import settings as _settings
from cumindrift.administration.http import HttpServer
from cumindrift.context import Context
from cumindrift.supervision import ChildSpec, Supervisor

# Importing a module of pages files its routes in the registry.
PAGE_MODULES = (_page, _settings)


def build_administration(context: Context) -> Supervisor:
    """Returns the supervisor; restart strategy one-for-one."""
    endpoint = Endpoint.parse(context.settings.admin)
    return Supervisor(
        'administration',
        [ChildSpec('http', lambda: HttpServer(context, endpoint))],
    )
