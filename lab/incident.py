"""Incidents of the demonstration: what happens to it while callers run."""

import json
import os
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

from attrs import define

from cumindrift.registry import Registry
from lab.layout import TEAM, balancer_ip, target_places

ADMIN_PORT = 7200
HTTP_TIMEOUT_S = 5.0
PIDS = Path('run/pids')

incidents: Registry[Callable[[str], None]] = Registry('incident')


@define(frozen=True, slots=True)
class Planned:
    """One incident, `at_s` seconds after the callers started."""

    at_s: float
    name: str
    subject: str


def call_admin(ip: str, method: str, path: str, bare: Any = None) -> Any:
    """Calls an administration page and returns its JSON."""
    connection = HTTPConnection(ip, ADMIN_PORT, timeout=HTTP_TIMEOUT_S)
    connection.request(method, path, json.dumps(bare) if bare else None)
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
    ip = balancer_ip(1)
    current = call_admin(ip, 'GET', '/settings')
    service = next(
        place.service for place in target_places() if place.name == name
    )
    services = current['tree']['teams'][TEAM]['services']
    services[service]['draining'] = [name]
    call_admin(ip, 'PUT', '/settings', current['tree'])


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
    ip = balancer_ip(1)
    current = call_admin(ip, 'GET', '/settings')
    current['tree']['data_centres'][data_centre]['state'] = state
    call_admin(ip, 'PUT', '/settings', current['tree'])
