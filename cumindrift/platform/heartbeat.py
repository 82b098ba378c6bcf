"""Parses the heartbeats of targets."""

from math import isfinite
from typing import Any

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.lenient_json import parse_json
from cumindrift.outcome import Done, Refused
from cumindrift.platform.documents import PARSE_ERRORS, check_number
from cumindrift.steering.agent.heartbeat import Heartbeat

_MS_PER_S = 1000
_STATES = {'ready': False, 'draining': True}


def read_heartbeat(target_id: str, body: bytes) -> Done | Refused:
    """Parses the body of a heartbeat."""
    try:
        return Done(_parse_heartbeat(target_id, parse_json(body)))
    except PARSE_ERRORS as error:
        return Refused(ResultCode.WRONG_TYPE, target_id, repr(error))


def _parse_heartbeat(target_id: str, raw: dict[str, Any]) -> Heartbeat:
    return Heartbeat(
        target_id=target_id,
        service=_typed_field(raw, 'service', str),
        packets=Endpoint.parse(_typed_field(raw, 'address', str)),
        is_draining=_STATES[_typed_field(raw, 'state', str)],
        slots=_typed_field(raw, 'max_concurrency', int),
        cold_s=_number_field(raw, 'warmup_left_ms') / _MS_PER_S,
        sequence=_typed_field(raw, 'sequence', int),
        # The start time of the target, in Unix milliseconds.
        incarnation=check_number(_typed_field(raw, 'born', int), 'born'),
    )


def _typed_field(raw: dict[str, Any], name: str, kind: type) -> Any:
    found = raw[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f'{name}: expected {kind.__name__}, found {found!r}')
    return found


def _number_field(raw: dict[str, Any], name: str) -> float:
    found = raw[name]
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{name}: expected a number, found {found!r}')
    if not isfinite(found):
        raise ValueError(f'{name}: expected a finite number, found {found!r}')
    return float(found)
