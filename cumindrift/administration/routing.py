"""Requests, responses and route registries of the administration API."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from attrs import define

from cumindrift.code import ResultCode
from cumindrift.outcome import NotRun, Outcome, Refused, Unknown
from cumindrift.registry import Registry

JSON_TYPE = 'application/json'
_CODES_PER_KIND = 100
_DIGITS_MAX = 15
# HTTP status by the hundreds digit of the result code, and exceptions by code.
_STATUS_BY_KIND = {1: 200, 2: 503, 3: 504, 4: 400, 5: 503}
_STATUS_BY_CODE = {
    ResultCode.HANDOVER_PENDING: 202,
    ResultCode.VERSION_CONFLICT: 409,
    ResultCode.NOT_YOURS: 403,
    ResultCode.NO_TOKEN: 401,
    ResultCode.NO_SUCH_PATH: 404,
    ResultCode.TOO_LARGE: 413,
    ResultCode.VERSION_GONE: 410,
}


def parse_number(text: str) -> int | None:
    """Returns a whole number of at most 15 digits, or None."""
    if text.isascii() and text.isdecimal() and len(text) <= _DIGITS_MAX:
        return int(text)
    return None


@define(frozen=True, slots=True, eq=False, repr=False)
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """The path without the query."""
        return unquote(self.target.partition('?')[0])

    @property
    def route_name(self) -> str:
        """The method and the first path segment, as in ``GET /settings``."""
        segment = self.path.strip('/').partition('/')[0]
        return f'{self.method} /{segment}'

    @property
    def subpath(self) -> str:
        """The path after the first segment, as in ``/teams/studio``."""
        return f'/{self.path.strip("/").partition("/")[2]}'

    def query_number(self, name: str) -> int | None:
        """Returns a whole number from the query string, or None."""
        found = parse_qs(self.target.partition('?')[2]).get(name, [''])
        return parse_number(found[0])


@define(frozen=True, slots=True, eq=False, repr=False)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE

    @classmethod
    def of_json(cls, status: int, content: Any) -> 'HttpResponse':
        """Returns a response with JSON content."""
        return cls(status, f'{json.dumps(content)}\n'.encode())


@define(frozen=True, slots=True, eq=False, repr=False)
class Responder:
    """Passed to a deferred response, which sends its response by `reply`."""

    reply: Callable[[HttpResponse], None]
    # Calls a function once, after a delay in seconds.
    call_after: Callable[[float, Callable[[], None]], None]


@define(frozen=True, slots=True, eq=False, repr=False)
class DeferredResponse:
    """Returned by a route that calls `Responder.reply` once, later."""

    start: Callable[[Responder], None]


# A route takes the process context and the request. It is registered by
# method and first path segment, as in `GET /metrics`.
Route = Callable[[Any, HttpRequest], HttpResponse | DeferredResponse]
# Routes that every process serves, and those that only balancers serve.
routes: Registry[Route] = Registry('route')
operator_routes: Registry[Route] = Registry('operator route')


def status_of(code: ResultCode) -> int:
    """Returns the HTTP status for a result code."""
    return _STATUS_BY_CODE.get(code) or _STATUS_BY_KIND[code // _CODES_PER_KIND]


def done_response(code: ResultCode, **fields: Any) -> HttpResponse:
    """Returns a response with the result code and further fields."""
    content = {'code': int(code), 'name': code.name, **fields}
    return HttpResponse.of_json(status_of(code), content)


def error_response(
    outcome: Outcome,
    status: int | None = None,
) -> HttpResponse:
    """Returns the response for any outcome but `Done`."""
    content = {'code': int(outcome.code), 'name': outcome.code.name}
    if isinstance(outcome, Refused):
        content['path'] = outcome.path
        content['detail'] = outcome.detail or outcome.code.meaning
    elif isinstance(outcome, NotRun | Unknown):
        note = f' ({outcome.detail})' if outcome.detail else ''
        content['detail'] = f'{outcome.code.meaning}{note}'
    return HttpResponse.of_json(status or status_of(outcome.code), content)


def not_found_response(path: str) -> HttpResponse:
    """Returns the response for a path that no route serves."""
    refused = Refused(ResultCode.NO_SUCH_PATH, path, 'no such page')
    return error_response(refused)
