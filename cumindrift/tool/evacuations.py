"""Reconstructs from logs who knew of an evacuation when, and what came late."""

from collections.abc import Iterable
from math import inf
from typing import Any

from attrs import define, evolve, field

from cumindrift.code import ResultCode
from cumindrift.fleet.settings import NodeBounds
from cumindrift.outcome import Done, NotRun, Outcome
from cumindrift.tool.node_log import LogLine, merge_logs, read_logs
from cumindrift.tool.reading import format_table
from cumindrift.tool.session import Report, Session, commands, usage_error

HEADERS = (
    'data centre',
    'revision',
    'from s',
    'to s',
    'last knows after s',
    'last balancer',
    'unaware balancers',
    'late flows',
)
EVACUATION_DELAY_S = NodeBounds().evacuation_delay_s


@define(slots=True, eq=False)
class Evacuation:
    """One evacuation of a data centre, as the balancers' logs show it.

    Attributes:
        data_centre: The data centre.
        revision: The store's revision of the evacuation.
        from_s: When the first balancer knew of it.
        to_s: When the first balancer knew that it was over.
        last_node: The balancer that was the last to know, of those that ran
            when the first one knew.
        last_known_s: When that balancer knew.
        unaware_nodes: The balancers that placed flows without knowing of the
            evacuation when it should have been in force.
        late_flows: The flows that agents of the data centre opened although
            the evacuation should have been in force.
    """

    data_centre: str
    revision: int
    from_s: float
    last_node: str
    last_known_s: float
    to_s: float = inf
    unaware_nodes: set[str] = field(factory=set)
    late_flows: list[LogLine] = field(factory=list)

    def is_due(self, at_s: float) -> bool:
        """Tells whether the evacuation should be in force at that time."""
        return self.from_s + EVACUATION_DELAY_S < at_s < self.to_s


@define(slots=True)
class EvacuationReader:
    """Goes through the events of all nodes, in their order."""

    evacuations: list[Evacuation] = field(factory=list)
    # By node: its data centre, its last start, and the evacuations it knows.
    _centres: dict[str, str] = field(factory=dict)
    _started_s: dict[str, float] = field(factory=dict)
    _known: dict[str, list[Evacuation]] = field(factory=dict)

    def on_line(self, line: LogLine) -> None:
        """Handles the next event of any node."""
        if line.event == 'node-started':
            self._centres[line.node] = line.fields['data_centre']
            self._started_s[line.node] = line.at_s
            self._known.pop(line.node, None)
        elif line.event == 'evacuations-taken':
            self._on_taken(line)
        elif line.event == 'open-sent':
            self._on_sent(line)
        elif line.event == 'flow-opened':
            self._on_opened(line)

    def _on_taken(self, line: LogLine) -> None:
        names = line.fields['data_centres']
        pairs = zip(names, line.fields['revisions'], strict=True)
        known = [self._learn(line, name, revision) for name, revision in pairs]
        for earlier in self._known.get(line.node, []):
            if earlier not in known:
                earlier.to_s = min(earlier.to_s, line.at_s)
        self._known[line.node] = known

    def _learn(self, line: LogLine, name: str, revision: int) -> Evacuation:
        found = self._find(name, revision)
        if found is None:
            found = Evacuation(name, revision, line.at_s, line.node, line.at_s)
            self.evacuations.append(found)
            return found
        has_known = found in self._known.get(line.node, [])
        was_running = self._started_s.get(line.node, -inf) <= found.from_s
        if was_running and not has_known:
            found.last_node = line.node
            found.last_known_s = line.at_s
        return found

    def _find(self, name: str, revision: int) -> Evacuation | None:
        for found in self.evacuations:
            if found.data_centre == name and found.revision == revision:
                return found
        return None

    def _on_sent(self, line: LogLine) -> None:
        known = self._known.get(line.node, [])
        for evacuation in self.evacuations:
            if evacuation.is_due(line.at_s) and evacuation not in known:
                evacuation.unaware_nodes.add(line.node)

    def _on_opened(self, line: LogLine) -> None:
        centre = self._centres.get(line.node)
        for evacuation in self.evacuations:
            is_inside = evacuation.data_centre == centre
            if is_inside and evacuation.is_due(line.at_s):
                evacuation.late_flows.append(line)


def find_evacuations(events: Iterable[dict[str, Any]]) -> list[Evacuation]:
    """Returns the evacuations in the events of all nodes.

    Their times are in seconds since the first event.
    """
    lines = merge_logs(events)
    reader = EvacuationReader()
    for line in lines:
        reader.on_line(evolve(line, at_s=line.at_s - lines[0].at_s))
    return reader.evacuations


@commands.register('evacuations')
def show_evacuations(session: Session, arguments: list[str]) -> Outcome:
    """Shows when the last balancer knew of an evacuation, and late flows.

    Usage: evacuations LOG...
    """
    if not arguments:
        return usage_error('evacuations')
    found = read_logs(arguments)
    if not isinstance(found, Done):
        return found
    evacuations = find_evacuations(found.content)
    if not evacuations:
        return NotRun(ResultCode.BAD_COMMAND, 'no evacuation in the logs')
    data = [_data_of(evacuation) for evacuation in evacuations]
    rows = [_row_of(evacuation) for evacuation in evacuations]
    return Done(Report(data, format_table(rows, list(HEADERS))))


def _row_of(evacuation: Evacuation) -> list[str]:
    is_over = evacuation.to_s < inf
    return [
        evacuation.data_centre,
        str(evacuation.revision),
        f'{evacuation.from_s:.3f}',
        f'{evacuation.to_s:.3f}' if is_over else '-',
        f'{evacuation.last_known_s - evacuation.from_s:.3f}',
        evacuation.last_node,
        str(len(evacuation.unaware_nodes)),
        str(len(evacuation.late_flows)),
    ]


def _data_of(evacuation: Evacuation) -> dict[str, Any]:
    is_over = evacuation.to_s < inf
    return {
        'data_centre': evacuation.data_centre,
        'revision': evacuation.revision,
        'from_s': evacuation.from_s,
        'to_s': evacuation.to_s if is_over else None,
        'last_known_s': evacuation.last_known_s,
        'last_balancer': evacuation.last_node,
        'unaware_balancers': sorted(evacuation.unaware_nodes),
        'late_flows': [
            {'at_s': line.at_s, 'node': line.node, **line.fields}
            for line in evacuation.late_flows
        ],
    }
