"""Runs callers and incidents against a deployment; prints what came of it."""

import sys
from random import Random
from time import monotonic, sleep

from absl import app, flags
from circuits import Component
from circuits.core.pollers import EPoll
from tabulate import tabulate

from cumindrift.document import unstructure
from cumindrift.settings.token import SUPERVISORS
from cumindrift.ticker import Ticker
from lab.incident import Planned, call_admin, incidents, write_settings
from lab.layout import (
    BALANCER_COUNT,
    ENDPOINT_COUNTS,
    balancer_ip,
    target_places,
    tree,
)
from lab.target_report import (
    TargetReport,
    count_run_twice,
    imbalance,
    read_targets,
)
from lab.workload import Workload

_SECONDS = flags.DEFINE_float('seconds', 30.0, 'How long callers go on.')
_FLOWS = flags.DEFINE_integer('flows', 60, 'Flows that are kept open.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the callers.')
_FAULTS = flags.DEFINE_bool('faults', False, 'Kill and freeze processes too.')

TICK_PERIOD_S = 0.05
START_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.1
LEAVING = 'van-c'
DRAINED = 'kaynti-hel-a-1'

PLAN = (
    Planned(6.0, 'drain', DRAINED),
    Planned(10.0, 'data-centre-out', LEAVING),
    Planned(18.0, 'data-centre-in', LEAVING),
)
FAULT_PLAN = (
    Planned(3.0, 'kill', 'balancer-2'),
    Planned(14.0, 'freeze', 'kaynti-esp-b-2'),
    Planned(20.0, 'thaw', 'kaynti-esp-b-2'),
    Planned(22.0, 'kill', 'platform'),
)


def wait_until_up(member_count: int) -> None:
    """Waits until every balancer sees all members; raises TimeoutError."""
    deadline_s = monotonic() + START_TIMEOUT_S
    for number in range(1, BALANCER_COUNT + 1):
        while not _sees(balancer_ip(number), member_count):
            if monotonic() > deadline_s:
                raise TimeoutError(f'balancer-{number} sees too few members')
            sleep(POLL_PERIOD_S)


def _sees(ip: str, member_count: int) -> bool:
    try:
        return call_admin(ip, 'GET', '/ready')['members'] >= member_count
    except OSError:
        return False


class Shift(Component):
    """Drives callers and incidents; the root of this program."""

    def __init__(self, plan: list[Planned]) -> None:
        """Opens nothing yet."""
        super().__init__()
        self.workload = Workload(self, Random(_SEED.value), _FLOWS.value)
        self.reports: dict[str, TargetReport] = {}
        self._plan = sorted(plan, key=lambda planned: planned.at_s)
        self._start_s = monotonic()
        Ticker('shift', TICK_PERIOD_S, self._tick).register(self)

    def _tick(self) -> None:
        elapsed_s = monotonic() - self._start_s
        if elapsed_s > _SECONDS.value:
            if self.workload.is_quiet:
                self.stop()
            return
        while self._plan and self._plan[0].at_s <= elapsed_s:
            self._cause(self._plan.pop(0), elapsed_s)
        self.workload.tick()

    def _cause(self, planned: Planned, elapsed_s: float) -> None:
        sys.stdout.write(
            f'{elapsed_s:5.1f} s  {planned.name} {planned.subject}\n',
        )
        if planned.name == 'data-centre-in':
            # Read before callers come back: the last packet so far.
            self.reports = read_targets()
        if planned.name == 'data-centre-out':
            self.workload.given_up.update(
                place.name
                for place in target_places()
                if place.data_centre == planned.subject
            )
        incidents.get(planned.name)(planned.subject)


def print_table(shift: Shift, out_at_s: float) -> None:
    """Prints the counts, and the checks that the issue names."""
    reports = read_targets()
    rows = sorted(shift.workload.counts.items())
    rows.append(('requests run twice', count_run_twice(reports)))
    for service in sorted(ENDPOINT_COUNTS):
        rows.append(
            (
                f'imbalance of {service} (max/mean relative to speed)',
                f'{imbalance(reports, service):.2f}',
            )
        )
    leaving = [
        report.idle_s
        for report in shift.reports.values()
        if report.place.data_centre == LEAVING and report.idle_s >= 0
    ]
    if leaving:
        rows.append(
            (
                f'last request to {LEAVING} after it was set out, in s',
                f'{max(out_at_s - min(leaving), 0):.2f}',
            )
        )
    sys.stdout.write(f'{tabulate(rows)}\n')


def _run(_arguments: list[str]) -> int:
    wait_until_up(BALANCER_COUNT + len(target_places()))
    write_settings(SUPERVISORS, '/', unstructure(tree()))
    plan = [*PLAN, *(FAULT_PLAN if _FAULTS.value else ())]
    shift = Shift(plan)
    EPoll().register(shift)
    shift.run()
    out, back = (
        next(planned.at_s for planned in PLAN if planned.name == name)
        for name in ('data-centre-out', 'data-centre-in')
    )
    print_table(shift, back - out)
    counts = shift.workload.counts
    return 1 if counts['flows broken'] or counts['answers mixed or cut'] else 0


if __name__ == '__main__':
    app.run(_run)
