"""Packets of flows, as the cores see them; the adapter reads and writes."""

from attrs import define

# Client's port and address, service's address and port: 12 octets.
FLOW_KEY_BYTES = 12
SEQUENCE_SPACE = 1 << 32


@define(slots=True, eq=False, repr=False)
class FlowPacket:
    """One packet, read far enough to steer it.

    `flow_key` is the same for both directions. `sequence` and
    `acknowledged` are those of the sender's end.
    """

    octets: bytes
    flow_key: bytes
    is_syn: bool
    is_syn_ack: bool
    is_reset: bool
    is_fin: bool
    is_bounced: bool
    sequence: int
    acknowledged: int
    payload_bytes: int


def is_after(sequence: int, earlier: int) -> bool:
    """Tells whether a sequence number lies beyond an earlier one."""
    return 0 < (sequence - earlier) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2


def acknowledges_opening(acknowledged: int, sequence: int) -> bool:
    """Tells whether an acknowledgement answers an opening `sequence`."""
    return (acknowledged - sequence) % SEQUENCE_SPACE <= 1
