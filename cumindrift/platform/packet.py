"""Reads and writes packet headers of the users' fabric."""

from ipaddress import IPv4Address
from struct import Struct

from cumindrift.address import Endpoint
from cumindrift.steering.packet import FlowPacket

_HEADER = Struct('>IIHBBH4sH4sII')
HEADER_BYTES = _HEADER.size
_FLAGS_AT = 10
_ZERO_WORD = bytes(4)
_SYN, _ACK, _FIN, _RST, _BOUNCED = 1, 128, 8, 4, 2


def read_from_client(octets: bytes) -> FlowPacket | None:
    """Parses a client's packet; None if it is truncated."""
    if len(octets) < HEADER_BYTES:
        return None
    # The flow key: source port and address, destination port and address.
    return _read(octets, octets[12:24])


def read_from_target(octets: bytes) -> FlowPacket | None:
    """Parses a packet from a target; None if it is truncated.

    It is the target's own packet or a bounced one: a client's packet that
    the target returned because it does not hold the flow.
    """
    if len(octets) < HEADER_BYTES:
        return None
    if octets[_FLAGS_AT] & _BOUNCED:
        bounced = _read(_restore(octets), octets[12:24])
        bounced.is_bounced = True
        return bounced
    # The flow key is the client's: source and destination are swapped.
    return _read(octets, octets[18:24] + octets[12:18])


def build_reset(key: bytes, acknowledged: int) -> bytes:
    """Returns a reset to the flow's client.

    Its sequence number is the one that the client acknowledged last.
    """
    return _HEADER.pack(
        0,
        0,
        0,
        _RST,
        0,
        int.from_bytes(key[6:8]),
        key[8:12],
        int.from_bytes(key[:2]),
        key[2:6],
        acknowledged,
        0,
    )


def client_ip(flow_key: bytes) -> str:
    """Returns the client's IP address in a flow key."""
    return '.'.join(map(str, flow_key[8:12]))


def service_endpoint(flow_key: bytes) -> Endpoint:
    """Returns the service address in a flow key."""
    ip = '.'.join(map(str, flow_key[2:6]))
    return Endpoint(ip, int.from_bytes(flow_key[6:8]))


def flow_key_of(client: Endpoint, service: Endpoint) -> bytes:
    """Returns the flow key of a client's endpoint and a service address."""
    return b''.join(
        (
            client.port.to_bytes(2),
            IPv4Address(service.ip).packed,
            service.port.to_bytes(2),
            IPv4Address(client.ip).packed,
        )
    )


def format_flow_key(flow_key: bytes) -> str:
    """Returns a flow key as text for logs: client, then service."""
    client = f'{client_ip(flow_key)}:{int.from_bytes(flow_key[:2])}'
    return f'{client}>{service_endpoint(flow_key)}'


def _read(octets: bytes, flow_key: bytes) -> FlowPacket:
    head = _HEADER.unpack_from(octets)
    flags = head[3]
    is_syn = bool(flags & _SYN)
    return FlowPacket(
        octets=octets,
        flow_key=flow_key,
        is_syn=is_syn and not flags & _ACK,
        is_syn_ack=is_syn and bool(flags & _ACK),
        is_reset=bool(flags & _RST),
        is_fin=bool(flags & _FIN),
        is_bounced=False,
        sequence=head[9],
        acknowledged=head[10],
        payload_bytes=head[2],
    )


def _restore(octets: bytes) -> bytes:
    """Returns a bounced packet as the client sent it."""
    # Balancers and agents set the first word and the padding byte; both are
    # zero in the client's packet.
    flags = octets[_FLAGS_AT] & ~_BOUNCED
    return b''.join(
        (_ZERO_WORD, octets[4:10], bytes((flags, 0)), octets[12:]),
    )
