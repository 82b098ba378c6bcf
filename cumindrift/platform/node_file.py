"""The settings file that the users' platform writes for each process."""

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


@define(frozen=True, slots=True, eq=False, repr=False)
class NodeStart:
    """The settings, and whether the whole system starts for the first time."""

    settings: NodeSettings
    is_first: bool


def read_node_file(text: str) -> Done | Refused:
    """Reads the file into a `NodeStart`.

    Codes: 400 for what is not TOML, 402 for a value that is missing or of
    another type. Fields that we do not use may be absent or new.
    """
    try:
        bare = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Refused(ResultCode.SYNTAX, '/', str(error))
    try:
        start = NodeStart(_settings_of(bare), bool(bare.get('bootstrap')))
    except PARSE_ERRORS as error:
        return Refused(ResultCode.WRONG_TYPE, '/', repr(error))
    return Done(start)


def _settings_of(bare: dict[str, Any]) -> NodeSettings:
    listen = bare['listen_addrs']
    packets = Endpoint.parse(listen['datagram_addr'])
    seeds = [seed.rpartition(':')[0] for seed in bare.get('seed_addrs', ())]
    return NodeSettings(
        # The role's name stands in the deploy file, and is ours.
        role=str(bare['role']),
        name=str(bare['node_name']),
        ip=str(bare['ip']),
        data_centre=str(bare['zone']),
        packets=packets,
        readiness=Endpoint.parse(listen['ready_addr']),
        peer=Endpoint(bare['ip'], int(bare['internal_port_range'][0])),
        store=Endpoint.parse(bare['platform']['address']),
        seeds=tuple(seeds),
        heartbeat_s=float(bare.get('heartbeat_ms', _MS_PER_S)) / _MS_PER_S,
        bounds=_bounds_of(bare.get('bounds', {})),
        target=_target_of(bare, listen),
    )


def _bounds_of(bare: dict[str, Any]) -> NodeBounds:
    plain = NodeBounds()
    return NodeBounds(
        float(bare.get('grace_s', plain.stop_within_s)),
        float(bare.get('flow_ttl_s', plain.flow_lifetime_s)),
        float(bare.get('addr_reuse_s', plain.address_reuse_s)),
        float(bare.get('warmup_factor', plain.cold_rate_factor)),
        float(bare.get('warmup_slack', plain.cold_rate_slack)),
    )


def _target_of(
    bare: dict[str, Any],
    listen: dict[str, str],
) -> TargetEndpoints | None:
    if 'outbound' not in listen:
        return None
    return TargetEndpoints(
        service=str(bare['service']),
        # The target's own address, named for what runs there.
        packets=Endpoint.parse(bare['app']),
        outbound=Endpoint.parse(listen['outbound']),
        heartbeats=Endpoint.parse(listen['control']),
    )
