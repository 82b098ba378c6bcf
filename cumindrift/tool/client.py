"""Client of the administration API; tries the balancers in turn."""

import json
from collections.abc import Callable, Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.document import parse_strict
from cumindrift.outcome import Done, NotRun, Outcome, Refused, Unknown

_CODES_PER_KIND = 100
# How often a write with unknown outcome is sent again, with the same id.
RETRIES_MAX = 3


@define(frozen=True, slots=True)
class ApiCall:
    """One call of the administration API."""

    method: str
    target: str
    content: Any = None
    headers: Mapping[str, str] = field(factory=dict)

    def body(self) -> bytes:
        """Returns the JSON body; it is empty for GET."""
        return (
            b'' if self.method == 'GET' else json.dumps(self.content).encode()
        )


# Sends a call to one balancer and returns the body of the response; raises
# OSError or HTTPException on failure.
Transport = Callable[[Endpoint, ApiCall], bytes]


def make_transport(timeout_s: float) -> Transport:
    """Returns a transport over HTTP."""

    def send(endpoint: Endpoint, call: ApiCall) -> bytes:
        connection = HTTPConnection(*endpoint.sockaddr(), timeout=timeout_s)
        try:
            connection.request(
                call.method,
                call.target,
                call.body(),
                dict(call.headers),
            )
            return connection.getresponse().read()
        finally:
            connection.close()

    return send


@define(slots=True)
class ApiClient:
    """Sends calls to the first reachable balancer; used by all commands."""

    balancers: tuple[Endpoint, ...]
    transport: Transport

    def call(self, call: ApiCall) -> Outcome:
        """Returns the outcome of a call; `Done` holds its JSON content."""
        received = self._send(call)
        if isinstance(received, Done):
            return parse_response(received.content)
        return received

    def call_write(self, call: ApiCall) -> Outcome:
        """Retries with the same write id while the outcome is unknown."""
        outcome = self.call(call)
        for _ in range(RETRIES_MAX):
            if not isinstance(outcome, Unknown):
                break
            outcome = self.call(call)
        return outcome

    def get_text(self, target: str) -> Outcome:
        """Gets a page that is not JSON; `Done` holds its text."""
        received = self._send(ApiCall('GET', target))
        if isinstance(received, Done):
            return Done(received.content.decode())
        return received

    def _send(self, call: ApiCall) -> Outcome:
        """Tries the balancers in turn; `Done` holds the response body.

        A write whose connection broke may have taken effect; one whose
        connection was refused has not.
        """
        detail = 'no balancer address is configured'
        may_have_run = False
        for endpoint in self.balancers:
            try:
                return Done(self.transport(endpoint, call))
            except (OSError, HTTPException) as error:
                detail = f'{endpoint}: {error or type(error).__name__}'
                may_have_run |= not isinstance(error, ConnectionRefusedError)
        if may_have_run and call.method != 'GET':
            return Unknown(ResultCode.OUTCOME_UNKNOWN, detail)
        return NotRun(ResultCode.NO_BALANCER, detail)


def parse_response(octets: bytes) -> Outcome:
    """Converts the body of a response to an outcome."""
    parsed = parse_strict(octets)
    data = parsed.content if isinstance(parsed, Done) else None
    if not isinstance(data, dict) or data.get('code') not in set(ResultCode):
        return Unknown(ResultCode.OUTCOME_UNKNOWN, 'cannot parse the response')
    code = ResultCode(data['code'])
    detail = str(data.get('detail', ''))
    kind = code // _CODES_PER_KIND
    if kind == 1:
        return Done(data, code)
    if kind == 3:
        return Unknown(code, detail)
    if kind == 4:
        return Refused(code, str(data.get('path', '')), detail)
    return NotRun(code, detail)
