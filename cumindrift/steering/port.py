"""The peer port: receives frames of other nodes and sends a core's frames."""

from collections.abc import Callable
from typing import Any

from cumindrift.fleet.context import NodeContext
from cumindrift.platform.packet import build_reset, client_ip
from cumindrift.port import DatagramPort
from cumindrift.steering.frame import (
    AgentReport,
    ForwardedPacket,
    decode_frame,
    encode_forwarded,
    encode_report,
)


class PeerPort(DatagramPort):
    """Receives frames of other nodes and passes them to the role's core.

    `handle_message` gets a message, its sender's address and the time; it
    returns False for a message that the role does not accept.
    """

    def __init__(
        self,
        context: NodeContext,
        handle_message: Callable[
            [ForwardedPacket | AgentReport, str, float], bool
        ],
    ) -> None:
        """Binds at once; raises OSError when the address is taken."""
        super().__init__(context.settings.peer, self._receive_frame)
        self._context = context
        self._handle_message = handle_message
        self._core: Any = context.core
        self._port = context.settings.peer.port
        self._client_port = context.settings.packets.port
        self._core.state.output = self
        context.input_ports.append(self)

    def release(self) -> None:
        """Closes the socket."""
        self._context.input_ports.remove(self)
        super().release()

    def forward(self, ip: str, forwarded: ForwardedPacket) -> None:
        """Sends a client's packet to an agent."""
        self.send(encode_forwarded(forwarded), (ip, self._port))

    def send_report(self, ip: str, report: AgentReport) -> None:
        """Sends a report to a balancer or another agent."""
        self.send(encode_report(report), (ip, self._port))

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Sends the client a reset near the number it acknowledged last."""
        self.answer(flow_key, build_reset(flow_key, acknowledged))

    def answer(self, flow_key: bytes, octets: bytes) -> None:
        """Sends a packet to a flow's client."""
        self.send(octets, (client_ip(flow_key), self._client_port))

    def _receive_frame(self, octets: bytes, pair: tuple[str, int]) -> None:
        message = decode_frame(octets)
        now_s = self._context.clock()
        if message is None or not self._handle_message(message, pair[0], now_s):
            self._context.events.note('frame-unreadable', peer=pair[0])
