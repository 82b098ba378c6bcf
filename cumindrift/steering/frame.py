"""Frames between nodes: forwarded client packets and reports of agents.

Every frame starts with its kind, one octet. Kinds below HELD wrap a client's
packet, all others are reports.
"""

from enum import IntEnum, unique
from socket import inet_aton, inet_ntoa
from struct import Struct, error
from zlib import crc32

from attrs import define, field

from cumindrift.fleet.copy_version import NO_COPY, NOT_READ, CopyStamp
from cumindrift.fleet.manifest import DEFAULT_LIMITS, RequestLimits
from cumindrift.steering.packet import FLOW_KEY_BYTES

HOPS_MAX = 8
_FORWARDED_HEADER = Struct('>BBBB4sQQIfHqqffB')
_REPORT_HEADER = Struct(f'>BBH{FLOW_KEY_BYTES}sQQHHHHq')
_IP_BYTES = 4
# The flow key of reports that concern no flow, such as PONG.
NO_FLOW = bytes(FLOW_KEY_BYTES)
# Raised by decoding octets that are not a valid frame.
DECODE_ERRORS = (IndexError, ValueError, OSError, error)
_COUNT_MAX = 0xFFFF
# The penalty in the reports of an agent whose target is ejected.
EJECTED_PERCENT = 1000
# Frames carry the priority of a route in one octet.
PRIORITY_MAX = 0xFF
# Bits of the flags of a forwarded packet.
_EVACUATED_FLAG = 1
_FORCED_FLAG = 2
_IDEMPOTENT_FLAG = 4


@unique
class FrameKind(IntEnum):
    """The type of a frame; the numbers are part of the wire format."""

    # Kinds sent to agents; all but PING and ENTRY_MISSING contain a client's
    # packet.
    # A SYN; an agent whose target does not take it forwards it to the next
    # candidate.
    OPEN = 1
    # A later packet, sent to the agent that is believed to hold its flow.
    TO_HOLDER = 2
    # Asks whether this agent's target holds the packet's flow.
    SEARCH = 3
    # Checks that the agent is alive; has no packet.
    PING = 4
    # Asks the agent to search the candidates for the flow's holder.
    DELEGATED_SEARCH = 5
    # Tells an agent that answers that it has no entry in the store any more.
    ENTRY_MISSING = 6
    # Kinds sent to balancers. An agent that sent a SEARCH also gets ABSENT.
    # The target holds the flow.
    HELD = 11
    # The target does not hold the flow; a SYN went to the next candidate.
    ABSENT = 12
    # The packet's flow is not held here; the balancer has to search for it.
    RETURNED = 13
    # All candidates refused the SYN.
    REFUSED = 14
    # The flow is over; the balancer drops its hint.
    ENDED = 15
    # Answers PING.
    PONG = 16
    # A delegated search found that no candidate holds the flow.
    NOT_FOUND = 17
    # Sent from agent to agent: the sender's target holds the flow.
    HOLDER_RECORD = 18


@define(slots=True, eq=False, repr=False)
class ForwardedPacket:
    """A client's packet on its way to a target.

    Attributes:
        origin_ip: The balancer that received the packet from a router; the
            same at every hop.
        hop_count: How often agents have forwarded the packet.
        incarnation: The incarnation of the target believed to hold the
            flow; 0 if unknown.
        cold_rate: New flows per second that a cold target of the service
            can take; 0 means no limit.
        candidate_ips: In OPEN, the agents to try after this one; in
            DELEGATED_SEARCH, the agents to ask.
        keeper_ips: The agents that record which agent holds the flow.
        evacuations: The copy of the evacuations by which the balancer
            decided.
        is_evacuated: Whether that copy names the data centre of the agent
            to which the balancer sent the frame.
        is_forced: The target gets the SYN although its agent has ejected
            it, since too many targets of the service are ejected.
        limits: The limits of the requests on the flow's route.
        sender_ip: The node that sent this hop. It is taken from the
            datagram's source address and not part of the frame.
    """

    kind: FrameKind
    origin_ip: str
    packet: bytes
    hop_count: int = 0
    incarnation: int = 0
    manifest_version: int = 0
    service_digest: int = 0
    cold_rate: float = 0.0
    candidate_ips: tuple[str, ...] = ()
    keeper_ips: tuple[str, ...] = ()
    evacuations: CopyStamp = NO_COPY
    is_evacuated: bool = False
    is_forced: bool = False
    limits: RequestLimits = DEFAULT_LIMITS
    sender_ip: str = ''


