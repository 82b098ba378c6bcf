"""The metrics page of a node, on a port that the deploy file names."""

from circuits import Component

from cumindrift.address import Endpoint
from cumindrift.administration.http import HttpServer
from cumindrift.fleet.context import NodeContext
from cumindrift.steering.page import metric_routes

METRICS_PORT = 9102


def serve_metrics(context: NodeContext) -> Component:
    """Returns the server of the metrics page."""
    endpoint = Endpoint(context.settings.ip, METRICS_PORT)
    return HttpServer(context, endpoint, (metric_routes,), context.clock)
