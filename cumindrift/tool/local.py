"""Commands that call no balancer: help, codes, new tokens, node files."""

import json
import re
from pathlib import Path
from secrets import token_bytes

from attrs import asdict
from tabulate import tabulate

from cumindrift.code import ResultCode
from cumindrift.fleet.settings_check import check_settings
from cumindrift.outcome import Done, Outcome, Refused
from cumindrift.platform.node_file import read_node_file
from cumindrift.settings.token import TOKEN_BYTES, make_token
from cumindrift.tool.reading import format_table
from cumindrift.tool.session import (
    Report,
    Session,
    commands,
    summary_of,
    usage_error,
    usage_of,
)

_CODE_HEADERS = ['code', 'name', 'meaning']
_HOLDER = re.compile('[a-z0-9][a-z0-9-]*')


def code_table() -> str:
    """Returns the table of result codes that docs/RESULT-CODES.md contains."""
    rows = [[int(code), code.name, code.meaning] for code in ResultCode]
    return tabulate(rows, _CODE_HEADERS, tablefmt='github')


@commands.register('codes')
def list_codes(session: Session, arguments: list[str]) -> Outcome:
    """Lists all result codes, or one of them, with the meaning.

    Usage: codes [CODE]
    """
    codes = [
        code
        for code in ResultCode
        if not arguments or arguments[0] in {str(int(code)), code.name}
    ]
    rows = [[int(code), code.name, code.meaning] for code in codes]
    data = [
        {'code': number, 'name': name, 'meaning': meaning}
        for number, name, meaning in rows
    ]
    return Done(Report(data, format_table(rows, _CODE_HEADERS)))


@commands.register('new-token')
def make_new_token(session: Session, arguments: list[str]) -> Outcome:
    """Makes a token and its entry for the balancers' settings files.

    Usage: new-token TEAM | new-token supervisors
    """
    if len(arguments) != 1 or not _HOLDER.fullmatch(arguments[0]):
        return usage_error('new-token')
    token, kept = make_token(arguments[0], token_bytes(TOKEN_BYTES))
    entry = json.dumps(asdict(kept))
    text = f'token, for its holder alone:\n{token}\n\nfor "tokens":\n{entry}'
    return Done(Report({'token': token, 'entry': asdict(kept)}, text))


@commands.register('help')
def show_help(session: Session, arguments: list[str]) -> Outcome:
    """Lists the commands, or explains one of them.

    Usage: help [COMMAND]
    """
    if arguments and arguments[0] in commands:
        command = commands.get(arguments[0])
        text = f'{summary_of(command)}\n\nusage: cumindrift {usage_of(command)}'
        return Done(Report({'usage': usage_of(command)}, text))
    rows = [[usage_of(entry), summary_of(entry)] for _, entry in commands]
    data = [{'usage': usage, 'summary': summary} for usage, summary in rows]
    return Done(Report(data, format_table(rows, ['command', 'what it does'])))


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
    contradiction = check_settings(settings)
    if contradiction is not None:
        return contradiction
    data = {'role': settings.role, 'name': settings.name}
    return Done(Report(data, f'{settings.role} {settings.name}: in order'))
