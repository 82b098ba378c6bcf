"""A balancer's ports: one for routers' packets, one for agents' reports."""

from cumindrift.fleet.balancer_store import remove_agent
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.kind import AGENT_KIND
from cumindrift.fleet.watched_kind import request_full_list
from cumindrift.platform.documents import EVACUATION_KIND, MANIFEST_KIND
from cumindrift.port import DatagramPort
from cumindrift.steering.balancer.core import BalancerCore
from cumindrift.steering.frame import AgentReport, ForwardedPacket
from cumindrift.steering.port import PeerPort


class BalancerPeerPort(PeerPort):
    """The balancer's peer port, which also makes its core's store requests."""

    def __init__(self, context: NodeContext) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(context, self._on_frame)

    def remove_agent(self, name: str) -> None:
        """Removes an agent's entry from the store."""
        remove_agent(self._context, name)

    def request_agents(self) -> None:
        """Requests the current list of agents from the store."""
        request_full_list(self._context, AGENT_KIND)

    def request_manifest(self, version: int) -> None:
        """Requests the manifest; an agent reported that `version` exists."""
        context = self._context
        context.peer_manifest_version = max(
            context.peer_manifest_version, version
        )
        request_full_list(self._context, MANIFEST_KIND)

    def request_evacuations(self) -> None:
        """Requests the current evacuations from the store."""
        request_full_list(self._context, EVACUATION_KIND)

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
    """Receives the packets that routers send to a balancer."""

    def __init__(self, context: NodeContext) -> None:
        """Binds at once; raises OSError when the address is taken."""
        core: BalancerCore = context.core
        clock = context.clock

        def receive(octets: bytes, _pair: tuple[str, int]) -> None:
            core.on_packet(octets, clock())

        super().__init__(context.settings.packets, receive)
