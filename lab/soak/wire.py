"""Encoding and checksums of packets between soak clients and targets."""

from struct import pack
from zlib import crc32

SYN, ACK, FIN, RST, BOUNCED = 1, 128, 8, 4, 2
# Mixed into the checksum, which only clients and targets compute: a packet
# that any other component altered or made up is detected.
_CHECKSUM_KEY = b'soak'
_SERVICE = bytes((198, 18, 0, 1))
_SERVICE_PORT = 443
HEADER_BYTES = 32
# Addresses and ports of both ends in a packet that a client sent.
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
    """Returns a packet from a client, or from a target if `is_answer`."""
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
    """Returns the response of a target to a request."""
    return b'answer to %s' % request


def bounce(octets: bytes) -> bytes:
    """Returns a packet as a target that lacks its flow bounces it."""
    flags = bytes((octets[_FLAGS_OFFSET] | BOUNCED, 0))
    return b''.join(
        (octets[:_FLAGS_OFFSET], flags, octets[_FLAGS_OFFSET + 2 :])
    )


def has_valid_checksum(octets: bytes) -> bool:
    """Checks that a client or target wrote the packet.

    The checksum covers all but the echo field (the first four octets), the
    checksum itself and the padding octet.
    """
    total = int.from_bytes(octets[4:8])
    written = b''.join((_CHECKSUM_KEY, octets[8:11], octets[12:]))
    return crc32(written) == total
