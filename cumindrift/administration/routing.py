"""Requests and answers of the administration API, as its routes see them."""

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
# HTTP status by hundred of the result code, and where one code differs.
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
    """A whole request; `headers` has lower-case names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """Returns the path without the query."""
        return unquote(self.target.partition('?')[0])

    @property
    def route_name(self) -> str:
        """Returns method and first segment, as in ``GET /settings``."""
        segment = self.path.strip('/').partition('/')[0]
        return f'{self.method} /{segment}'

    @property
    def subpath(self) -> str:
        """Returns the path below the route, as in ``/teams/studio``."""
        return f'/{self.path.strip("/").partition("/")[2]}'

    def query_number(self, name: str) -> int | None:
        """Returns a whole number of the query, or None."""
        found = parse_qs(self.target.partition('?')[2]).get(name, [''])
        return parse_number(found[0])


@define(frozen=True, slots=True, eq=False, repr=False)
class HttpResponse:
    """A whole answer."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE

    @classmethod
    def of_json(cls, status: int, bare: Any) -> 'HttpResponse':
        """Returns an answer that holds JSON."""
        return cls(status, f'{json.dumps(bare)}\n'.encode())


@define(frozen=True, slots=True, eq=False, repr=False)
class Responder:
    """What a route that answers later is given."""

    reply: Callable[[HttpResponse], None]
    # Calls something once, after so many seconds.
    call_after: Callable[[float, Callable[[], None]], None]


@define(frozen=True, slots=True, eq=False, repr=False)
class DeferredResponse:
    """Returned by a route that answers by callback, once."""

    start: Callable[[Responder], None]


# A route takes the context of the process and the request; its name is the
# method and the first segment of the path, as in `GET /metrics`.
Route = Callable[[Any, HttpRequest], HttpResponse | DeferredResponse]
# Routes that every process serves, and those that only balancers do.
routes: Registry[Route] = Registry('route')
operator_routes: Registry[Route] = Registry('operator route')


def status_of(code: ResultCode) -> int:
    """Returns the HTTP status that goes with a result code."""
    return _STATUS_BY_CODE.get(code) or _STATUS_BY_KIND[code // _CODES_PER_KIND]


def done_response(code: ResultCode, **fields: Any) -> HttpResponse:
    """Returns an answer with the code and some fields of its own."""
    bare = {'code': int(code), 'name': code.name, **fields}
    return HttpResponse.of_json(status_of(code), bare)


def error_response(
    outcome: Outcome,
    status: int | None = None,
) -> HttpResponse:
    """Returns the answer for anything but `Done`."""
    bare = {'code': int(outcome.code), 'name': outcome.code.name}
    if isinstance(outcome, Refused):
        bare['path'] = outcome.path
        bare['detail'] = outcome.detail or outcome.code.meaning
    elif isinstance(outcome, NotRun | Unknown):
        note = f' ({outcome.detail})' if outcome.detail else ''
        bare['detail'] = f'{outcome.code.meaning}{note}'
    return HttpResponse.of_json(status or status_of(outcome.code), bare)


def not_found_response(path: str) -> HttpResponse:
    """Returns the answer for a path that no route serves."""
    refused = Refused(ResultCode.NO_SUCH_PATH, path, 'no such page')
    return error_response(refused)
