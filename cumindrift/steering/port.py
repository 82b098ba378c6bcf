"""Ports of a node: cores on one side, sockets and encodings on the other."""

from errno import ECONNREFUSED, EINPROGRESS
from socket import AF_INET, SO_ERROR, SOCK_STREAM, SOL_SOCKET, socket
from time import time
from typing import Any

from circuits import Event, Timer, handler

from cumindrift.address import Endpoint
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.settings import TargetPlace
from cumindrift.fleet.supervisor import (
    AGENT_KIND,
    remove_agent,
    verify_kind,
)
from cumindrift.platform.documents import MANIFEST_KIND
from cumindrift.platform.packet import client_ip, make_reset, read_from_target
from cumindrift.port import DatagramPort, find_poller
from cumindrift.steering.agent import AgentCore
from cumindrift.steering.director import Director
from cumindrift.steering.frame import (
    Carried,
    News,
    decode_frame,
    encode_carried,
    encode_news,
)
from cumindrift.supervision import Child

CHECK_TIMEOUT_S = 0.5


class check_over(Event):  # noqa: N801 - circuits derives event names
    """Fired when a check has lasted long enough."""


class PeerPort(DatagramPort):
    """Takes frames of other nodes and hands them to the role's core."""

    def __init__(self, context: NodeContext) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(context.settings.peer, self._receive_frame)
        self._context = context
        self._core: Any = context.core
        self._port = context.settings.peer.port
        self._client_port = context.settings.packets.port
        self._core.outlet = self

    def carry(self, ip: str, carried: Carried) -> None:
        """Sends a client's packet to an agent."""
        self.send(encode_carried(carried), (ip, self._port))

    def tell(self, ip: str, news: News) -> None:
        """Sends news of a flow to a balancer."""
        self.send(encode_news(news), (ip, self._port))

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Resets a flow, near what its client acknowledged last."""
        self.answer(flow_key, make_reset(flow_key, acknowledged))

    def answer(self, flow_key: bytes, octets: bytes) -> None:
        """Sends a packet to a flow's client."""
        self.send(octets, (client_ip(flow_key), self._client_port))

    def _receive_frame(self, octets: bytes, pair: tuple[str, int]) -> None:
        message = decode_frame(octets)
        now_s = self._context.clock()
        if isinstance(message, Carried) and isinstance(self._core, AgentCore):
            self._core.on_carried(message, now_s)
        elif isinstance(message, News) and isinstance(self._core, Director):
            self._core.on_news(pair[0], message, now_s)
        else:
            self._context.events.note('frame-unreadable', peer=pair[0])


class BalancerPeerPort(PeerPort):
    """The balancer's peer port; it also asks the store for its core."""

    def remove_agent(self, name: str) -> None:
        """Takes the entry of an agent out of the store."""
        remove_agent(self._context, name)

    def verify_agents(self) -> None:
        """Asks the store for the list of agents as it is now."""
        verify_kind(self._context, AGENT_KIND)

    def verify_manifest(self, version: int) -> None:
        """Asks for the manifest, of which that version is in force."""
        context = self._context
        context.heard_version = max(context.heard_version, version)
        verify_kind(self._context, MANIFEST_KIND)


class RouterPort(DatagramPort):
    """Takes the packets that the routers send to a balancer."""

    def __init__(self, context: NodeContext) -> None:
        """Binds at once; raises OSError when the address is taken."""
        core: Director = context.core
        clock = context.clock

        def receive(octets: bytes, _pair: tuple[str, int]) -> None:
            core.on_packet(octets, clock())

        super().__init__(context.settings.packets, receive)


class TargetPort(DatagramPort):
    """Takes what the target sends, and hands packets to the target."""

    def __init__(self, context: NodeContext, place: TargetPlace) -> None:
        """Binds at once; raises OSError when the address is taken."""
        core: AgentCore = context.core
        clock = context.clock

        def receive(octets: bytes, _pair: tuple[str, int]) -> None:
            packet = read_from_target(octets)
            if packet is not None:
                core.on_target_packet(packet, clock())

        super().__init__(place.outbound, receive)
        self._target = place.packets.pair()

    def deliver(self, octets: bytes) -> None:
        """Hands a packet to the target."""
        self.send(octets, self._target)


class AgentPeerPort(PeerPort):
    """The agent's peer port; it also reaches the target for its core."""

    def __init__(self, context: NodeContext, place: TargetPlace) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(context)
        self._place = place
        self._target_port = TargetPort(context, place).register(self)
        self.deliver = self._target_port.deliver

    def release(self) -> None:
        """Closes both sockets."""
        self._target_port.release()
        super().release()

    def check_entry(self) -> None:
        """Makes sure that the store still holds this agent's entry."""
        self._context.announcer.check()

    def check_target(self) -> None:
        """Finds out whether the target's process still listens."""
        TargetCheck(self._context, self._place.packets).register(self)


class TargetCheck(Child):
    """Connects to the target once; a refusal proves that it has ended."""

    def __init__(self, context: NodeContext, endpoint: Endpoint) -> None:
        """Connects when it is registered."""
        super().__init__(channel=f'target-check-{time()}')
        self._context = context
        self._endpoint = endpoint
        self._asked_s = context.clock()
        self._is_over = False
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setblocking(False)

    def release(self) -> None:
        """Gives the check up."""
        self._finish()

    @handler('registered', channel='*')
    def _on_registered(self, component: object, _manager: object) -> None:
        if component is not self:
            return
        error = self._sock.connect_ex(self._endpoint.pair())
        if error not in {0, EINPROGRESS}:
            self._conclude(is_refused=error == ECONNREFUSED)
            return
        find_poller(self).addWriter(self, self._sock)
        Timer(CHECK_TIMEOUT_S, check_over(), self.channel).register(self)

    @handler('_write', '_error', '_disconnect')
    def _on_connected(self, *_details: Any) -> None:
        if not self._is_over:
            error = self._sock.getsockopt(SOL_SOCKET, SO_ERROR)
            self._conclude(is_refused=error == ECONNREFUSED)

    @handler('check_over')
    def _on_over(self) -> None:
        self._finish()

    def _conclude(self, *, is_refused: bool) -> None:
        self._finish()
        core: AgentCore = self._context.core
        if is_refused:
            core.on_target_gone(self._asked_s, self._context.clock())
        else:
            core.on_target_there()

    def _finish(self) -> None:
        if not self._is_over:
            self._is_over = True
            find_poller(self).discard(self._sock)
            self._sock.close()
            self.unregister()
