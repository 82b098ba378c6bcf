"""Packet steering: a balancer's decisions, without I/O."""

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import opening_messages
from cumindrift.code import ResultCode
from cumindrift.membership.view import ServiceName, View
from cumindrift.outcome import Dropped
from cumindrift.settings.tree import Service, Snapshot
from cumindrift.traffic.candidates import candidates_in
from cumindrift.traffic.message import (
    Candidate,
    FlowHint,
    FlowRoute,
    OpenSearch,
    PacketKind,
    SteeredPacket,
)
from cumindrift.traffic.packet import (
    ParsedPacket,
    peek_flow_key,
    read_packet,
)

ENTRY_CACHE_SIZE = 65_536
_TCP = 6
_PROTOCOL_NUMBERS = {'tcp': _TCP, 'udp': 17}
_TCP_FLAGS_OFFSET = 33
_UDP_PAYLOAD_OFFSET = 28
_FIN_SYN_RST = 0x7


@define(slots=True)
class FlowEntry:
    """Cached state of a flow: recomputable, but for a hint in `endpoint`."""

    route: FlowRoute
    view: View
    endpoint: Endpoint
    is_requests: bool
    # Cache of the forwarder, which fills it once per flow.
    encoded_route: bytes | None = None


@define(frozen=True, slots=True)
class SteerTo:
    """Forward this packet to the agent at the entry's endpoint."""

    entry: FlowEntry
    kind: PacketKind


@define(frozen=True, slots=True)
class OpenAt:
    """Start placing a new flow at its home."""

    endpoint: Endpoint
    search: OpenSearch


@define(slots=True)
class BalancerCore:
    """Chooses an agent for every packet by the current view and settings.

    Used by the balancer's fabric port, one call per packet. Its state may be
    lost at any time: entries are recomputed, and hints only save hops.
    """

    me: Candidate
    view: View = field(factory=View)
    _services: dict[tuple[int, Endpoint], tuple[ServiceName, Service]] = field(
        factory=dict,
    )
    # Bounded; the oldest entry is evicted, which costs a live flow one hop.
    _entries: dict[bytes, FlowEntry] = field(factory=dict)

    def on_view(self, view: View) -> None:
        """Applies a new view; entries of older views are recomputed on use."""
        self.view = view

    def on_settings(self, snapshot: Snapshot) -> None:
        """Applies the services of a settings snapshot."""
        self._services = {
            (_PROTOCOL_NUMBERS[service.protocol], service.endpoint()): (
                ServiceName(team_name, service_name),
                service,
            )
            for team_name, team in snapshot.tree.teams.items()
            for service_name, service in team.services.items()
        }
        self._entries.clear()

    def on_hint(self, hint: FlowHint) -> None:
        """Updates the endpoint of a cached flow from a hint."""
        entry = self._entries.get(hint.flow_key)
        if entry is None or entry.route.service != hint.service:
            return
        if hint.held and self._may_steer_to(hint.holder):
            entry.endpoint = hint.holder.endpoint()
        elif entry.route.candidates:
            entry.endpoint = entry.route.candidates[0].endpoint()

    def _may_steer_to(self, holder: Candidate) -> bool:
        member = self.view.members.get(holder.member_id)
        return member is not None and not self.view.is_out(member)

    def steer(self, packet: bytes) -> SteerTo | OpenAt | Dropped:
        """Decides what to do with one packet from the fabric."""
        flow_key = peek_flow_key(packet)
        entry = None
        if flow_key is not None:
            entry = self._entries.get(flow_key)
        if entry is None or entry.view is not self.view:
            return self._steer_uncached(packet)
        return self._steer_cached(entry, packet)

    def _steer_cached(
        self,
        entry: FlowEntry,
        packet: bytes,
    ) -> SteerTo | OpenAt | Dropped:
        if entry.is_requests:
            if _is_request_opening(packet[_UDP_PAYLOAD_OFFSET:]):
                return _open_at(entry.route, packet)
            return SteerTo(entry, PacketKind.WITHIN)
        if entry.route.flow_key[0] == _TCP:
            if len(packet) <= _TCP_FLAGS_OFFSET:
                return Dropped(ResultCode.PACKET_MALFORMED)
            if packet[_TCP_FLAGS_OFFSET] & _FIN_SYN_RST:
                return self._steer_uncached(packet)
            return SteerTo(entry, PacketKind.WITHIN)
        return SteerTo(entry, PacketKind.WITHIN_OR_OPEN)

    def _steer_uncached(self, packet: bytes) -> SteerTo | OpenAt | Dropped:
        inner = read_packet(packet)
        if isinstance(inner, Dropped):
            return inner
        found = self._services.get((inner.protocol, inner.destination))
        if found is None:
            return Dropped(ResultCode.PACKET_NO_SERVICE)
        name, service = found
        entry = self._entry_for(inner, name, service)
        if entry is None:
            return Dropped(ResultCode.PACKET_NO_TARGET)
        kind = _kind_for(service, inner)
        if kind is PacketKind.OPEN:
            return _open_at(entry.route, packet)
        return SteerTo(entry, kind)

    def _entry_for(
        self,
        inner: ParsedPacket,
        name: ServiceName,
        service: Service,
    ) -> FlowEntry | None:
        known = self._entries.get(inner.flow_key)
        if known is not None and known.view is self.view:
            return known
        candidates = candidates_in(self.view, name, inner.flow_key)
        if not candidates:
            return None
        route = FlowRoute(
            name.team,
            name.service,
            inner.flow_key,
            self.view.service_version(name),
            candidates,
            self.me,
        )
        endpoint = self._choose_endpoint(known, candidates)
        is_requests = service.front == 'requests'
        entry = FlowEntry(route, self.view, endpoint, is_requests)
        self._cache_entry(inner.flow_key, entry)
        return entry

    def _cache_entry(self, flow_key: bytes, entry: FlowEntry) -> None:
        if len(self._entries) >= ENTRY_CACHE_SIZE:
            self._entries.pop(next(iter(self._entries)))
        self._entries[flow_key] = entry

    def _choose_endpoint(
        self,
        known: FlowEntry | None,
        candidates: tuple[Candidate, ...],
    ) -> Endpoint:
        """Returns the cached endpoint if still a target, else the home."""
        home = candidates[0].endpoint()
        if known is None:
            return home
        alive = {
            member.endpoint
            for member in self.view.targets(
                ServiceName(known.route.team, known.route.service),
            )
        }
        return known.endpoint if known.endpoint in alive else home


def to_steered_packet(decision: SteerTo, packet: bytes) -> SteeredPacket:
    """Returns the packet in the form that the codec encodes."""
    return SteeredPacket(decision.entry.route, decision.kind, 0, 0, packet)


def _open_at(route: FlowRoute, packet: bytes) -> OpenAt:
    search = OpenSearch(route, 0, 0, assigned=False, reports=(), packet=packet)
    return OpenAt(route.candidates[0].endpoint(), search)


def _kind_for(service: Service, inner: ParsedPacket) -> PacketKind:
    if service.front != 'requests':
        return inner.kind
    if _is_request_opening(inner.payload):
        return PacketKind.OPEN
    return PacketKind.WITHIN


def _is_request_opening(payload: bytes) -> bool:
    """Tells whether a message that opens a flow is in a packet."""
    return payload[:1] == bytes((opening_messages.number,))
