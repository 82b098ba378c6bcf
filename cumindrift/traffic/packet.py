"""Parsing and building of IPv4 packets with TCP or UDP."""

from ipaddress import IPv4Address

from attrs import define
from dpkt import Error as PacketError
from dpkt.ip import IP, IP_PROTO_TCP, IP_PROTO_UDP
from dpkt.tcp import TCP, TH_ACK, TH_FIN, TH_RST, TH_SYN
from dpkt.udp import UDP

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.outcome import Dropped
from cumindrift.traffic.message import PacketKind


@define(frozen=True, slots=True)
class ParsedPacket:
    """A caller's packet, parsed as far as steering needs."""

    flow_key: bytes
    protocol: int
    source: Endpoint
    destination: Endpoint
    kind: PacketKind
    payload: bytes


def read_packet(raw: bytes) -> ParsedPacket | Dropped:
    """Parses a packet; all but whole TCP and UDP packets are dropped."""
    try:
        header = IP(raw)
    except (PacketError, ValueError, IndexError):
        return Dropped(ResultCode.PACKET_MALFORMED)
    segment = header.data
    is_whole = header.len == len(raw) and not header.mf and not header.offset
    if not is_whole or not isinstance(segment, TCP | UDP):
        return Dropped(ResultCode.PACKET_MALFORMED)
    return ParsedPacket(
        flow_key=flow_key_of(header, segment),
        protocol=header.p,
        source=Endpoint(str(IPv4Address(header.src)), segment.sport),
        destination=Endpoint(str(IPv4Address(header.dst)), segment.dport),
        kind=_kind_of(segment),
        payload=bytes(segment.data),
    )


def flow_key_of(header: IP, segment: TCP | UDP) -> bytes:
    """Returns the flow key: protocol, addresses and ports in 13 octets."""
    ports = segment.sport.to_bytes(2) + segment.dport.to_bytes(2)
    return bytes((header.p,)) + header.src + header.dst + ports


def peek_flow_key(raw: bytes) -> bytes | None:
    """Returns the flow key without parsing the packet, or None.

    Handles only IPv4 headers without options of unfragmented packets whose
    length field is right. For all others, `read_packet` must be used.
    """
    length = int.from_bytes(raw[2:4])
    if raw[:1] != b'E' or length != len(raw) or length < 28:
        return None
    if raw[6] & 0x3F or raw[7]:
        return None
    return raw[9:10] + raw[12:24]


def udp_packet(source: Endpoint, destination: Endpoint, body: bytes) -> bytes:
    """Builds an IPv4 packet with a UDP datagram."""
    segment = UDP(sport=source.port, dport=destination.port, data=body)
    segment.ulen = len(segment)
    return _in_ip(source, destination, IP_PROTO_UDP, segment)


def tcp_packet(
    source: Endpoint,
    destination: Endpoint,
    flags: int,
    body: bytes = b'',
) -> bytes:
    """Builds an IPv4 packet with a TCP segment."""
    segment = TCP(sport=source.port, dport=destination.port, flags=flags)
    segment.data = body
    return _in_ip(source, destination, IP_PROTO_TCP, segment)


def _in_ip(
    source: Endpoint,
    destination: Endpoint,
    protocol: int,
    segment: TCP | UDP,
) -> bytes:
    packet = IP(
        src=IPv4Address(source.ip).packed,
        dst=IPv4Address(destination.ip).packed,
        p=protocol,
        data=segment,
    )
    packet.len = len(packet)
    return bytes(packet)


def _kind_of(segment: TCP | UDP) -> PacketKind:
    if isinstance(segment, UDP):
        return PacketKind.WITHIN_OR_OPEN
    if segment.flags & TH_SYN and not segment.flags & TH_ACK:
        return PacketKind.OPEN
    if segment.flags & (TH_FIN | TH_RST):
        return PacketKind.CLOSE
    return PacketKind.WITHIN
