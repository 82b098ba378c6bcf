"""Summarises from logs who was refused under load, and what decided it."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome
from cumindrift.registry import Registry
from cumindrift.tool.node_log import LogLine, merge_logs, read_logs
from cumindrift.tool.reading import format_table
from cumindrift.tool.session import Report, Session, commands, usage_error

WINDOW_S = 2.0
# SYNs that were refused after a shorter wait were refused early, or at once.
WAITED_LONG_S = 0.5
HEADERS = (
    'from s',
    'opened',
    'no room at agents',
    'target failing',
    'other refusals',
    'reset early',
    'reset after waiting',
    'left',
    'overloaded balancers',
    'ejected targets',
    'lines left out',
)


@define(slots=True, eq=False)
class Window:
    """What all nodes decided within some seconds.

    Attributes:
        from_s: Its begin, in seconds since the first event.
        opened_count: Flows that targets took.
        passed: SYNs that agents passed on or refused, by reason.
        reset_early_count: SYNs that a balancer refused after a short wait.
        reset_late_count: SYNs that a balancer refused after a long wait.
        left_count: SYNs that were left to their clients' timeout.
        overloaded: The balancers that refused SYNs early.
        ejected: The agents that had ejected their target.
        dropped_count: Log lines about these events that were left out.
    """

    from_s: float
    opened_count: int = 0
    passed: Counter[str] = field(factory=Counter)
    reset_early_count: int = 0
    reset_late_count: int = 0
    left_count: int = 0
    overloaded: set[str] = field(factory=set)
    ejected: set[str] = field(factory=set)
    dropped_count: int = 0


@define(slots=True, eq=False)
class RefusalReader:
    """Goes through the events of all nodes, in their order."""

    windows: list[Window] = field(factory=list)
    # The balancers and agents in these states at the last event.
    _overloaded: set[str] = field(factory=set)
    _ejected: set[str] = field(factory=set)

    def on_line(self, line: LogLine) -> None:
        """Handles the next event of any node."""
        window = self._window_at(line.at_s)
        if line.event in event_readers:
            event_readers.get(line.event)(window, line)
        self._follow_state(line)
        window.overloaded |= self._overloaded
        window.ejected |= self._ejected

    def _window_at(self, at_s: float) -> Window:
        from_s = at_s // WINDOW_S * WINDOW_S
        if not self.windows or self.windows[-1].from_s < from_s:
            self.windows.append(Window(from_s))
        return self.windows[-1]

    def _follow_state(self, line: LogLine) -> None:
        """Follows which nodes are in a state that begins and ends by events."""
        for nodes, begin, end in (
            (self._overloaded, 'queue-overloaded', 'queue-relieved'),
            (self._ejected, 'target-ejected', 'target-returned'),
        ):
            if line.event == begin:
                nodes.add(line.node)
            elif line.event in {end, 'node-started'}:
                # What an earlier process of the node had logged is over.
                nodes.discard(line.node)


EventReader = Callable[[Window, LogLine], None]
# Counts an event, by its name.
event_readers: Registry[EventReader] = Registry('event reader')


@event_readers.register('flow-opened')
def count_opened(window: Window, line: LogLine) -> None:
    """Counts a flow that a target took."""
    window.opened_count += 1


@event_readers.register('open-refused')
@event_readers.register('open-passed')
def count_passed(window: Window, line: LogLine) -> None:
    """Counts a SYN that an agent did not take, by reason."""
    window.passed[line.fields.get('reason', '')] += 1


@event_readers.register('open-reset')
def count_reset(window: Window, line: LogLine) -> None:
    """Counts a SYN that a balancer refused for want of room."""
    if line.fields.get('reason') != ResultCode.NO_ROOM.name:
        return
    if line.fields.get('waited_s', 0) < WAITED_LONG_S:
        window.reset_early_count += 1
    else:
        window.reset_late_count += 1


@event_readers.register('open-left')
def count_left(window: Window, line: LogLine) -> None:
    """Counts a SYN that was left to its client's timeout."""
    window.left_count += 1


@event_readers.register('lines-dropped')
def count_dropped(window: Window, line: LogLine) -> None:
    """Counts the lines that a node left out, as far as they belong here."""
    for name, count in line.fields.get('events', {}).items():
        if name.partition(':')[0] in event_readers:
            window.dropped_count += count


def find_refusals(events: Iterable[dict[str, Any]]) -> list[Window]:
    """Returns what was decided, in windows of `WINDOW_S` seconds."""
    lines = merge_logs(events)
    reader = RefusalReader()
    for line in lines:
        reader.on_line(evolve(line, at_s=line.at_s - lines[0].at_s))
    return reader.windows


@commands.register('refusals')
def show_refusals(session: Session, arguments: list[str]) -> Outcome:
    """Shows over time who was refused under load, and by which decision.

    Usage: refusals LOG...
    """
    if not arguments:
        return usage_error('refusals')
    found = read_logs(arguments)
    if not isinstance(found, Done):
        return found
    windows = find_refusals(found.content)
    if not windows:
        return NotRun(ResultCode.BAD_COMMAND, 'no event in the logs')
    rows = [_row_of(window) for window in windows]
    data = [dict(zip(HEADERS, row, strict=True)) for row in rows]
    return Done(Report(data, format_table(rows, list(HEADERS))))


def _row_of(window: Window) -> list[Any]:
    known = window.passed['full'] + window.passed['failing']
    return [
        window.from_s,
        window.opened_count,
        window.passed['full'],
        window.passed['failing'],
        window.passed.total() - known,
        window.reset_early_count,
        window.reset_late_count,
        window.left_count,
        len(window.overloaded),
        len(window.ejected),
        window.dropped_count,
    ]
