"""The tool's client of the administration API; tries balancers in turn."""

import json
from collections.abc import Callable, Mapping
from http.client import HTTPConnection, HTTPException
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.document import parse_strict
from cumindrift.outcome import Done, NotRun, Outcome, Refused, Unknown

_HUNDRED = 100
# Times that a write is sent again, with the same id, while unsure.
REPEATS_MAX = 3


@define(frozen=True, slots=True)
class ApiCall:
    """One call of the administration API."""

    method: str
    target: str
    content: Any = None
    headers: Mapping[str, str] = field(factory=dict)

    def body(self) -> bytes:
        """Returns the body as plain JSON; a GET has none."""
        return (
            b'' if self.method == 'GET' else json.dumps(self.content).encode()
        )


# Sends a call to one balancer and returns the body of its answer; raises
# OSError or HTTPException when there is none.
Transport = Callable[[Endpoint, ApiCall], bytes]


def make_transport(timeout_s: float) -> Transport:
    """Returns the transport over HTTP."""

    def carry(endpoint: Endpoint, call: ApiCall) -> bytes:
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

    return carry


@define(slots=True)
class ApiClient:
    """Calls the first balancer that answers; used by all commands."""

    balancers: tuple[Endpoint, ...]
    transport: Transport

    def call(self, call: ApiCall) -> Outcome:
        """Returns what the API answers; `Done` holds its bare JSON."""
        carried = self._carry(call)
        if isinstance(carried, Done):
            return read_answer(carried.content)
        return carried

    def call_write(self, call: ApiCall) -> Outcome:
        """Calls again, with the same write id, while the outcome is unknown."""
        outcome = self.call(call)
        for _ in range(REPEATS_MAX):
            if not isinstance(outcome, Unknown):
                break
            outcome = self.call(call)
        return outcome

    def get_text(self, target: str) -> Outcome:
        """Returns a page that is not JSON; `Done` holds its text."""
        carried = self._carry(ApiCall('GET', target))
        if isinstance(carried, Done):
            return Done(carried.content.decode())
        return carried

    def _carry(self, call: ApiCall) -> Outcome:
        """Tries the balancers in turn; `Done` holds the answer's octets.

        A connection that broke may have carried a write to its end, one
        that was refused has not.
        """
        detail = 'no address is given'
        is_unsure = False
        for endpoint in self.balancers:
            try:
                return Done(self.transport(endpoint, call))
            except (OSError, HTTPException) as error:
                detail = f'{endpoint}: {error or type(error).__name__}'
                is_unsure |= not isinstance(error, ConnectionRefusedError)
        if is_unsure and call.method != 'GET':
            return Unknown(ResultCode.OUTCOME_UNKNOWN, detail)
        return NotRun(ResultCode.NO_BALANCER, detail)


def read_answer(octets: bytes) -> Outcome:
    """Turns the body of an answer back into an outcome."""
    parsed = parse_strict(octets)
    bare = parsed.content if isinstance(parsed, Done) else None
    if not isinstance(bare, dict) or bare.get('code') not in set(ResultCode):
        return Unknown(ResultCode.OUTCOME_UNKNOWN, 'the answer is not readable')
    code = ResultCode(bare['code'])
    detail = str(bare.get('detail', ''))
    hundred = code // _HUNDRED
    if hundred == 1:
        return Done(bare, code)
    if hundred == 3:
        return Unknown(code, detail)
    if hundred == 4:
        return Refused(code, str(bare.get('path', '')), detail)
    return NotRun(code, detail)
