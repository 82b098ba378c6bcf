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
from cumindrift.tool import evacuations as _evacuations
from cumindrift.tool import explain as _explain
from cumindrift.tool import local as _local
from cumindrift.tool import metric as _metric
from cumindrift.tool import reading as _reading
from cumindrift.tool import refusals as _refusals
from cumindrift.tool import story as _story
from cumindrift.tool import writing as _writing
from cumindrift.tool.client import ApiClient, make_transport
from cumindrift.tool.session import Options, Report, Session, commands

# Importing these modules registers their commands.
COMMAND_MODULES = (
    _evacuations,
    _explain,
    _local,
    _metric,
    _reading,
    _refusals,
    _story,
    _writing,
)

BALANCERS_VARIABLE = 'CUMINDRIFT_BALANCERS'
TOKEN_VARIABLE = 'CUMINDRIFT_TOKEN'  # noqa: S105 - the name of a variable
EXIT_FAILED_CHECKS = 1
_CODES_PER_KIND = 100

_BALANCERS = flags.DEFINE_list(
    'balancers',
    None,
    f'Administration addresses, tried in turn; default: ${BALANCERS_VARIABLE}.',
)
_TOKEN_FILE = flags.DEFINE_string(
    'token_file',
    None,
    f'File that holds the token; default: the token in ${TOKEN_VARIABLE}.',
)
_JSON = flags.DEFINE_bool('json', False, 'Print JSON for programs.')
_VERSION = flags.DEFINE_integer(
    'version',
    None,
    'Version that a write is based on; default: the version in force.',
)
_WRITE_ID = flags.DEFINE_string(
    'write_id',
    '',
    'Id of the write to repeat; default: a new id.',
)
_FILE = flags.DEFINE_string('file', '', 'File that holds what to write.')
_TIMEOUT_S = flags.DEFINE_float('timeout_s', 45.0, 'Response timeout.')


@define(frozen=True, slots=True)
class CommandResult:
    """The output and the exit code of a run."""

    exit_code: int
    out: str = ''
    err: str = ''


def run_command(session: Session, arguments: list[str]) -> CommandResult:
    """Runs one command; without arguments it shows the help."""
    name = arguments[0] if arguments else 'help'
    if name in commands:
        outcome = commands.get(name)(session, arguments[1:])
    else:
        detail = f'no command {name!r}; see cumindrift help'
        outcome = NotRun(ResultCode.BAD_COMMAND, detail)
    return render_outcome(outcome, is_json=session.options.is_json)


def render_outcome(outcome: Outcome, *, is_json: bool) -> CommandResult:
    """Renders an outcome as text or JSON.

    The exit code is the hundreds digit of the result code, but 0 for 1xx.
    A handover report with failed checks gives 1.
    """
    if isinstance(outcome, Done):
        report: Report = outcome.content
        text = json.dumps(report.data) if is_json else report.text
        exit_code = 0 if report.is_success else EXIT_FAILED_CHECKS
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
        found = render_outcome(outcome, is_json=_JSON.value)
    else:
        client = ApiClient(balancers, make_transport(_TIMEOUT_S.value))
        found = run_command(Session(client, options), arguments[1:])
    sys.stdout.write(found.out)
    sys.stderr.write(found.err)
    return found.exit_code


def main() -> None:
    """Runs the tool; entry point of the installed program."""
    # Flags may stand after the command, as in `cumindrift get / --json`.
    flags.FLAGS.set_gnu_getopt(True)
    app.run(_run)


if __name__ == '__main__':
    main()
