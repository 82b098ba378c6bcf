"""Metrics of the whole process, in one place so that names stay unique."""

from prometheus_client import Counter, Gauge, Histogram

_DURATION_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60,
)  # fmt: skip
_TENANT_LABELS = ('team', 'service')

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
