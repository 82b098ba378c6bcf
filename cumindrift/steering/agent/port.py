"""An agent's ports: one for frames of nodes, one for the target's packets."""

from errno import ECONNREFUSED, EINPROGRESS
from socket import AF_INET, SO_ERROR, SOCK_STREAM, SOL_SOCKET, socket
from time import time
from typing import Any

from circuits import Event, handler

from cumindrift.address import Endpoint
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.settings import TargetEndpoints
from cumindrift.platform.packet import read_from_target
from cumindrift.port import DatagramPort, find_poller
from cumindrift.steering.agent.core import AgentCore
from cumindrift.steering.frame import AgentReport, ForwardedPacket
from cumindrift.steering.port import PeerPort
from cumindrift.supervision import Child
from cumindrift.timer import SteadyTimer

CHECK_TIMEOUT_S = 0.5


class check_timeout(Event):  # noqa: N801 - circuits derives event names
    """Fired when a check has timed out."""


class TargetPort(DatagramPort):
    """Exchanges packets with the target."""

    def __init__(self, context: NodeContext, place: TargetEndpoints) -> None:
        """Binds at once; raises OSError when the address is taken."""
        core: AgentCore = context.core
        clock = context.clock

        def receive(octets: bytes, _pair: tuple[str, int]) -> None:
            packet = read_from_target(octets)
            if packet is not None:
                core.on_target_packet(packet, clock())

        super().__init__(place.outbound, receive)
        self._context = context
        context.input_ports.append(self)
        self._target = place.packets.sockaddr()

    def release(self) -> None:
        """Closes the socket."""
        self._context.input_ports.remove(self)
        super().release()

    def deliver(self, octets: bytes) -> None:
        """Sends a packet to the target."""
        self.send(octets, self._target)


class AgentPeerPort(PeerPort):
    """The agent's peer port, which also performs its core's target I/O."""

    def __init__(self, context: NodeContext, place: TargetEndpoints) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(context, self._on_frame)
        self._place = place
        self._target_port = TargetPort(context, place).register(self)
        self.deliver = self._target_port.deliver

    def release(self) -> None:
        """Closes both sockets."""
        self._target_port.release()
        super().release()

    def check_entry(self) -> None:
        """Checks that the store still holds this agent's entry."""
        self._context.announcer.recheck()

    def check_target(self) -> None:
        """Starts a check whether the target's process still listens."""
        TargetCheck(self._context, self._place.packets).register(self)

    def _on_frame(
        self,
        message: ForwardedPacket | AgentReport,
        ip: str,
        now_s: float,
    ) -> bool:
        if isinstance(message, ForwardedPacket):
            message.sender_ip = ip
            self._core.on_forwarded(message, now_s)
        else:
            self._core.on_report(ip, message, now_s)
        return True


class TargetCheck(Child):
    """Connects to the target once; if refused, the target has ended."""

    def __init__(self, context: NodeContext, endpoint: Endpoint) -> None:
        """Opens the socket; it connects once the component is registered."""
        super().__init__(channel=f'target-check-{time()}')
        self._context = context
        self._endpoint = endpoint
        self._asked_s = context.clock()
        self._is_finished = False
        self._sock = socket(AF_INET, SOCK_STREAM)
        self._sock.setblocking(False)

    def release(self) -> None:
        """Aborts the check."""
        self._finish()

    @handler('registered', channel='*')
    def _on_registered(self, component: object, _manager: object) -> None:
        if component is not self:
            return
        error = self._sock.connect_ex(self._endpoint.sockaddr())
        if error not in {0, EINPROGRESS}:
            self._conclude(is_refused=error == ECONNREFUSED)
            return
        find_poller(self).addWriter(self, self._sock)
        timer = SteadyTimer(CHECK_TIMEOUT_S, check_timeout(), self.channel)
        timer.register(self)

    @handler('_write', '_error', '_disconnect')
    def _on_connected(self, *_details: Any) -> None:
        if not self._is_finished:
            error = self._sock.getsockopt(SOL_SOCKET, SO_ERROR)
            self._conclude(is_refused=error == ECONNREFUSED)

    @handler('check_timeout')
    def _on_timeout(self) -> None:
        self._finish()

    def _conclude(self, *, is_refused: bool) -> None:
        self._finish()
        core: AgentCore = self._context.core
        if is_refused:
            core.on_target_gone(self._asked_s, self._context.clock())
        else:
            core.on_target_alive()

    def _finish(self) -> None:
        if not self._is_finished:
            self._is_finished = True
            find_poller(self).discard(self._sock)
            self._sock.close()
            self.unregister()
