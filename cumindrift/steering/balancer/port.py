"""Ports of a balancer: the routers' packets and the agents' news."""

from cumindrift.fleet.balancer_store import (
    AGENT_KIND,
    remove_agent,
    request_full_list,
)
from cumindrift.fleet.context import NodeContext
from cumindrift.platform.documents import MANIFEST_KIND
from cumindrift.port import DatagramPort
from cumindrift.steering.balancer.core import BalancerCore
from cumindrift.steering.frame import AgentReport, ForwardedPacket
from cumindrift.steering.port import PeerPort


class BalancerPeerPort(PeerPort):
    """The balancer's peer port; it also asks the store for its core."""

    def __init__(self, context: NodeContext) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(context, self._on_frame)

    def remove_agent(self, name: str) -> None:
        """Takes the entry of an agent out of the store."""
        remove_agent(self._context, name)

    def verify_agents(self) -> None:
        """Asks the store for the list of agents as it is now."""
        request_full_list(self._context, AGENT_KIND)

    def verify_manifest(self, version: int) -> None:
        """Asks for the manifest, of which that version is in force."""
        context = self._context
        context.peer_manifest_version = max(
            context.peer_manifest_version, version
        )
        request_full_list(self._context, MANIFEST_KIND)

    def _on_frame(
        self,
        message: ForwardedPacket | AgentReport,
        ip: str,
        now_s: float,
    ) -> bool:
        if isinstance(message, AgentReport):
            self._core.on_report(ip, message, now_s)
            return True
        return False


class RouterPort(DatagramPort):
    """Takes the packets that the routers send to a balancer."""

    def __init__(self, context: NodeContext) -> None:
        """Binds at once; raises OSError when the address is taken."""
        core: BalancerCore = context.core
        clock = context.clock

        def receive(octets: bytes, _pair: tuple[str, int]) -> None:
            core.on_packet(octets, clock())

        super().__init__(context.settings.packets, receive)
