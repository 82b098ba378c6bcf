"""Packets of the soak's clients and targets."""

from struct import pack
from zlib import crc32

SYN, ACK, FIN, RST, BOUNCED = 1, 128, 8, 4, 2
# A sum that only the two ends can make, so that what others write shows.
_CHECKSUM_KEY = b'soak'
_SERVICE = bytes((198, 18, 0, 1))
_SERVICE_PORT = 443
HEADER_BYTES = 32
# Where both ends stand in a client's packet.
FLOW_KEY = slice(12, 24)
_FLAGS_OFFSET = 10


def make_packet(
    client: tuple[bytes, int],
    flags: int,
    sequence: int,
    acknowledged: int,
    payload: bytes = b'',
    *,
    is_answer: bool = False,
) -> bytes:
    """Returns a packet of a client, or a target's answer to it."""
    ends = [(client[1], client[0]), (_SERVICE_PORT, _SERVICE)]
    if is_answer:
        ends.reverse()
    (sport, source), (dport, destination) = ends
    tail = pack(
        '>H4sH4sII',
        sport,
        destination,
        dport,
        source,
        sequence,
        acknowledged,
    )
    head = pack('>HB', len(payload), flags)
    total = crc32(b''.join((_CHECKSUM_KEY, head, tail, payload)))
    return b''.join((pack('>II', 0, total), head, b'\0', tail, payload))


def response_to(request: bytes) -> bytes:
    """Returns what a target answers to a request."""
    return b'answer to %s' % request


def bounce(octets: bytes) -> bytes:
    """Returns a packet as a target returns it."""
    flags = bytes((octets[_FLAGS_OFFSET] | BOUNCED, 0))
    return b''.join(
        (octets[:_FLAGS_OFFSET], flags, octets[_FLAGS_OFFSET + 2 :])
    )


def has_valid_checksum(octets: bytes) -> bool:
    """Tells whether an end wrote this packet, all but echo and pad."""
    total = int.from_bytes(octets[4:8])
    written = b''.join((_CHECKSUM_KEY, octets[8:11], octets[12:]))
    return crc32(written) == total
