"""What targets say of themselves, translated into our types."""

import json
from math import isfinite
from typing import Any

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, Refused
from cumindrift.platform.documents import PARSE_ERRORS
from cumindrift.steering.agent.heartbeat import Heartbeat

_MS_PER_S = 1000
_STATES = {'ready': False, 'draining': True}


def read_heartbeat(target_id: str, body: bytes) -> Done | Refused:
    """Reads what a target says of itself."""
    try:
        return Done(_heartbeat_of(target_id, json.loads(body)))
    except PARSE_ERRORS as error:
        return Refused(ResultCode.WRONG_TYPE, target_id, repr(error))


def _heartbeat_of(target_id: str, bare: dict[str, Any]) -> Heartbeat:
    return Heartbeat(
        target_id=target_id,
        service=_typed(bare, 'service', str),
        packets=Endpoint.parse(_typed(bare, 'address', str)),
        is_draining=_STATES[_typed(bare, 'state', str)],
        slots=_typed(bare, 'max_concurrency', int),
        cold_s=_number(bare, 'warmup_left_ms') / _MS_PER_S,
        sequence=_typed(bare, 'sequence', int),
        # Unix milliseconds of the target's start: its incarnation.
        incarnation=_typed(bare, 'born', int),
    )


def _typed(bare: dict[str, Any], name: str, kind: type) -> Any:
    found = bare[name]
    if not isinstance(found, kind) or isinstance(found, bool):
        raise TypeError(f'{name} is {found!r}')
    return found


def _number(bare: dict[str, Any], name: str) -> float:
    found = bare[name]
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(f'{name} is {found!r}')
    if not isfinite(found):
        raise ValueError(f'{name} is {found!r}')
    return float(found)
