"""Packets as the cores see them; `cumindrift.platform` parses the bytes."""

from attrs import define

# Client port, service address, service port, client address: 12 octets.
FLOW_KEY_BYTES = 12
CLIENT_ADDRESS = slice(8, FLOW_KEY_BYTES)
SEQUENCE_SPACE = 1 << 32
# A client retransmits a SYN within this time, then gives the attempt up. A
# later SYN of the same flow key opens a new flow.
OPEN_ATTEMPT_S = 1.4
# When it does so, after the first SYN.
SYN_COPIES_S = (0.2, 0.6)
# A copy that is later than this by a balancer's clock went another way.
SYN_COPY_LATE_S = 0.05


@define(slots=True, eq=False, repr=False)
class FlowPacket:
    """The parts of a packet that steering decides by.

    Attributes:
        octets: The whole packet.
        flow_key: Identifies the flow; the same in both directions.
        is_syn: The packet is a client's SYN.
        is_syn_ack: The packet is a target's answer to a SYN.
        is_bounced: The target returned the packet because it does not hold
            the packet's flow or has no room for a new one.
        sequence: The sender's sequence number.
        acknowledged: The sequence number that the sender acknowledges.
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
    """Returns whether a sequence number comes after an earlier one."""
    return 0 < (sequence - earlier) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2


def acknowledges_opening(acknowledged: int, sequence: int) -> bool:
    """Returns whether an acknowledgement is for the SYN with `sequence`."""
    return (acknowledged - sequence) % SEQUENCE_SPACE <= 1


def expected_syn_count(waited_s: float) -> int:
    """Returns how many SYNs a client has sent that still waits for an answer.

    `waited_s` is the time since its first SYN.
    """
    due_s = waited_s - SYN_COPY_LATE_S
    return 1 + sum(copy_s <= due_s for copy_s in SYN_COPIES_S)
