"""Commands that read settings, history, views and the handover report."""

import json
from datetime import UTC, datetime
from typing import Any

from tabulate import tabulate

from cumindrift.outcome import Done, Outcome
from cumindrift.tool.session import Report, Session, commands, usage_error

_TABLE = 'simple'
_SHOWN_CHARACTERS_MAX = 60


def format_table(rows: list[list[Any]], headers: list[str]) -> str:
    """Formats rows as a plain-text table."""
    return tabulate(rows, headers, tablefmt=_TABLE, disable_numparse=True)


def format_changes(changes: list[dict[str, Any]]) -> str:
    """Formats changes as a table of paths with content before and after."""
    rows = [
        [
            change['path'],
            _truncate(change['before']) if 'before' in change else '(nothing)',
            _truncate(change['after']) if 'after' in change else '(nothing)',
        ]
        for change in changes
    ]
    return format_table(rows, ['path', 'before', 'after'])


@commands.register('get')
def get_settings(session: Session, arguments: list[str]) -> Outcome:
    """Shows the settings in force, all or those at or below a path.

    Usage: get [PATH]
    """
    path = arguments[0] if arguments else '/'
    found = session.get(f'/settings/{path.strip("/")}')
    if not isinstance(found, Done):
        return found
    data = found.content
    text = json.dumps(data['content'], indent=2)
    heading = f'// version {data["version"]}, {data["path"]}'
    return Done(Report(data, f'{heading}\n{text}'))


@commands.register('diff')
def compare_versions(session: Session, arguments: list[str]) -> Outcome:
    """Shows the differences between two settings versions.

    Usage: diff FROM TO
    """
    if len(arguments) != 2 or not all(text.isdecimal() for text in arguments):
        return usage_error('diff')
    found = session.get(f'/diff?from={arguments[0]}&to={arguments[1]}')
    if not isinstance(found, Done):
        return found
    return Done(Report(found.content, format_changes(found.content['changes'])))


@commands.register('history')
def show_history(session: Session, arguments: list[str]) -> Outcome:
    """Lists the changes of the settings with their authors, newest first.

    Usage: history [PATH]
    """
    path = arguments[0] if arguments else ''
    found = session.get(f'/history/{path.strip("/")}')
    if not isinstance(found, Done):
        return found
    rows = [
        [
            entry['version'],
            _format_time(entry['changed_at_s']),
            entry['author'],
            entry['path'],
            'yes' if entry['can_roll_forward'] else 'no',
        ]
        for entry in found.content['history']
    ]
    headers = ['version', 'changed at', 'author', 'path', 'kept']
    return Done(Report(found.content, format_table(rows, headers)))


@commands.register('teams')
def list_teams(session: Session, arguments: list[str]) -> Outcome:
    """Lists the teams, their services and targets.

    Usage: teams
    """
    found = session.get('/teams')
    if not isinstance(found, Done):
        return found
    rows = [list(team.values()) for team in found.content['teams']]
    text = format_table(rows, ['team', 'services', 'targets'])
    return Done(Report(found.content, text))


@commands.register('services')
def list_services(session: Session, arguments: list[str]) -> Outcome:
    """Lists services with their targets by data centre and state.

    Usage: services [TEAM]
    """
    team = arguments[0] if arguments else ''
    found = session.get(f'/services/{team}')
    if not isinstance(found, Done):
        return found
    rows = [
        [
            f'{service["team"]}/{service["service"]}',
            service['address'],
            service['placement'],
            _format_targets(service['targets']) or 'none',
        ]
        for service in found.content['services']
    ]
    text = format_table(rows, ['service', 'address', 'placement', 'targets'])
    return Done(Report(found.content, text))


@commands.register('status')
def show_status(session: Session, arguments: list[str]) -> Outcome:
    """Shows one balancer's view of members and data centres.

    Usage: status
    """
    found = session.get('/status')
    if not isinstance(found, Done):
        return found
    data = found.content
    rows = [
        ['balancer', f'{data["process"]} in {data["data_centre"]}'],
        ['settings version', data['version']],
    ]
    rows.extend(
        [f'data centre {name}', state]
        for name, state in sorted(data['data_centres'].items())
    )
    rows.extend(sorted([key, count] for key, count in data['members'].items()))
    return Done(Report(data, format_table(rows, ['what', 'is'])))


@commands.register('handover')
def show_handover(session: Session, arguments: list[str]) -> Outcome:
    """Reports whether the deployment can run unattended; exits with 1 if not.

    Usage: handover
    """
    found = session.get('/handover')
    if not isinstance(found, Done):
        return found
    data = found.content
    rows = [
        [
            'yes' if finding['holds'] else 'NO',
            finding['check'],
            finding['subject'],
            finding['detail'],
        ]
        for finding in data['findings']
    ]
    text = format_table(rows, ['holds', 'check', 'subject', 'detail'])
    verdict = 'It holds.' if data['holds'] else 'It does not hold.'
    return Done(Report(data, f'{text}\n\n{verdict}', data['holds']))


def _format_targets(targets: dict[str, dict[str, int]]) -> str:
    return '; '.join(
        f'{place}: '
        + ', '.join(f'{count} {state}' for state, count in states.items())
        for place, states in sorted(targets.items())
    )


def _format_time(changed_at_s: float) -> str:
    moment = datetime.fromtimestamp(changed_at_s, UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')


def _truncate(data: Any) -> str:
    text = json.dumps(data)
    if len(text) > _SHOWN_CHARACTERS_MAX:
        return f'{text[:_SHOWN_CHARACTERS_MAX]}...'
    return text
