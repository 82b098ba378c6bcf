"""Frames between balancers and agents: a packet carried, or news of a flow."""

from enum import IntEnum, unique
from socket import inet_aton, inet_ntoa
from struct import Struct, error
from zlib import crc32

from attrs import define, field

from cumindrift.steering.packet import FLOW_KEY_BYTES

HOPS_MAX = 8
_FORWARDED_HEADER = Struct('>BBBx4sQQIfH')
_REPORT_HEADER = Struct(f'>BBxx{FLOW_KEY_BYTES}sQQHHHH')
_IP_BYTES = 4
# Stands where news is about no flow.
NO_FLOW = bytes(FLOW_KEY_BYTES)
# What reading octets that are no frame may raise.
DECODE_ERRORS = (IndexError, ValueError, OSError, error)
_COUNT_MAX = 0xFFFF


@unique
class FrameKind(IntEnum):
    """What a frame asks or tells."""

    # Towards an agent, with a packet of a client.
    OPEN = 1
    TO_HOLDER = 2
    SEARCH = 3
    PING = 4
    DELEGATED_SEARCH = 5
    # Towards a balancer.
    HELD = 11
    ABSENT = 12
    RETURNED = 13
    REFUSED = 14
    ENDED = 15
    PONG = 16
    NOT_FOUND = 17
    # Between agents, beside ABSENT.
    HOLDER_RECORD = 18


@define(slots=True, eq=False, repr=False)
class ForwardedPacket:
    """A client's packet on its way to a target.

    `origin_ip` is the balancer that took the packet, through all hops.
    `candidate_ips` are the agents to try after this one, or all to ask.
    `incarnation` is that of the target believed to hold the flow, 0 when
    nobody knows. `keeper_ips` are the agents that shall know the holder.
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
    keeper_ips: tuple[str, ...] = ()
    sender_ip: str = ''


@define(frozen=True, slots=True, eq=False, repr=False)
class Load:
    """What an agent reports of its target with each news."""

    flow_count: int = 0
    busy_count: int = 0
    response_ms: int = 0
    slots: int = 1


@define(slots=True, eq=False, repr=False)
class AgentReport:
    """What an agent tells a balancer about one flow."""

    kind: FrameKind
    flow_key: bytes = NO_FLOW
    incarnation: int = 0
    manifest_version: int = 0
    # Whether the agent knows every flow of its target.
    is_authoritative: bool = False
    load: Load = field(factory=Load)
    packet: bytes = b''


def service_digest(service: str) -> int:
    """Returns the number that stands for a service in frames."""
    return crc32(service.encode())


def encode_forwarded(forwarded: ForwardedPacket) -> bytes:
    """Returns the frame of a carried packet."""
    head = _FORWARDED_HEADER.pack(
        forwarded.kind,
        forwarded.hop_count,
        len(forwarded.keeper_ips),
        inet_aton(forwarded.origin_ip),
        forwarded.incarnation,
        forwarded.manifest_version,
        forwarded.service_digest,
        forwarded.cold_rate,
        len(forwarded.candidate_ips),
    )
    ips = forwarded.candidate_ips + forwarded.keeper_ips
    if ips:
        return head + b''.join(map(inet_aton, ips)) + forwarded.packet
    return head + forwarded.packet


def encode_report(report: AgentReport) -> bytes:
    """Returns the frame of news."""
    load = report.load
    head = _REPORT_HEADER.pack(
        report.kind,
        report.is_authoritative,
        report.flow_key,
        report.incarnation,
        report.manifest_version,
        min(load.flow_count, _COUNT_MAX),
        min(load.busy_count, _COUNT_MAX),
        min(load.response_ms, _COUNT_MAX),
        min(load.slots, _COUNT_MAX),
    )
    return head + report.packet


def decode_frame(octets: bytes) -> ForwardedPacket | AgentReport | None:
    """Returns the message of a frame; None for what is no frame of ours."""
    try:
        if octets[0] < FrameKind.HELD:
            return _decode_forwarded(octets)
        return _decode_report(octets)
    except DECODE_ERRORS:
        return None


def _decode_forwarded(octets: bytes) -> ForwardedPacket:
    head = _FORWARDED_HEADER.unpack_from(octets)
    start = _FORWARDED_HEADER.size
    candidate_count = head[8]
    packet_at = start + (candidate_count + head[2]) * _IP_BYTES
    ips = tuple(
        inet_ntoa(octets[place : place + _IP_BYTES])
        for place in range(start, packet_at, _IP_BYTES)
    )
    return ForwardedPacket(
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


def _decode_report(octets: bytes) -> AgentReport:
    head = _REPORT_HEADER.unpack_from(octets)
    return AgentReport(
        FrameKind(head[0]),
        head[2],
        head[3],
        head[4],
        bool(head[1]),
        Load(*head[5:]),
        octets[_REPORT_HEADER.size :],
    )
