"""Commands that write settings or check a write."""

from typing import Any

from cumindrift.outcome import Done, Outcome
from cumindrift.tool.reading import format_changes
from cumindrift.tool.session import Report, Session, commands, usage_error

_STATES = ('in', 'out')


@commands.register('set')
def put_settings(session: Session, arguments: list[str]) -> Outcome:
    """Writes JSON, which may have comments, to a path.

    Usage: set PATH VALUE | set PATH --file=FILE
    """
    return _send_content(session, 'PUT', '/settings', arguments, 'set')


@commands.register('check')
def check_settings(session: Session, arguments: list[str]) -> Outcome:
    """Shows what a set would change, or why it would be refused.

    Usage: check PATH VALUE | check PATH --file=FILE
    """
    return _send_content(session, 'POST', '/check', arguments, 'check')


@commands.register('remove')
def remove_settings(session: Session, arguments: list[str]) -> Outcome:
    """Removes the settings at a path.

    Usage: remove PATH
    """
    if len(arguments) != 1:
        return usage_error('remove')
    target = f'/settings/{arguments[0].strip("/")}'
    return _send(session, 'DELETE', target)


@commands.register('roll-forward')
def roll_forward(session: Session, arguments: list[str]) -> Outcome:
    """Restores a path to its content in an earlier version.

    Usage: roll-forward PATH VERSION
    """
    if len(arguments) != 2 or not arguments[1].isdecimal():
        return usage_error('roll-forward')
    path, version = arguments
    target = f'/roll-forward/{path.strip("/")}?to={version}'
    return _send(session, 'POST', target)


@commands.register('data-centre')
def set_data_centre(session: Session, arguments: list[str]) -> Outcome:
    """Takes a data centre out of service, or back into it.

    Usage: data-centre out|in NAME
    """
    if len(arguments) != 2 or arguments[0] not in _STATES:
        return usage_error('data-centre')
    state, name = arguments
    found = session.get(f'/settings/data-centres/{name}')
    if not isinstance(found, Done):
        return found
    target = f'/settings/data-centres/{name}/state'
    return _send(session, 'PUT', target, state)


def _send_content(
    session: Session,
    method: str,
    route: str,
    arguments: list[str],
    command: str,
) -> Outcome:
    expected_count = 1 if session.options.file else 2
    if len(arguments) != expected_count:
        return usage_error(command)
    content = session.read_content(arguments)
    if not isinstance(content, Done):
        return content
    target = f'{route}/{arguments[0].strip("/")}'
    return _send(session, method, target, content.content)


def _send(
    session: Session,
    method: str,
    target: str,
    content: Any = None,
) -> Outcome:
    seen = session.base_version()
    if not isinstance(seen, Done):
        return seen
    outcome = session.write(method, target, seen.content, content)
    if isinstance(outcome, Done):
        return Done(_report(outcome), outcome.code)
    return outcome


def _report(outcome: Done) -> Report:
    data = outcome.content
    heading = f'{outcome.code:d} {outcome.code.name}'
    changes = data.get('changes')
    if changes is None:
        lines = [f'{heading}: version {data["version"]}', *data['paths']]
        return Report(data, '\n'.join(lines))
    text = f'{heading}: against version {data["version"]}'
    return Report(data, f'{text}\n{format_changes(changes)}')
