"""The command-line tool `cumindrift`."""

import json
import os
import sys
from pathlib import Path

from absl import app, flags
from attrs import define

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome, Refused
from cumindrift.tool import local as _local
from cumindrift.tool import metric as _metric
from cumindrift.tool import reading as _reading
from cumindrift.tool import story as _story
from cumindrift.tool import writing as _writing
from cumindrift.tool.client import ApiClient, make_transport
from cumindrift.tool.session import Options, Report, Session, commands

# Importing a module of commands files them in the registry.
COMMAND_MODULES = (_local, _metric, _reading, _story, _writing)

BALANCERS_VARIABLE = 'CUMINDRIFT_BALANCERS'
TOKEN_VARIABLE = 'CUMINDRIFT_TOKEN'  # noqa: S105 - the name of a variable
EXIT_DOES_NOT_HOLD = 1
_CODES_PER_KIND = 100

_BALANCERS = flags.DEFINE_list(
    'balancers',
    None,
    f'Administration addresses, tried in turn; else ${BALANCERS_VARIABLE}.',
)
_TOKEN_FILE = flags.DEFINE_string(
    'token_file',
    None,
    f'File that holds the token; else ${TOKEN_VARIABLE} is taken.',
)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON for programs.')
_VERSION = flags.DEFINE_integer(
    'version',
    None,
    'Version that a write is based on; else the one in force now.',
)
_WRITE_ID = flags.DEFINE_string(
    'write_id',
    '',
    'Id of a write that is repeated; else a new one.',
)
_FILE = flags.DEFINE_string('file', '', 'File that holds what to write.')
_TIMEOUT_S = flags.DEFINE_float('timeout_s', 45.0, 'Wait for one answer.')


@define(frozen=True, slots=True)
class CommandResult:
    """What a run of the tool prints, and its exit code."""

    exit_code: int
    out: str = ''
    err: str = ''


def run_command(session: Session, arguments: list[str]) -> CommandResult:
    """Runs one command; an empty command line shows the help."""
    name = arguments[0] if arguments else 'help'
    if name in commands:
        outcome = commands.get(name)(session, arguments[1:])
    else:
        detail = f'no command {name!r}; see cumindrift help'
        outcome = NotRun(ResultCode.BAD_COMMAND, detail)
    return render_outcome(outcome, is_json=session.options.is_json)


def render_outcome(outcome: Outcome, *, is_json: bool) -> CommandResult:
    """Turns an outcome into lines; the exit code is the code's hundred.

    Codes 1xx give 0, a handover that does not hold gives 1.
    """
    if isinstance(outcome, Done):
        report: Report = outcome.content
        text = json.dumps(report.data) if is_json else report.text
        exit_code = 0 if report.is_success else EXIT_DOES_NOT_HOLD
        return CommandResult(exit_code, f'{text}\n')
    exit_code = outcome.code // _CODES_PER_KIND
    place = f' at {outcome.path}' if isinstance(outcome, Refused) else ''
    detail = outcome.detail or outcome.code.meaning
    line = f'{outcome.code:d} {outcome.code.name}{place}: {detail}'
    if is_json:
        data = {'code': int(outcome.code), 'name': outcome.code.name}
        data['detail'] = detail
        if isinstance(outcome, Refused):
            data['path'] = outcome.path
        return CommandResult(exit_code, f'{json.dumps(data)}\n')
    return CommandResult(exit_code, err=f'cumindrift: {line}\n')


def _read_options() -> Options:
    token = os.environ.get(TOKEN_VARIABLE, '')
    if _TOKEN_FILE.value:
        token = Path(_TOKEN_FILE.value).read_text('utf-8')
    return Options(
        _JSON.value,
        token.strip(),
        _VERSION.value,
        _WRITE_ID.value,
        _FILE.value,
    )


def _read_balancers() -> tuple[Endpoint, ...]:
    listed = _BALANCERS.value
    if listed is None:
        listed = os.environ.get(BALANCERS_VARIABLE, '').split(',')
    return tuple(Endpoint.parse(text) for text in listed if text)


def _run(arguments: list[str]) -> int:
    try:
        options, balancers = _read_options(), _read_balancers()
    except (OSError, ValueError) as error:
        outcome = NotRun(ResultCode.BAD_COMMAND, str(error))
        printed = render_outcome(outcome, is_json=_JSON.value)
    else:
        client = ApiClient(balancers, make_transport(_TIMEOUT_S.value))
        printed = run_command(Session(client, options), arguments[1:])
    sys.stdout.write(printed.out)
    sys.stderr.write(printed.err)
    return printed.exit_code


def main() -> None:
    """Runs the tool; the entry point of the installed program."""
    # Flags may stand after the command, as in `cumindrift get / --json`.
    flags.FLAGS.set_gnu_getopt(True)
    app.run(_run)


if __name__ == '__main__':
    main()
