"""The pages of a node, on a port that the deploy file names."""

from circuits import Component

from cumindrift.address import Endpoint
from cumindrift.administration.http import HttpServer
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.peering import PAGES_PORT
from cumindrift.steering.page import page_routes


def serve_pages(context: NodeContext) -> Component:
    """Returns the server of metrics and beliefs."""
    endpoint = Endpoint(context.settings.ip, PAGES_PORT)
    return HttpServer(context, endpoint, (page_routes,), context.clock)