@define(frozen=True, slots=True, eq=False, repr=False)
class Load:
    """The load of a target, which its agent includes in each report.

    `failure_percent` is added to the cost of a target that failed lately.
    Where targets are judged, `slots` is 0 if the target does not run or leaves.
    """

    flow_count: int = 0
    busy_count: int = 0
    response_ms: int = 0
    slots: int = 1
    failure_percent: int = 0


@define(slots=True, eq=False, repr=False)
class AgentReport:
    """An agent's report about one flow, with the load of its target."""

    kind: FrameKind
    flow_key: bytes = NO_FLOW
    incarnation: int = 0
    manifest_version: int = 0
    # Whether the report is certain: the agent knows every flow of its target,
    # or the target itself has just rejected the packet.
    is_authoritative: bool = False
    load: Load = field(factory=Load)
    packet: bytes = b''
    # The newest change of the evacuations that the agent has heard of.
    evacuations_changed_as_of: int = NOT_READ


def service_digest(service: str) -> int:
    """Returns the number that identifies a service in frames."""
    return crc32(service.encode())


def encode_forwarded(forwarded: ForwardedPacket) -> bytes:
    """Encodes a forwarded packet as a frame."""
    head = _FORWARDED_HEADER.pack(
        forwarded.kind,
        forwarded.hop_count,
        len(forwarded.keeper_ips),
        _encode_flags(forwarded),
        inet_aton(forwarded.origin_ip),
        forwarded.incarnation,
        forwarded.manifest_version,
        forwarded.service_digest,
        forwarded.cold_rate,
        len(forwarded.candidate_ips),
        forwarded.evacuations.as_of,
        forwarded.evacuations.changed_as_of,
        forwarded.limits.time_limit_s,
        forwarded.limits.target_latency_s,
        min(max(forwarded.limits.priority, 0), PRIORITY_MAX),
    )
    ips = forwarded.candidate_ips + forwarded.keeper_ips
    if ips:
        return head + b''.join(map(inet_aton, ips)) + forwarded.packet
    return head + forwarded.packet


def encode_report(report: AgentReport) -> bytes:
    """Encodes an agent's report as a frame."""
    load = report.load
    head = _REPORT_HEADER.pack(
        report.kind,
        report.is_authoritative,
        min(load.failure_percent, _COUNT_MAX),
        report.flow_key,
        report.incarnation,
        report.manifest_version,
        min(load.flow_count, _COUNT_MAX),
        min(load.busy_count, _COUNT_MAX),
        min(load.response_ms, _COUNT_MAX),
        min(load.slots, _COUNT_MAX),
        report.evacuations_changed_as_of,
    )
    return head + report.packet


def decode_frame(octets: bytes) -> ForwardedPacket | AgentReport | None:
    """Decodes a frame; returns None if the octets are not a valid frame."""
    try:
        if octets[0] < FrameKind.HELD:
            return _decode_forwarded(octets)
        return _decode_report(octets)
    except DECODE_ERRORS:
        return None


def _encode_flags(forwarded: ForwardedPacket) -> int:
    flags = _EVACUATED_FLAG if forwarded.is_evacuated else 0
    if forwarded.is_forced:
        flags |= _FORCED_FLAG
    if forwarded.limits.is_idempotent:
        flags |= _IDEMPOTENT_FLAG
    return flags


def _decode_forwarded(octets: bytes) -> ForwardedPacket:
    head = _FORWARDED_HEADER.unpack_from(octets)
    start = _FORWARDED_HEADER.size
    candidate_count = head[9]
    packet_at = start + (candidate_count + head[2]) * _IP_BYTES
    ips = tuple(
        inet_ntoa(octets[place : place + _IP_BYTES])
        for place in range(start, packet_at, _IP_BYTES)
    )
    return ForwardedPacket(
        FrameKind(head[0]),
        inet_ntoa(head[4]),
        octets[packet_at:],
        head[1],
        head[5],
        head[6],
        head[7],
        head[8],
        ips[:candidate_count],
        ips[candidate_count:],
        CopyStamp(head[10], head[11]),
        bool(head[3] & _EVACUATED_FLAG),
        bool(head[3] & _FORCED_FLAG),
        RequestLimits(
            head[12], head[13], head[14], bool(head[3] & _IDEMPOTENT_FLAG)
        ),
    )


def _decode_report(octets: bytes) -> AgentReport:
    head = _REPORT_HEADER.unpack_from(octets)
    return AgentReport(
        FrameKind(head[0]),
        head[3],
        head[4],
        head[5],
        bool(head[1]),
        Load(*head[6:10], head[2]),
        octets[_REPORT_HEADER.size :],
        head[10],
    )
