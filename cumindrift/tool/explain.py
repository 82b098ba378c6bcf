"""The command that shows where a balancer would send a new flow."""

from ipaddress import IPv4Address
from typing import Any
from urllib.parse import urlencode

from cumindrift.address import Endpoint
from cumindrift.fleet.settings import METRICS_PORT
from cumindrift.outcome import Done, Outcome
from cumindrift.tool.client import ApiCall, ApiClient
from cumindrift.tool.reading import format_table
from cumindrift.tool.session import Report, Session, commands, usage_error

_HEADERS = (
    'agent',
    'data centre',
    'own',
    'cost ms',
    'flows',
    'sent since',
    'busy',
    'slots',
    'response ms',
    'report age s',
    'penalty %',
    'ranks low as',
)
_UNKNOWN = '-'
_OBSTACLES = {
    'no-route': 'no route: the SYN is dropped (701 PACKET_NO_SERVICE)',
    'directory-incomplete': (
        'the directory is incomplete: queued SYNs are not tried again, and no '
        'client is reset'
    ),
    'evacuations-unknown': (
        'the evacuations are not known: no SYN is sent before they are'
    ),
    'no-agent': 'no agent serves: the SYN waits, then it is refused',
}
_FLOW_STATES = {
    'open': 'the flow is open at {agent_ip}: a copy of its SYN goes there',
    'waiting': 'a SYN of the flow waits in the queue',
    'sent': 'a SYN of the flow is sent to {agent_ip}, which has not answered',
}


@commands.register('explain')
def explain_placement(session: Session, arguments: list[str]) -> Outcome:
    """Explains where a balancer would send a new flow now; sends nothing.

    Usage: explain NODE-IP CLIENT-IP:PORT SERVICE-IP:PORT
    """
    if len(arguments) != 3:
        return usage_error('explain')
    node_ip, client, address = arguments
    try:
        IPv4Address(node_ip)
    except ValueError:
        return usage_error('explain')
    node = ApiClient(
        (Endpoint(node_ip, METRICS_PORT),), session.client.transport
    )
    query = urlencode({'client': client, 'address': address}, safe=':')
    found = node.call(ApiCall('GET', f'/placement?{query}'))
    if not isinstance(found, Done):
        return found
    data = found.content
    return Done(Report(data, format_placement(data), not data['obstacles']))


def format_placement(data: dict[str, Any]) -> str:
    """Formats the content of the page as text."""
    parts = [
        _format_head(data),
        _format_inputs(data),
        *(_format_service(service, data) for service in data['services']),
    ]
    return '\n\n'.join(parts)


def _format_head(data: dict[str, Any]) -> str:
    ends = f'{data["client"]} to {data["address"]}'
    lines = [f'SYN from {ends} at {data["balancer"]} in {data["data_centre"]}']
    flow = data['flow']
    known = _FLOW_STATES.get(flow['state'])
    if known:
        lines.append(known.format_map(flow))
    lines.extend(_OBSTACLES.get(name, name) for name in data['obstacles'])
    limits = data['limits']
    if limits:
        idempotent = (
            'idempotent' if limits['is_idempotent'] else 'not idempotent'
        )
        lines.append(
            f'limits: priority {limits["priority"]}, '
            f'time limit {limits["time_limit_s"]:g} s, '
            f'target latency {limits["target_latency_s"]:g} s, {idempotent}'
        )
    return '\n'.join(lines)


def _format_inputs(data: dict[str, Any]) -> str:
    evacuated = ', '.join(data['evacuated']) or 'none'
    if data['evacuations']['version'] is None:
        evacuated = _UNKNOWN
    if data['has_outdated_evacuations']:
        evacuated = f'{evacuated}; others know of a later change'
    rows = [
        ['manifest', *_format_copy(data['manifest']), ''],
        ['evacuations', *_format_copy(data['evacuations']), evacuated],
    ]
    return format_table(rows, ['input', 'version', 'age s', 'evacuated'])


def _format_copy(copied: dict[str, Any]) -> list[Any]:
    return [_or_unknown(copied['version']), _or_unknown(copied['age_s'])]


def _format_service(service: dict[str, Any], data: dict[str, Any]) -> str:
    percent = service['fraction'] * 100
    lines = [f'service {service["service"]}, {percent:g}% of the new flows']
    if service['evacuated_count']:
        count = service['evacuated_count']
        lines.append(f'left out, in evacuated data centres: {count}')
    if service['is_forced']:
        lines.append('most targets are ejected: agents take SYNs all the same')
    if service['agents']:
        rows = [_format_agent(agent) for agent in service['agents']]
        lines.append(format_table(rows, list(_HEADERS)))
        lines.append(
            f'Up to {data["cost_spread_percent"]:g}% is added to each cost at '
            'random for each SYN, so agents of about the same cost change '
            f'places. The first {data["tries_max"]} may get the SYN; then it '
            'waits.'
        )
    else:
        lines.append('no agent would be offered the SYN')
    lines.append(_format_queue(service['queue']))
    return '\n'.join(lines)


def _format_agent(agent: dict[str, Any]) -> list[Any]:
    return [
        agent['agent'],
        agent['data_centre'],
        'yes' if agent['is_own_data_centre'] else 'no',
        agent['cost_ms'],
        _or_unknown(agent['flow_count']),
        agent['sent_count'],
        _or_unknown(agent['busy_count']),
        _or_unknown(agent['slots']),
        _or_unknown(agent['response_ms']),
        _or_unknown(agent['report_age_s']),
        agent['penalty_percent'],
        ', '.join(agent['reasons']),
    ]


def _format_queue(queue: dict[str, Any]) -> str:
    overload = 'overloaded' if queue['is_overloaded'] else 'not overloaded'
    early = 'on' if queue['refuses_early'] else 'off'
    turn = 'joins the queue' if queue['must_wait'] else 'is sent at once'
    return (
        f'queue: {queue["waiting_count"]} SYNs wait, {queue["tried_count"]} '
        f'are tried, {queue["tried_max"]} at once at most; {overload}, early '
        f'refusal {early}\n'
        f'a new SYN {turn}; without room it is held {queue["hold_s"]:g} s'
    )


def _or_unknown(found: Any) -> Any:
    return _UNKNOWN if found is None else found
