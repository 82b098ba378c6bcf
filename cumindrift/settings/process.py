"""The settings file of a process."""

from pathlib import Path
from typing import Any

from attrs import define, field, validators

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.document import parse_document
from cumindrift.outcome import Done, Refused
from cumindrift.settings.token import TokenSettings

_KEY_BYTES_MIN = 16
_KEY_BYTES_MAX = 64


def _check_address(_instance: object, attribute: Any, text: str) -> None:
    try:
        Endpoint.parse(text)
    except ValueError as error:
        raise ValueError(str(error), attribute) from error


def _check_optional(instance: object, attribute: Any, text: str) -> None:
    if text:
        _check_address(instance, attribute, text)


def _check_key(_instance: object, attribute: Any, text: str) -> None:
    try:
        size = len(bytes.fromhex(text))
    except ValueError as error:
        raise ValueError('a key must be hexadecimal', attribute) from error
    if not _KEY_BYTES_MIN <= size <= _KEY_BYTES_MAX:
        raise ValueError(
            f'a key must have {_KEY_BYTES_MIN} to {_KEY_BYTES_MAX} octets',
            attribute,
        )


@define(frozen=True, slots=True)
class TargetSettings:
    """The target that an agent serves."""

    team: str
    service: str
    http: str = field(validator=_check_address)
    packets: str = field(validator=_check_address)
    slots: int = field(default=4, validator=validators.ge(1))
    connections_max: int = field(default=2000, validator=validators.ge(1))


@define(frozen=True, slots=True)
class ProcessSettings:
    """Settings that a process needs to start and to reach its peers."""

    role: str
    name: str
    region: str
    data_centre: str
    peer: str = field(validator=_check_address)
    admin: str = field(validator=_check_address)
    keys: tuple[str, ...] = field(
        validator=validators.deep_iterable(
            _check_key,
            validators.min_len(1),
        ),
    )
    fabric: str = field(default='', validator=_check_optional)
    seeds: tuple[str, ...] = field(
        default=(),
        validator=validators.deep_iterable(_check_address),
    )
    platform: str = field(default='', validator=_check_optional)
    tokens: tuple[TokenSettings, ...] = ()
    target: TargetSettings | None = None
    log_format: str = field(
        default='text',
        validator=validators.in_(('text', 'json')),
    )
    log_level: str = field(
        default='INFO',
        validator=validators.in_(('DEBUG', 'INFO', 'WARNING', 'ERROR')),
    )
    stop_within_s: float = field(default=10.0, validator=validators.ge(0))

    def key_octets(self) -> tuple[bytes, ...]:
        """Returns the keys as octets; the first one signs messages."""
        return tuple(bytes.fromhex(key) for key in self.keys)


def load_process_settings(path: str) -> Done | Refused:
    """Reads a settings file; refusals name the path of the fault in it.

    Codes: 600 for an unreadable file, 400 to 403 for an invalid document.
    """
    try:
        text = Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Refused(ResultCode.SETTINGS_FILE, path, str(error))
    return parse_document(text, ProcessSettings)
