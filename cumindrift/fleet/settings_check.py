"""Checks of a node's settings as a whole, run by the command `check-node`.

A node starts with any settings that have the right types, as it has to serve
with what it is given. These checks tell operators what contradicts itself.
"""

from collections.abc import Callable, Iterator
from ipaddress import AddressValueError, IPv4Address

from cumindrift.code import ResultCode
from cumindrift.fleet.settings import METRICS_PORT, NodeSettings
from cumindrift.outcome import Refused
from cumindrift.registry import Registry

# Yields a refusal for each contradiction, with the key and what is allowed.
NodeCheck = Callable[[NodeSettings], Iterator[Refused]]
node_checks: Registry[NodeCheck] = Registry('node settings check')


def check_settings(settings: NodeSettings) -> Refused | None:
    """Returns the first contradiction that any check finds."""
    found = (each for _, check in node_checks for each in check(settings))
    return next(found, None)


def _inconsistent(key: str, detail: str) -> Refused:
    return Refused(ResultCode.INCONSISTENT, key, detail)


@node_checks.register('addresses')
def check_addresses(settings: NodeSettings) -> Iterator[Refused]:
    """Checks that the node's own addresses are IP numbers of its host."""
    try:
        IPv4Address(settings.ip)
    except AddressValueError as error:
        yield _inconsistent('/ip', f'{error}; allowed: an IPv4 number')
    for key, endpoint in (
        ('/listen_addrs/datagram_addr', settings.packets),
        ('/listen_addrs/ready_addr', settings.readiness),
    ):
        if endpoint.ip != settings.ip:
            yield _inconsistent(
                key, f'{endpoint}; allowed: an address of {settings.ip}'
            )


@node_checks.register('ports')
def check_ports(settings: NodeSettings) -> Iterator[Refused]:
    """Checks that no two of the node's ports are the same."""
    owners: dict[int, str] = {}
    for key, port in (
        ('/internal_port_range', settings.peer.port),
        ('/listen_addrs/datagram_addr', settings.packets.port),
        ('/listen_addrs/ready_addr', settings.readiness.port),
        ('the metrics page', METRICS_PORT),
    ):
        owner = owners.setdefault(port, key)
        if owner != key:
            yield _inconsistent(
                key, f'port {port} is that of {owner}; allowed: another one'
            )


@node_checks.register('bounds')
def check_bounds(settings: NodeSettings) -> Iterator[Refused]:
    """Checks that times are positive and cold-start limits not negative."""
    bounds = settings.bounds
    for key, seconds in (
        ('/bounds/grace_s', bounds.stop_within_s),
        ('/bounds/flow_ttl_s', bounds.flow_lifetime_s),
        ('/bounds/addr_reuse_s', bounds.address_reuse_s),
        ('/bounds/evacuate_ms', bounds.evacuation_delay_s),
        ('/bounds/config_apply_ms', bounds.manifest_delay_s),
        ('/heartbeat_ms', settings.heartbeat_s),
    ):
        if not seconds > 0:
            yield _inconsistent(key, 'allowed: a time above 0')
    if bounds.cold_rate_factor < 0 or bounds.cold_rate_slack < 0:
        yield _inconsistent(
            '/bounds/warmup_factor', 'allowed: 0 or more, as warmup_slack'
        )


@node_checks.register('reuse')
def check_reuse(settings: NodeSettings) -> Iterator[Refused]:
    """Checks that heartbeats come more often than addresses are reused.

    Otherwise an agent cannot tell a target that has ended from one whose
    next heartbeat is still to come.
    """
    reuse_s = settings.bounds.address_reuse_s
    if settings.heartbeat_s >= reuse_s:
        yield _inconsistent(
            '/heartbeat_ms',
            f'{settings.heartbeat_s:g} s; allowed: less than addr_reuse_s, '
            f'{reuse_s:g} s',
        )
