"""Builds runs of the command-line tool against an API on loopback."""

import json
from http.client import RemoteDisconnected

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.tool.client import ApiCall, ApiClient
from cumindrift.tool.command import CommandResult, run_command
from cumindrift.tool.session import Options, Session
from features.builders.admin import TOKENS, AdminBench

UP = Endpoint('127.0.1.1', 7200)
DOWN = Endpoint('127.0.1.2', 7200)


@define(slots=True, eq=False)
class ToolBench:
    """Runs commands; can lose responses on the way back."""

    api: AdminBench = field(factory=AdminBench)
    balancers: tuple[Endpoint, ...] = (DOWN, UP)
    responses_lost_count: int = 0
    calls: list[ApiCall] = field(factory=list)

    def run(self, line: str, **options: object) -> CommandResult:
        """Runs a command line, by default with the token of the supervisors."""
        options.setdefault('token', TOKENS['supervisors'][0])
        client = ApiClient(self.balancers, self._send)
        return run_command(Session(client, Options(**options)), line.split())

    def _send(self, endpoint: Endpoint, call: ApiCall) -> bytes:
        """Sends a call to the one balancer that is up."""
        if endpoint != UP:
            raise ConnectionRefusedError('refused')
        self.calls.append(call)
        headers = {
            name.replace('-', '_'): text for name, text in call.headers.items()
        }
        answer = self.api.call(
            call.method,
            call.target,
            '',
            call.body(),
            **headers,
        )
        if call.method != 'GET' and self.responses_lost_count:
            self.responses_lost_count -= 1
            raise RemoteDisconnected('the connection broke')
        body = answer[1]
        return body if isinstance(body, bytes) else json.dumps(body).encode()
