"""Parses the settings file that the users' platform writes for a process."""

import tomllib
from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.fleet.settings import NodeBounds, NodeSettings, TargetEndpoints
from cumindrift.outcome import Done, Refused
from cumindrift.platform.documents import PARSE_ERRORS

PATH_VARIABLE = 'CUMINDRIFT_NODE_FILE'
_MS_PER_S = 1000
# The contract under which targets may fail while their health is good.
_HEALTH_CONTRACT = 'health'


@define(frozen=True, slots=True, eq=False, repr=False)
class NodeStart:
    """Node settings, and whether the system starts for the first time."""

    settings: NodeSettings
    is_first: bool


def read_node_file(text: str) -> Done | Refused:
    """Parses the file into a `NodeStart`.

    Refused with code 400 if it is not TOML, with 402 if a value is missing
    or has the wrong type. Unknown fields are ignored.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Refused(ResultCode.SYNTAX, '/', str(error))
    try:
        start = NodeStart(_parse_settings(raw), bool(raw.get('bootstrap')))
    except PARSE_ERRORS as error:
        return Refused(ResultCode.WRONG_TYPE, '/', repr(error))
    return Done(start)


def _parse_settings(raw: dict[str, Any]) -> NodeSettings:
    listen = raw['listen_addrs']
    packets = Endpoint.parse(listen['datagram_addr'])
    seeds = [seed.rpartition(':')[0] for seed in raw.get('seed_addrs', ())]
    return NodeSettings(
        # A role that deploy/system.toml declares.
        role=str(raw['role']),
        name=str(raw['node_name']),
        ip=str(raw['ip']),
        data_centre=str(raw['zone']),
        packets=packets,
        readiness=Endpoint.parse(listen['ready_addr']),
        peer=Endpoint(raw['ip'], int(raw['internal_port_range'][0])),
        store=Endpoint.parse(raw['platform']['address']),
        seeds=tuple(seeds),
        heartbeat_s=float(raw.get('heartbeat_ms', _MS_PER_S)) / _MS_PER_S,
        bounds=_parse_bounds(raw.get('bounds', {})),
        target=_parse_target(raw, listen),
        judges_targets=_has_health_contract(raw),
    )


def _has_health_contract(raw: dict[str, Any]) -> bool:
    contracts = raw.get('contracts')
    return isinstance(contracts, list) and _HEALTH_CONTRACT in contracts


def _parse_bounds(raw: dict[str, Any]) -> NodeBounds:
    defaults = NodeBounds()
    evacuation_ms = defaults.evacuation_delay_s * _MS_PER_S
    manifest_ms = defaults.manifest_delay_s * _MS_PER_S
    return NodeBounds(
        float(raw.get('grace_s', defaults.stop_within_s)),
        float(raw.get('flow_ttl_s', defaults.flow_lifetime_s)),
        float(raw.get('addr_reuse_s', defaults.address_reuse_s)),
        float(raw.get('warmup_factor', defaults.cold_rate_factor)),
        float(raw.get('warmup_slack', defaults.cold_rate_slack)),
        float(raw.get('evacuate_ms', evacuation_ms)) / _MS_PER_S,
        float(raw.get('config_apply_ms', manifest_ms)) / _MS_PER_S,
    )


def _parse_target(
    raw: dict[str, Any],
    listen: dict[str, str],
) -> TargetEndpoints | None:
    if 'outbound' not in listen:
        return None
    return TargetEndpoints(
        service=str(raw['service']),
        # The platform calls the target the app.
        packets=Endpoint.parse(raw['app']),
        outbound=Endpoint.parse(listen['outbound']),
        heartbeats=Endpoint.parse(listen['control']),
    )
