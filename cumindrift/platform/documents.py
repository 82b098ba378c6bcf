"""Parses the documents that operators write to the store."""

from typing import Any

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.fleet.manifest import (
    DEFAULT_LIMITS,
    Manifest,
    RequestLimits,
    WeightedService,
)
from cumindrift.outcome import Done, Refused

# Kinds and names of the operators' documents in the store.
MANIFEST_KIND, MANIFEST_NAME = 'config', 'main'
EVACUATION_KIND = 'evacuations'
# Exceptions that parsing a malformed document may raise.
PARSE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)
# Frames carry versions, revisions and incarnations as 64-bit integers.
NUMBER_MAX = (1 << 63) - 1
_DAY_S = 86_400
# Types of routes whose requests may run more than once.
_IDEMPOTENT_TYPES = ('safe', 'download')
_MS_PER_S = 1000


def read_manifest(spec: Any) -> Done | Refused:
    """Parses a manifest; refused if any part is malformed."""
    try:
        return Done(_parse_manifest(spec))
    except PARSE_ERRORS as error:
        return Refused(ResultCode.WRONG_TYPE, 'config/main', repr(error))


def check_number(number: int, name: str) -> int:
    """Returns a version, revision or incarnation.

    Raises ValueError if it is negative or does not fit into a frame.
    """
    if not 0 <= number <= NUMBER_MAX:
        raise ValueError(f'{name}: out of range')
    return number


def _parse_manifest(spec: dict[str, Any]) -> Manifest:
    services = spec['services']
    if isinstance(services, dict):
        services = list(services.values())
    rates = {
        service['name']: float(service.get('warmup_per_s') or 0)
        for service in services
    }
    limits = spec.get('limits') or {}
    return Manifest(
        version=check_number(int(spec['version']), 'version'),
        routes={
            _parse_address(route): _parse_services(route)
            for route in spec['routes']
        },
        cold_rates={name: rate for name, rate in rates.items() if rate > 0},
        idle_timeout_s=float(limits.get('idle_timeout_ms', 15000)) / _MS_PER_S,
        limits={
            _parse_address(route): _parse_limits(route)
            for route in spec['routes']
        },
    )


def _parse_address(route: dict[str, Any]) -> Endpoint:
    # `hostname` holds an IP address, `path_prefix` a port between slashes.
    port = int(route['path_prefix'].strip('/'))
    return Endpoint(str(route['hostname']), port)


def _parse_limits(route: dict[str, Any]) -> RequestLimits:
    usual = DEFAULT_LIMITS
    time_limit_ms = route.get('timeout_ms', usual.time_limit_s * _MS_PER_S)
    latency_ms = route.get(
        'target_latency_ms', usual.target_latency_s * _MS_PER_S
    )
    return RequestLimits(
        min(float(time_limit_ms) / _MS_PER_S, _DAY_S),
        min(float(latency_ms) / _MS_PER_S, _DAY_S),
        int(route.get('priority', usual.priority)),
        route.get('route_type') in _IDEMPOTENT_TYPES,
    )


def _parse_services(route: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = route.get('traffic_split')
    if split:
        return tuple(
            WeightedService(str(part['service']), float(part['weight']))
            for part in split
        )
    return (WeightedService(str(route['service'])),)
