"""Reads the logs of nodes and puts their events in order."""

import json
import re
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome

# The lab prefixes each line with its own time and the node's name.
_JSON_OBJECT = re.compile(r'\{.*\}\s*$')


@define(frozen=True, slots=True)
class LogLine:
    """One event of a node; jumps of the wall clock don't affect `at_s`."""

    at_s: float
    node: str
    event: str
    fields: dict[str, Any]


@define(slots=True)
class NodeLog:
    """The log lines of one run of a node."""

    lines: list[dict[str, Any]] = field(factory=list)

    def offset_s(self) -> float:
        """Returns the wall clock minus the node's monotonic clock.

        The median ignores the few lines logged while the clock was wrong.
        """
        return median(line['time'] - line['up_s'] for line in self.lines)


def read_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the events in log lines; ignores all other lines."""
    events = []
    for line in lines:
        found = _JSON_OBJECT.search(line)
        if found is None:
            continue
        try:
            data = json.loads(found.group())
        except ValueError:
            continue
        if {'time', 'up_s', 'node', 'event'} <= data.keys():
            events.append(data)
    return events


def merge_logs(events: Iterable[dict[str, Any]]) -> list[LogLine]:
    """Merges the events of all nodes in order, even if clocks have jumped."""
    runs: dict[tuple[str, int], NodeLog] = {}
    starts: dict[str, int] = {}
    for data in events:
        node = data['node']
        if data['event'] == 'node-started':
            starts[node] = starts.get(node, 0) + 1
        run = (node, starts.get(node, 0))
        runs.setdefault(run, NodeLog()).lines.append(data)
    ordered = []
    for (node, _), log in runs.items():
        offset_s = log.offset_s()
        ordered.extend(
            LogLine(
                data['up_s'] + offset_s,
                node,
                data['event'],
                {key: data[key] for key in data if key != 'time'},
            )
            for data in log.lines
        )
    return sorted(ordered, key=lambda line: line.at_s)


def read_logs(paths: Iterable[str]) -> Outcome:
    """Reads the events in log files, in no order; `Done` holds their list."""
    events = []
    for path in paths:
        try:
            text = Path(path).read_text('utf-8', 'replace')
        except OSError as error:
            return NotRun(ResultCode.BAD_COMMAND, str(error))
        events.extend(read_events(text.splitlines()))
    return Done(events)
