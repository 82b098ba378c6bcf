"""The balancer's state: its directory and hints."""

from attrs import define, field

from cumindrift.fleet.directory import Directory
from cumindrift.steering.balancer.hint import Hint, HintTable
from cumindrift.steering.frame import ForwardedPacket, FrameKind
from cumindrift.steering.packet import FlowPacket
from cumindrift.steering.state import CoreState


@define(slots=True, eq=False, repr=False)
class BalancerState(CoreState):
    """The state that the parts of a balancer's core share."""

    data_centre: str
    directory: Directory
    # Whether targets are judged by what they do, not by what they report.
    judges_targets: bool = False
    hints: HintTable = field(factory=HintTable, kw_only=True)

    def forward(self, ip: str, forwarded: ForwardedPacket) -> None:
        """Sends a frame to an agent, with the version of the evacuations."""
        directory = self.directory
        forwarded.evacuations = directory.evacuations_version.stamp
        forwarded.is_evacuated = ip in directory.evacuated_ips
        self.output.forward(ip, forwarded)

    def forward_to_holder(self, packet: FlowPacket, hint: Hint) -> None:
        """Sends a packet of an open flow to the agent that its hint names."""
        forwarded = ForwardedPacket(
            FrameKind.TO_HOLDER,
            self.ip,
            packet.octets,
            incarnation=hint.incarnation,
        )
        self.forward(hint.agent_ip, forwarded)
