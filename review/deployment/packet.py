"""Packets of clients and endpoints, as PROTOCOL.md gives their layout."""

from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from struct import Struct
from zlib import crc32

SYN, ACK, FIN, RST, BOUNCED = 1, 128, 8, 4, 2
SEQUENCE_SPACE = 1 << 32
# A client takes a reset whose number is this close to its acknowledgement.
RESET_WINDOW = 76_800
_HEADER = Struct('>IIHBBH4sH4sII')
_FLAGS_AT, _PAD_AT = 10, 11
# Known to clients and endpoints alone.
_SUM_KEY = b'review-sum-key'


@dataclass
class Packet:
    """One packet; `source` and `destination` are (address, port)."""

    flags: int
    source: tuple[str, int]
    destination: tuple[str, int]
    sequence: int
    acknowledged: int
    payload: bytes = b''
    is_genuine: bool = True

    def encode(self) -> bytes:
        """Returns the octets, with the keyed sum."""
        fields = [
            0,
            0,
            len(self.payload),
            self.flags,
            0,
            self.source[1],
            inet_aton(self.destination[0]),
            self.destination[1],
            inet_aton(self.source[0]),
            self.sequence % SEQUENCE_SPACE,
            self.acknowledged % SEQUENCE_SPACE,
        ]
        octets = _HEADER.pack(*fields) + self.payload
        return octets[:4] + _sum_of(octets).to_bytes(4) + octets[8:]

    def has(self, flag: int) -> bool:
        """Returns whether a flag is set."""
        return bool(self.flags & flag)

    @property
    def is_system_reset(self) -> bool:
        """Returns whether this is a reset that the system made."""
        return self.has(RST) and not self.is_genuine


def decode(octets: bytes) -> Packet:
    """Returns the packet; `is_genuine` tells whether an end wrote it so."""
    head = _HEADER.unpack_from(octets)
    return Packet(
        head[3],
        (inet_ntoa(head[8]), head[5]),
        (inet_ntoa(head[6]), head[7]),
        head[9],
        head[10],
        octets[_HEADER.size :],
        head[1] == _sum_of(octets),
    )


def bounce(octets: bytes) -> bytes:
    """Returns a packet as an endpoint that does not hold its flow returns it.

    `echo` is unchanged, BOUNCED is set and `pad` is 0.
    """
    flags = bytes((octets[_FLAGS_AT] | BOUNCED, 0))
    return octets[:_FLAGS_AT] + flags + octets[_PAD_AT + 1 :]


def _sum_of(octets: bytes) -> int:
    flags = bytes((octets[_FLAGS_AT] & ~BOUNCED,))
    body = octets[8:_FLAGS_AT] + flags + octets[_PAD_AT + 1 :]
    return crc32(_SUM_KEY + body)
