"""Reconstructs the history of a flow from the logs of many nodes."""

import json
import re
from collections.abc import Iterable
from pathlib import Path
from statistics import median
from typing import Any

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome, Refused
from cumindrift.platform.node_file import read_node_file
from cumindrift.tool.reading import format_table
from cumindrift.tool.session import Report, Session, commands, usage_error

# The lab prefixes each line with its own time and the node's name.
_JSON_OBJECT = re.compile(r'\{.*\}\s*$')
_COMMON_FIELDS = frozenset(('time', 'up_s', 'node', 'event', 'flow'))


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


def events_of_flow(
    events: Iterable[dict[str, Any]], flow: str
) -> list[LogLine]:
    """Returns the events of one flow, or of all flows of a client endpoint."""
    return [
        line
        for line in merge_logs(events)
        if str(line.fields.get('flow', '')).startswith(flow)
    ]


@commands.register('story')
def show_story(session: Session, arguments: list[str]) -> Outcome:
    """Shows the history of a flow from the logs of all nodes.

    Usage: story CLIENT-IP:PORT[>SERVICE-IP:PORT] LOG...
    """
    if len(arguments) < 2 or ':' not in arguments[0]:
        return usage_error('story')
    flow, *paths = arguments
    events = []
    for path in paths:
        try:
            text = Path(path).read_text('utf-8', 'replace')
        except OSError as error:
            return NotRun(ResultCode.BAD_COMMAND, str(error))
        events.extend(read_events(text.splitlines()))
    lines = events_of_flow(events, flow)
    if not lines:
        return NotRun(ResultCode.BAD_COMMAND, f'no event of flow {flow}')
    start_s = lines[0].at_s
    rows = [
        [
            f'{line.at_s - start_s:.3f}',
            line.node,
            line.event,
            _format_fields(line),
        ]
        for line in lines
    ]
    data = [
        {'at_s': line.at_s, 'node': line.node, **line.fields} for line in lines
    ]
    return Done(
        Report(data, format_table(rows, ['s', 'node', 'event', 'inputs']))
    )


@commands.register('check-node')
def check_node(session: Session, arguments: list[str]) -> Outcome:
    """Checks a settings file that the platform has written for a node.

    Usage: check-node FILE
    """
    if len(arguments) != 1:
        return usage_error('check-node')
    try:
        text = Path(arguments[0]).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        path = arguments[0]
        return Refused(ResultCode.SETTINGS_FILE, path, str(error))
    outcome = read_node_file(text)
    if isinstance(outcome, Refused):
        return outcome
    settings = outcome.content.settings
    data = {'role': settings.role, 'name': settings.name}
    return Done(Report(data, f'{settings.role} {settings.name}: in order'))


def _format_fields(line: LogLine) -> str:
    return ' '.join(
        f'{key}={content}'
        for key, content in line.fields.items()
        if key not in _COMMON_FIELDS
    )
