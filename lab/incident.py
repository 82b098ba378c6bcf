"""Incidents of the demonstration: what happens to it while callers run."""

import json
import os
import sys
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.registry import Registry
from cumindrift.settings.token import SUPERVISORS
from cumindrift.tool.client import ApiClient, make_transport
from cumindrift.tool.command import run_command
from cumindrift.tool.session import Options, Session
from lab.layout import BALANCER_COUNT, TEAM, balancer_ip, target_places

ADMIN_PORT = 7200
HTTP_TIMEOUT_S = 5.0
WRITE_TIMEOUT_S = 45.0
RUN = Path('run')
_LOG_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND
PIDS = RUN / 'pids'

incidents: Registry[Callable[[str], None]] = Registry('incident')


@define(frozen=True, slots=True)
class Planned:
    """One incident, `at_s` seconds after the callers started."""

    at_s: float
    name: str
    subject: str


def call_admin(ip: str, method: str, path: str) -> Any:
    """Calls an administration page and returns its JSON."""
    connection = HTTPConnection(ip, ADMIN_PORT, timeout=HTTP_TIMEOUT_S)
    connection.request(method, path)
    return json.loads(connection.getresponse().read())


def pid_of(process: str) -> int:
    """Returns the id under which `demo` started a process."""
    return int((PIDS / process).read_text('ascii'))


@incidents.register('data-centre-out')
def take_out(data_centre: str) -> None:
    """Sets a data centre out, as shift supervisors do."""
    set_data_centre(data_centre, 'out')


@incidents.register('data-centre-in')
def take_in(data_centre: str) -> None:
    """Sets a data centre in again."""
    set_data_centre(data_centre, 'in')


@incidents.register('drain')
def drain_target(name: str) -> None:
    """Names a target as draining, as its team does."""
    service = next(
        place.service for place in target_places() if place.name == name
    )
    start_write(TEAM, f'/teams/{TEAM}/services/{service}/draining', [name])


@incidents.register('kill')
def kill_process(process: str) -> None:
    """Kills a process without a warning."""
    os.kill(pid_of(process), SIGKILL)


@incidents.register('stop')
def stop_process(process: str) -> None:
    """Stops a process in order."""
    os.kill(pid_of(process), SIGTERM)


@incidents.register('freeze')
def freeze_process(process: str) -> None:
    """Freezes a process."""
    os.kill(pid_of(process), SIGSTOP)


@incidents.register('thaw')
def thaw_process(process: str) -> None:
    """Lets a frozen process go on with its old view."""
    os.kill(pid_of(process), SIGCONT)


def set_data_centre(data_centre: str, state: str) -> None:
    """Writes the state of a data centre through the first balancer."""
    start_write(SUPERVISORS, f'/data-centres/{data_centre}/state', state)


def write_settings(holder: str, path: str, content: Any) -> None:
    """Writes settings with the tool's own commands; raises OSError."""
    options = Options(token=token_path(holder).read_text('ascii'))
    client = ApiClient(balancer_endpoints(), make_transport(WRITE_TIMEOUT_S))
    arguments = ['set', path, json.dumps(content)]
    printed = run_command(Session(client, options), arguments)
    if printed.exit_code:
        raise OSError(printed.err)


def start_write(holder: str, path: str, content: Any) -> None:
    """Starts the tool beside the callers, whose loop must not wait for it."""
    balancers = ','.join(str(endpoint) for endpoint in balancer_endpoints())
    log = os.open(RUN / 'log' / 'tool.log', _LOG_FLAGS)
    os.posix_spawn(
        sys.executable,
        [
            sys.executable,
            '-m',
            'cumindrift.tool.command',
            'set',
            path,
            json.dumps(content),
            f'--balancers={balancers}',
            f'--token_file={token_path(holder)}',
        ],
        os.environ,
        file_actions=[
            (os.POSIX_SPAWN_DUP2, log, descriptor) for descriptor in (1, 2)
        ],
    )
    os.close(log)


def balancer_endpoints() -> tuple[Endpoint, ...]:
    """Returns the administration addresses of all balancers."""
    return tuple(
        Endpoint(balancer_ip(number), ADMIN_PORT)
        for number in range(1, BALANCER_COUNT + 1)
    )


def token_path(holder: str) -> Path:
    """Returns the file that the layout wrote a token to."""
    return RUN / f'{holder}.token'
