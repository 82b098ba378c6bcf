"""Reconstructs the history of a flow from the logs of many nodes."""

from collections.abc import Iterable
from typing import Any

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome
from cumindrift.tool.node_log import LogLine, merge_logs, read_logs
from cumindrift.tool.reading import format_table
from cumindrift.tool.session import Report, Session, commands, usage_error

_COMMON_FIELDS = frozenset(('time', 'up_s', 'node', 'event', 'flow'))


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
    found = read_logs(paths)
    if not isinstance(found, Done):
        return found
    lines = events_of_flow(found.content, flow)
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


def _format_fields(line: LogLine) -> str:
    return ' '.join(
        f'{key}={content}'
        for key, content in line.fields.items()
        if key not in _COMMON_FIELDS
    )
