"""Runs callers against a deployment and prints the outcomes."""

import json
import sys
from http.client import HTTPConnection
from random import Random
from time import monotonic, sleep

from absl import app, flags
from circuits import Component
from circuits.core.pollers import EPoll
from tabulate import tabulate

from cumindrift.code import ResultCode
from cumindrift.document import unstructure
from cumindrift.ticker import Ticker
from lab.incident import (
    ADMIN_PORT,
    CENTRE_TAKEN_OUT,
    OUTAGE_REPORT,
    RUN_FOLDER,
    put_settings,
)
from lab.layout import (
    BALANCER_COUNT,
    ENDPOINT_COUNTS,
    balancer_ip,
    settings_tree,
    target_specs,
)
from lab.target_report import count_run_twice, imbalance, read_targets
from lab.workload import Workload

_SECONDS = flags.DEFINE_float(
    'seconds', 30.0, 'How long callers send requests.'
)
_FLOWS = flags.DEFINE_integer('flows', 60, 'Flows that are kept open.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the callers.')

TICK_PERIOD_S = 0.05
START_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.1
HTTP_TIMEOUT_S = 5.0


def wait_until_up(member_count: int) -> None:
    """Waits until every balancer sees all members.

    Raises TimeoutError after START_TIMEOUT_S.
    """
    deadline_s = monotonic() + START_TIMEOUT_S
    for number in range(1, BALANCER_COUNT + 1):
        while _count_members(balancer_ip(number)) < member_count:
            if monotonic() > deadline_s:
                raise TimeoutError(f'balancer-{number} sees too few members')
            sleep(POLL_PERIOD_S)


def write_first_settings() -> None:
    """Writes the deployment's first settings."""
    outcome = put_settings('/', unstructure(settings_tree()), 'first')
    if outcome.code >= ResultCode.NO_ROOM:
        raise ValueError(f'the first settings were refused: {outcome}')


def _count_members(ip: str) -> int:
    connection = HTTPConnection(ip, ADMIN_PORT, timeout=HTTP_TIMEOUT_S)
    try:
        connection.request('GET', '/ready')
        return json.loads(connection.getresponse().read())['members']
    except OSError:
        return 0
    finally:
        connection.close()


class DemoDriver(Component):
    """Drives the callers; root component of this program."""

    def __init__(self) -> None:
        """Prepares the workload; flows are opened from the first tick on."""
        super().__init__()
        self.workload = Workload(self, Random(_SEED.value), _FLOWS.value)
        self.workload.leaving_agents.update(
            spec.name
            for spec in target_specs()
            if spec.data_centre == CENTRE_TAKEN_OUT
        )
        self._until_s = monotonic() + _SECONDS.value
        Ticker('shift', TICK_PERIOD_S, self._tick).register(self)

    def _tick(self) -> None:
        if monotonic() < self._until_s:
            self.workload.tick()
        elif self.workload.is_idle:
            self.stop()


def print_table(counts: dict[str, int]) -> None:
    """Prints the callers' counts and the figures of targets and outage."""
    reports = read_targets()
    rows: list[tuple[str, object]] = sorted(counts.items())
    rows.append(('requests run twice', count_run_twice(reports)))
    for service in sorted(ENDPOINT_COUNTS):
        ratio = imbalance(reports, service)
        rows.append((f'imbalance of {service}, max/mean', f'{ratio:.2f}'))
    if OUTAGE_REPORT.exists():
        after_s = json.loads(OUTAGE_REPORT.read_text('utf-8')).get(
            'last_after_s'
        )
        rows.append(
            (f'last request to {CENTRE_TAKEN_OUT} after it was out, s', after_s)
        )
    sys.stdout.write(f'{tabulate(rows)}\n')


def _run(_arguments: list[str]) -> int:
    OUTAGE_REPORT.unlink(missing_ok=True)
    wait_until_up(BALANCER_COUNT + len(target_specs()))
    write_first_settings()
    (RUN_FOLDER / 'started').touch()
    driver = DemoDriver()
    EPoll().register(driver)
    driver.run()
    counts = driver.workload.counts
    for name in ('flows broken', 'flows given up', 'answers mixed or cut'):
        counts.setdefault(name, 0)
    print_table(counts)
    return 1 if counts['flows broken'] or counts['answers mixed or cut'] else 0


if __name__ == '__main__':
    app.run(_run)
