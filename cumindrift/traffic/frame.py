"""Frames of steered packets; the route is encoded once per flow."""

from ipaddress import IPv4Address
from struct import Struct

from cachetools import LRUCache

from cumindrift.traffic.message import (
    Candidate,
    FlowRoute,
    PacketKind,
    SteeredPacket,
    traffic,
)
from cumindrift.wire import WireError

STEERED_FAMILY = 1
ROUTE_CACHE_ENTRIES = 16_384
BALANCER_CACHE_ENTRIES = 4096

# family, kind, position, hop count, flags, octets of the route message
_PREFIX = Struct('>BBBBBH')
# member id, address and port of the balancer; precedes the route message
_BALANCER = Struct('>Q4sH')
_NO_BALANCER = Candidate(0, '', 0)
_BY_RECORD = 0x1
_UNSURE = 0x2


class SteeredCodec:
    """Encodes and decodes steered packets; each process has one instance.

    All packets of a flow have the same route, so both ends cache it and run
    Cap'n Proto once per flow instead of once per packet. The balancer is
    encoded before the route and not in it: any balancer may send the next
    packet, and an agent still caches only one route per flow.
    """

    def __init__(self, entries: int = ROUTE_CACHE_ENTRIES) -> None:
        """Caches at most `entries` routes in each direction."""
        self._decoded: LRUCache[bytes, FlowRoute] = LRUCache(entries)
        self._encoded: LRUCache[FlowRoute, bytes] = LRUCache(entries)
        self._balancers: LRUCache[bytes, Candidate] = LRUCache(
            BALANCER_CACHE_ENTRIES,
        )

    @property
    def route_count(self) -> int:
        """The number of decoded routes in the cache."""
        return len(self._decoded)

    def encode_route(self, route: FlowRoute) -> bytes:
        """Returns the encoded balancer and route; the route may be cached."""
        balancer = route.balancer
        bare = _with_balancer(route, _NO_BALANCER)
        octets = self._encoded.get(bare)
        if octets is None:
            octets = traffic.encode(bare)
            self._encoded[bare] = octets
        address = IPv4Address(balancer.ip).packed
        head = _BALANCER.pack(balancer.member_id, address, balancer.port)
        return head + octets

    def encode(self, steered: SteeredPacket) -> bytes:
        """Returns the frame of a steered packet."""
        return frame_packet(
            self.encode_route(steered.route),
            steered.kind,
            steered.position,
            steered.hop_count,
            steered.packet,
            steered.by_record * _BY_RECORD | steered.is_unsure * _UNSURE,
        )

    def decode(self, frame: bytes) -> SteeredPacket:
        """Returns the steered packet in a frame; raises WireError."""
        if len(frame) < _PREFIX.size:
            raise WireError('steered frame: truncated header')
        _, kind, position, hop_count, *rest = _PREFIX.unpack_from(frame)
        flags, size = rest
        body_start = _PREFIX.size + size
        route = self._decode_route(frame[_PREFIX.size : body_start])
        try:
            packet_kind = PacketKind(kind)
        except ValueError as error:
            raise WireError(str(error)) from error
        return SteeredPacket(
            route,
            packet_kind,
            position,
            hop_count,
            frame[body_start:],
            bool(flags & _BY_RECORD),
            bool(flags & _UNSURE),
        )

    def _decode_route(self, head_and_octets: bytes) -> FlowRoute:
        head = head_and_octets[: _BALANCER.size]
        octets = head_and_octets[_BALANCER.size :]
        bare = self._decode_bare(octets)
        balancer = self._balancers.get(head)
        if balancer is None:
            if len(head) < _BALANCER.size:
                raise WireError('steered frame: truncated balancer')
            member_id, address, port = _BALANCER.unpack(head)
            balancer = Candidate(member_id, str(IPv4Address(address)), port)
            self._balancers[head] = balancer
        return _with_balancer(bare, balancer)

    def _decode_bare(self, octets: bytes) -> FlowRoute:
        route = self._decoded.get(octets)
        if route is None:
            route = traffic.decode(octets)
            if not isinstance(route, FlowRoute):
                raise WireError('steered frame: message is not a route')
            self._decoded[octets] = route
        return route


def _with_balancer(route: FlowRoute, balancer: Candidate) -> FlowRoute:
    return FlowRoute(
        route.team,
        route.service,
        route.flow_key,
        route.view_version,
        route.candidates,
        balancer,
    )


def frame_packet(
    route: bytes,
    kind: int,
    position: int,
    hop_count: int,
    packet: bytes,
    flags: int = 0,
) -> bytes:
    """Returns the frame of a packet whose route is already encoded."""
    prefix = _PREFIX.pack(
        STEERED_FAMILY,
        kind,
        position,
        hop_count,
        flags,
        len(route),
    )
    return prefix + route + packet
