"""Sessions of the tool: options, API calls and reports."""

from collections.abc import Callable
from pathlib import Path
from secrets import token_hex
from typing import Any

from attrs import define

from cumindrift.code import ResultCode
from cumindrift.document import parse_strict, parse_text
from cumindrift.outcome import Done, NotRun, Outcome, Refused, Unknown
from cumindrift.registry import Registry
from cumindrift.tool.client import ApiCall, ApiClient

_WRITE_ID_BYTES = 8


@define(frozen=True, slots=True)
class Options:
    """The flags of the command line."""

    is_json: bool = False
    token: str = ''
    version: int | None = None
    write_id: str = ''
    file: str = ''


@define(frozen=True, slots=True)
class Report:
    """The result of a command: text for people, JSON data for programs."""

    data: Any
    text: str
    # False gives exit code 1, as for failed handover checks.
    is_success: bool = True


@define(slots=True)
class Session:
    """One run of the tool; passed to every command."""

    client: ApiClient
    options: Options

    def get(self, target: str) -> Outcome:
        """Reads a page; `Done` holds its JSON content."""
        return self.client.call(ApiCall('GET', target))

    def write(
        self,
        method: str,
        target: str,
        version: int,
        content: Any = None,
    ) -> Outcome:
        """Sends a write; retries use the same write id."""
        write_id = self.options.write_id or token_hex(_WRITE_ID_BYTES)
        headers = {
            'Authorization': f'Bearer {self.options.token}',
            'If-Match': str(version),
            'Idempotency-Key': write_id,
        }
        call = ApiCall(method, target, content, headers)
        outcome = self.client.call_write(call)
        if isinstance(outcome, Unknown):
            again = f'--write_id={write_id} --version={version}'
            return Unknown(
                outcome.code,
                f'{outcome.detail}; to find out, repeat it with {again}',
            )
        return outcome

    def base_version(self) -> Outcome:
        """Returns the version that a write is based on."""
        if self.options.version is not None:
            return Done(self.options.version)
        found = self.get('/settings/data-centres')
        if isinstance(found, Done):
            return Done(found.content['version'])
        return found

    def read_content(self, arguments: list[str]) -> Outcome:
        """Returns the content to write, from `--file` or the last argument."""
        text = arguments[-1] if arguments else ''
        if self.options.file:
            try:
                text = Path(self.options.file).read_text('utf-8')
            except (OSError, UnicodeDecodeError) as error:
                return Refused(
                    ResultCode.BAD_COMMAND,
                    self.options.file,
                    str(error),
                )
        plain = parse_strict(text)
        if isinstance(plain, Done) or plain.code != ResultCode.SYNTAX:
            return plain
        return parse_text(text)


# A command takes the session and its arguments; `Done` holds a `Report`. The
# first line of its docstring is its help, the last one its usage.
Command = Callable[[Session, list[str]], Outcome]
commands: Registry[Command] = Registry('command')


def usage_error(command: str) -> NotRun:
    """Returns the outcome of a command with the wrong arguments."""
    usage = usage_of(commands.get(command))
    return NotRun(ResultCode.BAD_COMMAND, f'usage: cumindrift {usage}')


def usage_of(command: Command) -> str:
    """Returns the usage line of a command."""
    return (command.__doc__ or '').strip().rpartition('Usage: ')[2]


def summary_of(command: Command) -> str:
    """Returns the one-line help of a command."""
    return (command.__doc__ or '').strip().partition('\n')[0]
