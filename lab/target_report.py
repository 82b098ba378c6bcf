"""Reads the counts of the demonstration's stand-in targets."""

import json
from collections import Counter
from http.client import HTTPConnection
from typing import Any

from attrs import define

from lab.layout import TargetSpec, target_specs

HTTP_PORT = 8080
HTTP_TIMEOUT_S = 5.0


@define(frozen=True, slots=True)
class TargetReport:
    """The counts of one target."""

    spec: TargetSpec
    run_counts: dict[str, int]
    # Seconds since the last request started; negative if there was none.
    idle_s: float

    @property
    def load(self) -> float:
        """The number of requests run, relative to the target's speed."""
        return sum(self.run_counts.values()) / self.spec.speed


def read_targets() -> dict[str, TargetReport]:
    """Requests the counts of every target."""
    return {
        spec.name: TargetReport(
            spec,
            _read(spec, '/runs'),
            _read(spec, '/load')['idle_s'],
        )
        for spec in target_specs()
    }


def count_run_twice(reports: dict[str, TargetReport]) -> int:
    """Returns how many request ids ran more than once, on any target."""
    runs: Counter[str] = Counter()
    for report in reports.values():
        runs.update(report.run_counts)
    return sum(1 for count in runs.values() if count > 1)


def imbalance(reports: dict[str, TargetReport], service: str) -> float:
    """Returns the maximum load of a service's targets over the mean."""
    loads = [
        report.load
        for report in reports.values()
        if report.spec.service == service
    ]
    return max(loads) * len(loads) / max(sum(loads), 1)


def _read(spec: TargetSpec, path: str) -> Any:
    connection = HTTPConnection(spec.ip, HTTP_PORT, timeout=HTTP_TIMEOUT_S)
    connection.request('GET', path)
    return json.loads(connection.getresponse().read())
