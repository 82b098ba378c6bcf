"""Builders of SYNs that differ in the address of their client."""

from itertools import count

from cumindrift.steering.balancer.fair_share import buckets_of
from features.builders.node import SYN, client_packet


def client_address(number: int) -> bytes:
    """Returns the address of client `number` in octets."""
    return (0x64400000 + number).to_bytes(4)


def client_syn(number: int, port: int) -> bytes:
    """Returns a SYN of client `number`."""
    octets = client_packet(SYN, port=port)
    return octets[:20] + client_address(number) + octets[24:]


def number_in_bucket(number: int, row: int, salt: bytes) -> int:
    """Returns another client in the same bucket of just this row."""
    wanted = buckets_of(client_address(number), salt)
    for other in count(number + 1):
        found = buckets_of(client_address(other), salt)
        if found[row] == wanted[row] and found != wanted:
            return other
    raise AssertionError
