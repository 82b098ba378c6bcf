"""Builds steered packets of some flows through some balancers."""

from cumindrift.traffic.message import (
    Candidate,
    FlowRoute,
    PacketKind,
    SteeredPacket,
)


def steered_packets(
    flow_count: int, balancer_count: int
) -> list[SteeredPacket]:
    """Returns one packet of each flow through each balancer."""
    candidates = tuple(
        Candidate(number, f'127.0.2.{number}', 7100) for number in range(1, 5)
    )
    return [
        SteeredPacket(
            FlowRoute(
                'team',
                'service',
                flow.to_bytes(13),
                7,
                candidates,
                Candidate(number, f'127.0.1.{number}', 7100),
            ),
            PacketKind.WITHIN,
            0,
            0,
            b'within',
        )
        for flow in range(flow_count)
        for number in range(1, balancer_count + 1)
    ]
