"""The balancer's station: its beliefs, its hints, its way to agents."""

from attrs import define, field

from cumindrift.fleet.directory import Directory
from cumindrift.steering.balancer.hint import Hint, HintTable
from cumindrift.steering.frame import Carried, FrameKind
from cumindrift.steering.packet import FlowPacket
from cumindrift.steering.station import Station


@define(slots=True, eq=False, repr=False)
class BalancerStation(Station):
    """What the parts of a balancer's core share."""

    data_centre: str
    directory: Directory
    hints: HintTable = field(factory=HintTable, kw_only=True)

    def carry_known(self, packet: FlowPacket, hint: Hint) -> None:
        """Sends a packet after the SYN to the agent that holds its flow."""
        carried = Carried(
            FrameKind.KNOWN,
            self.ip,
            packet.octets,
            incarnation=hint.incarnation,
        )
        self.outlet.carry(hint.agent_ip, carried)
