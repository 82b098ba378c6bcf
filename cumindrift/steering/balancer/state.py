"""The balancer's station: its beliefs, its hints, its way to agents."""

from attrs import define, field

from cumindrift.fleet.directory import Directory
from cumindrift.steering.balancer.hint import Hint, HintTable
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket
from cumindrift.steering.state import CoreState


@define(slots=True, eq=False, repr=False)
class BalancerState(CoreState):
    """What the parts of a balancer's core share."""

    data_centre: str
    directory: Directory
    hints: HintTable = field(factory=HintTable, kw_only=True)

    def forward_to_holder(self, packet: FlowPacket, hint: Hint) -> None:
        """Sends a packet after the SYN to the agent that holds its flow."""
        forwarded = ForwardedPacket(
            FrameKind.TO_HOLDER,
            self.ip,
            packet.octets,
            incarnation=hint.incarnation,
        )
        self.output.forward(hint.agent_ip, forwarded)
