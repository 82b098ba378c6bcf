"""The administration supervisor and its list of children."""

from cumindrift.address import Endpoint
from cumindrift.administration import check as _check
from cumindrift.administration import page as _page
from cumindrift.administration import settings as _settings
from cumindrift.administration import view as _view
from cumindrift.administration.http import HttpServer
from cumindrift.administration.routing import operator_routes, routes
from cumindrift.context import Context
from cumindrift.supervision import ChildSpec, Supervisor

# Importing these modules registers their routes and checks.
PAGE_MODULES = (_check, _page, _settings, _view)
OPERATOR_ROLE = 'balancer'


def build_administration(context: Context) -> Supervisor:
    """Returns the supervisor; restart strategy one-for-one."""
    endpoint = Endpoint.parse(context.settings.admin)
    served = (routes,)
    if context.settings.role == OPERATOR_ROLE:
        served = (routes, operator_routes)
    return Supervisor(
        'administration',
        [
            ChildSpec(
                'http',
                lambda: HttpServer(context, endpoint, served, context.clock),
            ),
        ],
    )
