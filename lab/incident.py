"""Causes incidents in the demonstration while its callers run."""

import json
import os
import sys
from collections.abc import Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from time import monotonic, sleep
from typing import Any

from absl import app, flags
from attrs import define

from cumindrift.address import Endpoint
from cumindrift.outcome import Done, Outcome
from cumindrift.registry import Registry
from cumindrift.settings.token import SUPERVISORS
from cumindrift.tool.client import ApiCall, ApiClient, make_transport
from lab.layout import BALANCER_COUNT, TEAM, balancer_ip, target_specs
from lab.target_report import read_targets

_FAULTS = flags.DEFINE_bool('faults', False, 'Kill and freeze processes too.')

ADMIN_PORT = 7200
API_TIMEOUT_S = 20.0
RUN_FOLDER = Path('run')
OUTAGE_REPORT = RUN_FOLDER / 'left.json'
CENTRE_TAKEN_OUT = 'van-c'
DRAINED_TARGET = 'kaynti-hel-a-1'
RESTARTED_PROCESS = 'kaynti-esp-b-5'

incidents: Registry[Callable[[str], None]] = Registry('incident')


@define(frozen=True, slots=True)
class PlannedIncident:
    """An incident, planned for `at_s` seconds after the callers started."""

    at_s: float
    name: str
    subject: str


PLAN = (
    PlannedIncident(5.0, 'drain', DRAINED_TARGET),
    PlannedIncident(8.0, 'restart', RESTARTED_PROCESS),
    PlannedIncident(12.0, 'data-centre-out', CENTRE_TAKEN_OUT),
    PlannedIncident(20.0, 'data-centre-in', CENTRE_TAKEN_OUT),
)
FAULT_PLAN = (
    PlannedIncident(3.0, 'kill', 'balancer-2'),
    PlannedIncident(6.0, 'freeze', 'kaynti-van-c-3'),
    PlannedIncident(11.0, 'thaw', 'kaynti-van-c-3'),
    PlannedIncident(16.0, 'kill', 'platform'),
)


def api_client() -> ApiClient:
    """Returns a client that tries every balancer in turn."""
    numbers = range(1, BALANCER_COUNT + 1)
    return ApiClient(
        tuple(Endpoint(balancer_ip(number), ADMIN_PORT) for number in numbers),
        make_transport(API_TIMEOUT_S),
    )


def put_settings(path: str, content: Any, write_id: str) -> Outcome:
    """Writes settings with their owner's token; returns the outcome."""
    client = api_client()
    current = client.call(ApiCall('GET', '/settings/'))
    if not isinstance(current, Done):
        return current
    holder = TEAM if path.startswith('/teams') else SUPERVISORS
    secret = (RUN_FOLDER / f'{holder}.token').read_text('utf-8')
    headers = {
        'Authorization': f'Bearer {secret}',
        'If-Match': str(current.content['version']),
        'Idempotency-Key': write_id,
    }
    call = ApiCall('PUT', f'/settings{path}', content, headers)
    return client.call_write(call)


def pid_of(process: str) -> int:
    """Returns the process id that the script `demo` has stored."""
    return int((RUN_FOLDER / 'pids' / process).read_text('ascii'))


@incidents.register('data-centre-out')
def take_centre_out(data_centre: str) -> None:
    """Takes a data centre out and stores when that was accepted."""
    _set_state(data_centre, 'out')
    OUTAGE_REPORT.write_text(json.dumps({'out_s': monotonic()}))


@incidents.register('data-centre-in')
def bring_centre_back(data_centre: str) -> None:
    """Stores when the last request reached the data centre; sets it in."""
    report = json.loads(OUTAGE_REPORT.read_text('utf-8'))
    idle_s = [
        target.idle_s
        for target in read_targets().values()
        if target.spec.data_centre == data_centre and target.idle_s >= 0
    ]
    if idle_s:
        last_s = monotonic() - min(idle_s)
        report['last_after_s'] = max(last_s - report['out_s'], 0)
    OUTAGE_REPORT.write_text(json.dumps(report))
    _set_state(data_centre, 'in')


@incidents.register('drain')
def drain_target(name: str) -> None:
    """Sets a target to draining."""
    service = next(spec.service for spec in target_specs() if spec.name == name)
    path = f'/teams/{TEAM}/services/{service}/draining'
    _print_failure(put_settings(path, [name], f'drain-{name}'))


@incidents.register('restart')
@incidents.register('stop')
def stop_process(process: str) -> None:
    """Stops a process by SIGTERM; the script `demo` restarts it."""
    os.kill(pid_of(process), SIGTERM)


@incidents.register('kill')
def kill_process(process: str) -> None:
    """Kills a process by SIGKILL."""
    os.kill(pid_of(process), SIGKILL)


@incidents.register('freeze')
def freeze_process(process: str) -> None:
    """Suspends a process by SIGSTOP."""
    os.kill(pid_of(process), SIGSTOP)


@incidents.register('thaw')
def thaw_process(process: str) -> None:
    """Resumes a suspended process, which still has its old view."""
    os.kill(pid_of(process), SIGCONT)


def _set_state(data_centre: str, state: str) -> None:
    path = f'/data-centres/{data_centre}/state'
    _print_failure(put_settings(path, state, f'{data_centre}-{state}'))


def _print_failure(outcome: Outcome) -> None:
    if not isinstance(outcome, Done):
        sys.stdout.write(f'{outcome.code:d} {outcome.code.name}\n')


def _run(_arguments: list[str]) -> int:
    start_s = monotonic()
    plan = [*PLAN, *(FAULT_PLAN if _FAULTS.value else ())]
    for planned in sorted(plan, key=lambda planned: planned.at_s):
        sleep(max(start_s + planned.at_s - monotonic(), 0))
        elapsed_s = monotonic() - start_s
        line = f'{elapsed_s:5.1f} s  {planned.name} {planned.subject}\n'
        sys.stdout.write(line)
        sys.stdout.flush()
        incidents.get(planned.name)(planned.subject)
    return 0


if __name__ == '__main__':
    app.run(_run)
