"""What operators and targets write, translated into our types."""

import json
from math import isfinite
from typing import Any

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.fleet.manifest import Manifest, Share
from cumindrift.outcome import Done, Refused
from cumindrift.steering.agent.target import Heartbeat

# Where the operators' documents lie in the store.
MANIFEST_KIND, MANIFEST_NAME = 'config', 'main'
EVACUATION_KIND = 'evacuations'
# What reading a document of another shape may raise.
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, IndexError)
_MS_PER_S = 1000
_STATES = {'ready': False, 'draining': True}


def read_manifest(spec: Any) -> Done | Refused:
    """Reads a manifest; one that cannot be read whole is refused."""
    try:
        return Done(_manifest_of(spec))
    except UNREADABLE as error:
        return Refused(ResultCode.WRONG_TYPE, 'config/main', repr(error))


def read_heartbeat(target_id: str, body: bytes) -> Done | Refused:
    """Reads what a target says of itself."""
    try:
        return Done(_heartbeat_of(target_id, json.loads(body)))
    except UNREADABLE as error:
        return Refused(ResultCode.WRONG_TYPE, target_id, repr(error))


def _manifest_of(spec: dict[str, Any]) -> Manifest:
    services = spec['services']
    if isinstance(services, dict):
        services = list(services.values())
    rates = {
        service['name']: float(service.get('warmup_per_s') or 0)
        for service in services
    }
    limits = spec.get('limits') or {}
    return Manifest(
        version=int(spec['version']),
        routes={
            _address_of(route): _shares_of(route) for route in spec['routes']
        },
        cold_rates={name: rate for name, rate in rates.items() if rate > 0},
        idle_timeout_s=float(limits.get('idle_timeout_ms', 15000)) / _MS_PER_S,
    )


def _address_of(route: dict[str, Any]) -> Endpoint:
    # The host name is an IP number, the path prefix a port between slashes.
    port = int(route['path_prefix'].strip('/'))
    return Endpoint(str(route['hostname']), port)


def _shares_of(route: dict[str, Any]) -> tuple[Share, ...]:
    split = route.get('traffic_split')
    if split:
        return tuple(
            Share(str(part['service']), float(part['weight'])) for part in split
        )
    return (Share(str(route['service'])),)


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
