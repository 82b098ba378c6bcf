"""All metrics of the process, in one module so that names are unique.

The instruments are plain Python counters, cheap enough for the packet path;
`cumindrift/exposition.py` converts them to the Prometheus format on request.
"""

from bisect import bisect_left
from typing import Any

from attrs import define, field

_DURATION_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60,
)  # fmt: skip
_TENANT_LABELS = ('team', 'service')


@define(slots=True, eq=False, repr=False)
class ScalarSeries:
    """One series of a counter or gauge."""

    total: float = 0.0

    def inc(self, amount: float = 1) -> None:
        """Adds `amount`."""
        self.total += amount

    def set(self, amount: float) -> None:
        """Sets the series to `amount`."""
        self.total = amount


@define(slots=True, eq=False, repr=False)
class HistogramSeries:
    """One series of a histogram: observations per bucket."""

    bounds: tuple[float, ...]
    total: float = 0.0
    counts: list[int] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates a count for each bucket, and one above the last bound."""
        self.counts = [0 for _ in (*self.bounds, None)]

    def observe(self, amount: float) -> None:
        """Adds one observation."""
        self.counts[bisect_left(self.bounds, amount)] += 1
        self.total += amount


@define(slots=True, eq=False, repr=False)
class Instrument:
    """A metric with its series by label values; registered in `metrics`."""

    name: str
    documentation: str
    label_names: tuple[str, ...] = ()
    series: dict[tuple[str, ...], Any] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Registers the metric; without labels, creates its only series."""
        metrics.append(self)
        if not self.label_names:
            self.labels()

    def labels(self, *label_values: str) -> Any:
        """Returns the series with these label values, created on first use."""
        found = self.series.get(label_values)
        if found is None:
            if len(label_values) != len(self.label_names):
                raise ValueError(f'{self.name} takes labels {self.label_names}')
            found = self.make_series()
            self.series[label_values] = found
        return found

    def make_series(self) -> Any:
        """Returns an empty series."""
        return ScalarSeries()


class Counter(Instrument):
    """A metric that only increases."""

    def inc(self, amount: float = 1) -> None:
        """Adds to the only series of a metric without labels."""
        self.series[()].inc(amount)


class Gauge(Instrument):
    """A metric that can be set to any value."""

    def set(self, amount: float) -> None:
        """Sets the only series of a metric without labels."""
        self.series[()].set(amount)


@define(slots=True, eq=False, repr=False)
class Histogram(Instrument):
    """A metric that counts observations by value."""

    buckets: tuple[float, ...] = _DURATION_BUCKETS_S

    def make_series(self) -> HistogramSeries:
        """Returns an empty series with this histogram's buckets."""
        return HistogramSeries(self.buckets)


metrics: list[Instrument] = []

PACKETS = Counter(
    'cumindrift_datagrams',
    'Datagrams received and sent.',
    ('direction',),
)
DROPS = Counter(
    'cumindrift_drops',
    'Packets and messages dropped, by result code name.',
    ('code',),
)
OTHER_KEY = Counter(
    'cumindrift_other_key_datagrams',
    'Peer datagrams that another key than the first opened.',
)
MEMBERS = Gauge(
    'cumindrift_members',
    'Members in the view of this process.',
)
MEMBERS_HELD = Gauge(
    'cumindrift_members_held',
    'Silent members that stay in the view while removal is frozen.',
)
VIOLATIONS = Counter(
    'cumindrift_invariant_violations',
    'Invariants found violated; any count is a fault of the program.',
    ('invariant',),
)
LOG_LINES_DROPPED = Counter(
    'cumindrift_log_lines_dropped',
    'Log lines kept back because their source line logged too often.',
)
FLOWS_HELD = Gauge(
    'cumindrift_flows_held',
    'Flows that this agent holds.',
    _TENANT_LABELS,
)
FLOWS_OPENED = Counter(
    'cumindrift_flows_opened',
    'Flows that this agent took.',
    _TENANT_LABELS,
)
HOPS = Histogram(
    'cumindrift_packet_hops',
    'Agents that a packet passed before the one that delivered it.',
    _TENANT_LABELS,
    buckets=(0, 1, 2, 3, 4, 6, 8),
)
REQUEST_SECONDS = Histogram(
    'cumindrift_request_seconds',
    'Time from admission of a request to its whole answer.',
    _TENANT_LABELS,
    buckets=_DURATION_BUCKETS_S,
)
QUEUE_SECONDS = Histogram(
    'cumindrift_queue_seconds',
    'Time that a request waited for a slot of its target.',
    _TENANT_LABELS,
    buckets=_DURATION_BUCKETS_S,
)
REQUEST_OUTCOMES = Counter(
    'cumindrift_request_outcomes',
    'Requests by result code name.',
    ('team', 'service', 'code'),
)
SERVICE_SECONDS = Histogram(
    'cumindrift_service_seconds',
    'Time that a request spent at its target.',
    _TENANT_LABELS,
    buckets=_DURATION_BUCKETS_S,
)
REQUESTS_RECEIVED = Counter(
    'cumindrift_requests_received',
    'Requests received: first attempts, retries, copies of either.',
    ('team', 'service', 'kind'),
)
GOODPUT = Counter(
    'cumindrift_goodput',
    'Requests whose answer was complete before their deadline.',
    _TENANT_LABELS,
)
FLOW_DECISIONS = Counter(
    'cumindrift_flow_decisions',
    "Decisions about flows on the users' platform, by service.",
    ('decision', 'service'),
)
OPEN_HOPS = Histogram(
    'cumindrift_open_hops',
    'Agents that passed an opening packet on before one took it.',
    ('service',),
    buckets=(0, 1, 2, 3, 4, 6, 8),
)
OPEN_SECONDS = Histogram(
    'cumindrift_open_seconds',
    'Time from an opening packet at the agent to the answer of its target.',
    ('service',),
    buckets=_DURATION_BUCKETS_S,
)
RESPONSE_SECONDS = Histogram(
    'cumindrift_response_seconds',
    'Time from data of a client to the first data of the target.',
    ('service',),
    buckets=_DURATION_BUCKETS_S,
)
TARGET_EJECTIONS = Counter(
    'cumindrift_target_ejections',
    'Ejections of a target that failed the requests it had accepted.',
    ('service',),
)
ROOM_REFUSALS = Counter(
    'cumindrift_room_refusals',
    'Flows that an agent refused for want of room, by priority of the route.',
    ('service', 'priority'),
)
EARLY_REFUSALS = Counter(
    'cumindrift_early_refusals',
    'SYNs refused early since they would not be served in time.',
    ('service', 'priority'),
)
SHARE_EXCEEDED = Counter(
    'cumindrift_share_exceeded',
    "First SYNs of clients that exceeded four times the others' mean share.",
    ('service', 'priority'),
)
FOREIGN_HEARTBEATS = Counter(
    'cumindrift_foreign_heartbeats',
    "Heartbeats refused since they were not of this agent's target.",
)
REPORTS_REFUSED = Counter(
    'cumindrift_reports_refused',
    'Reports of agents whose load a balancer left out, by reason.',
    ('reason',),
)
COPY_AGE = Gauge(
    'cumindrift_copy_age_seconds',
    'Time since the store or a peer confirmed the copy of a kind of objects.',
    ('kind',),
)
STORE_CALLS = Counter(
    'cumindrift_store_calls',
    'Calls to the store of the platform, by what they ask and their end.',
    ('verb', 'result'),
)
