"""The peer port: signed datagrams between the system's processes."""

from loguru import logger

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.metric import DROPS
from cumindrift.port import DatagramPort
from cumindrift.traffic.frame import STEERED_FAMILY
from cumindrift.wire import WireError, decode_frame


class FrameReader:
    """Verifies, decodes and dispatches the datagrams of the peer port.

    A datagram without a valid MAC, or that no message family can decode, is
    counted and dropped.
    """

    def __init__(self, context: Context) -> None:
        """Takes the context whose receivers get the messages."""
        self._context = context

    def read(self, datagram: bytes) -> None:
        """Handles one signed datagram."""
        frame = self._context.keyring.verify(datagram)
        if frame is None:
            DROPS.labels(ResultCode.MESSAGE_FORGED.name).inc()
            return
        receiver = self._context.receivers.get(frame[0]) if frame else None
        if receiver is None:
            DROPS.labels(ResultCode.MESSAGE_MALFORMED.name).inc()
            return
        try:
            message = self._decode(frame)
        except WireError as error:
            DROPS.labels(ResultCode.MESSAGE_MALFORMED.name).inc()
            logger.debug('a peer message cannot be decoded: {}', error)
            return
        receiver(message, self._context.clock())

    def _decode(self, frame: bytes) -> object:
        if frame[0] == STEERED_FAMILY:
            return self._context.codec.decode(frame)
        return decode_frame(frame)


class PeerPort(DatagramPort):
    """Sends and receives signed frames; a child of the root supervisor."""

    def __init__(self, context: Context) -> None:
        """Binds the peer address of the process settings."""
        reader = FrameReader(context)
        super().__init__(
            Endpoint.parse(context.settings.peer),
            lambda datagram, _pair: reader.read(datagram),
        )
        self._context = context
        context.send_frame = self._send_frame
        context.send_raw = self._send_raw

    def _send_frame(self, peer: Endpoint, frame: bytes) -> None:
        self.send(self._context.keyring.sign(frame), peer.sockaddr())

    def _send_raw(self, peer: Endpoint, octets: bytes) -> None:
        self.send(octets, peer.sockaddr())
