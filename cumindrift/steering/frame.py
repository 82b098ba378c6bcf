"""Frames between balancers and agents: a packet carried, or news of a flow."""

from enum import IntEnum, unique
from socket import inet_aton, inet_ntoa
from struct import Struct, error
from zlib import crc32

from attrs import define, field

from cumindrift.steering.packet import FLOW_KEY_BYTES

HOPS_MAX = 8
_CARRIED = Struct('>BBBx4sQQIfH')
_NEWS = Struct(f'>BBxx{FLOW_KEY_BYTES}sQQHHHH')
_IP_BYTES = 4
# Stands where news is about no flow.
NO_FLOW = bytes(FLOW_KEY_BYTES)
# What reading octets that are no frame may raise.
UNREADABLE = (IndexError, ValueError, OSError, error)
_COUNT_MAX = 0xFFFF


@unique
class FrameKind(IntEnum):
    """What a frame asks or tells."""

    # Towards an agent, with a packet of a client.
    OPEN = 1
    KNOWN = 2
    SEARCH = 3
    PING = 4
    SEEK = 5
    # Towards a balancer.
    HELD = 11
    ABSENT = 12
    RETURNED = 13
    REFUSED = 14
    ENDED = 15
    PONG = 16
    NOWHERE = 17
    # Between agents, beside ABSENT.
    HOLDS = 18


@define(slots=True, eq=False, repr=False)
class Carried:
    """A client's packet on its way to a target.

    `origin_ip` is the balancer that took the packet, through all hops.
    `candidate_ips` are the agents to try after this one, or all to ask.
    `incarnation` is that of the target believed to hold the flow, 0 when
    nobody knows. `home_ips` are the agents that shall know the holder.
    `sender_ip` is where this hop came from, which the frame does not say.
    """

    kind: FrameKind
    origin_ip: str
    packet: bytes
    hop_count: int = 0
    incarnation: int = 0
    manifest_version: int = 0
    service_digest: int = 0
    # New flows a second that a cold target of the service bears; 0: any.
    cold_rate: float = 0.0
    candidate_ips: tuple[str, ...] = ()
    home_ips: tuple[str, ...] = ()
    sender_ip: str = ''


@define(frozen=True, slots=True, eq=False, repr=False)
class Load:
    """What an agent reports of its target with each news."""

    flow_count: int = 0
    busy_count: int = 0
    response_ms: int = 0
    slots: int = 1


@define(slots=True, eq=False, repr=False)
class News:
    """What an agent tells a balancer about one flow."""

    kind: FrameKind
    flow_key: bytes = NO_FLOW
    incarnation: int = 0
    manifest_version: int = 0
    # Whether the agent knows every flow of its target.
    is_sure: bool = False
    load: Load = field(factory=Load)
    packet: bytes = b''


def service_digest(service: str) -> int:
    """Returns the number that stands for a service in frames."""
    return crc32(service.encode())


def encode_carried(carried: Carried) -> bytes:
    """Returns the frame of a carried packet."""
    head = _CARRIED.pack(
        carried.kind,
        carried.hop_count,
        len(carried.home_ips),
        inet_aton(carried.origin_ip),
        carried.incarnation,
        carried.manifest_version,
        carried.service_digest,
        carried.cold_rate,
        len(carried.candidate_ips),
    )
    ips = carried.candidate_ips + carried.home_ips
    if ips:
        return head + b''.join(map(inet_aton, ips)) + carried.packet
    return head + carried.packet


def encode_news(news: News) -> bytes:
    """Returns the frame of news."""
    load = news.load
    head = _NEWS.pack(
        news.kind,
        news.is_sure,
        news.flow_key,
        news.incarnation,
        news.manifest_version,
        min(load.flow_count, _COUNT_MAX),
        min(load.busy_count, _COUNT_MAX),
        min(load.response_ms, _COUNT_MAX),
        min(load.slots, _COUNT_MAX),
    )
    return head + news.packet


def decode_frame(octets: bytes) -> Carried | News | None:
    """Returns the message of a frame; None for what is no frame of ours."""
    try:
        if octets[0] < FrameKind.HELD:
            return _decode_carried(octets)
        return _decode_news(octets)
    except UNREADABLE:
        return None


def _decode_carried(octets: bytes) -> Carried:
    head = _CARRIED.unpack_from(octets)
    start = _CARRIED.size
    candidate_count = head[8]
    packet_at = start + (candidate_count + head[2]) * _IP_BYTES
    ips = tuple(
        inet_ntoa(octets[place : place + _IP_BYTES])
        for place in range(start, packet_at, _IP_BYTES)
    )
    return Carried(
        FrameKind(head[0]),
        inet_ntoa(head[3]),
        octets[packet_at:],
        head[1],
        head[4],
        head[5],
        head[6],
        head[7],
        ips[:candidate_count],
        ips[candidate_count:],
    )


def _decode_news(octets: bytes) -> News:
    head = _NEWS.unpack_from(octets)
    return News(
        FrameKind(head[0]),
        head[2],
        head[3],
        head[4],
        bool(head[1]),
        Load(*head[5:]),
        octets[_NEWS.size :],
    )
