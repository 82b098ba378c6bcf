"""Reads requests for an explanation of a placement, and encodes it.

Imported on the first request, since a node loads few modules when it starts.
"""

from urllib.parse import parse_qs

from attrs import asdict

from cumindrift.address import Endpoint
from cumindrift.administration.routing import (
    HttpRequest,
    HttpResponse,
    done_response,
    error_response,
)
from cumindrift.code import ResultCode
from cumindrift.fleet.context import NodeContext
from cumindrift.outcome import Done, Refused
from cumindrift.platform.packet import flow_key_of
from cumindrift.steering.balancer.explanation import PlacementExplainer


def answer_placement(
    context: NodeContext, request: HttpRequest
) -> HttpResponse:
    """Answers with the explanation, or refuses an odd request."""
    ends = []
    for name in ('client', 'address'):
        outcome = read_endpoint(request, name)
        if isinstance(outcome, Refused):
            return error_response(outcome)
        ends.append(outcome.content)
    client, address = ends
    explainer = PlacementExplainer(context.core.placer, context.clock())
    explanation = explainer.explain(flow_key_of(client, address))
    return done_response(
        ResultCode.DONE,
        balancer=context.settings.name,
        client=str(client),
        address=str(address),
        **asdict(explanation),
    )


def read_endpoint(request: HttpRequest, name: str) -> Done | Refused:
    """Returns the endpoint in a query parameter; port 0 is none."""
    query = parse_qs(request.target.partition('?')[2], keep_blank_values=True)
    texts = query.get(name, [])
    if len(texts) != 1:
        detail = f'expected it once, found it {len(texts)} times'
        return Refused(ResultCode.BAD_CALL, name, detail)
    text = texts[0]
    try:
        endpoint = Endpoint.parse(text)
    except ValueError:
        endpoint = None
    if endpoint is None or not endpoint.port or not text.isascii():
        detail = f'expected IP:PORT with a port of 1 to 65535, found {text!r}'
        return Refused(ResultCode.BAD_CALL, name, detail)
    return Done(endpoint)
