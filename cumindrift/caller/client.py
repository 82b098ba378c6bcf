"""Clients: connect a session to a UDP socket on the circuits loop."""

from collections.abc import Callable
from random import SystemRandom
from time import monotonic

from cumindrift.address import Endpoint
from cumindrift.caller.message import Request
from cumindrift.caller.session import OutcomeCallback, Session
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker
from cumindrift.traffic.packet import udp_packet

TICK_PERIOD_S = 0.05


class Client(Child):
    """One flow to one service; register it on a circuits root component.

    Example::

        client = Client(own, fabric, service, on_outcome).register(root)
        client.request(make_request(random, 'POST', '/claims'), 5.0)
    """

    def __init__(
        self,
        own: Endpoint,
        fabric: Endpoint,
        service: Endpoint,
        on_outcome: OutcomeCallback,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Binds to `own` (port 0 for any free one) and opens the flow."""
        self._port = DatagramPort(own, self._receive)
        super().__init__(channel=f'client-{self._port.endpoint}')
        self._fabric = fabric
        self._service = service
        self._clock = clock
        self._is_finishing = False
        # Unregistering takes a few more events, among which can be ticks.
        self._is_finished = False
        self.session = Session(SystemRandom(), on_outcome)
        self._port.register(self)
        self._ticker = Ticker(
            self.channel,
            TICK_PERIOD_S,
            self._tick,
        ).register(self)
        self._send(self.session.open(clock()))

    @property
    def retry_after_s(self) -> float:
        """The wait before the next attempt that the agent asked for."""
        return self.session.retry_after_s

    @property
    def is_refused(self) -> bool:
        """Whether the flow was refused."""
        return self.session.refusal is not None

    def request(self, request: Request, timeout_s: float) -> None:
        """Starts a request that times out after `timeout_s` seconds."""
        now_s = self._clock()
        self._send(self.session.request(request, now_s + timeout_s, now_s))

    def cancel(self, request_id: bytes) -> None:
        """Cancels a request; its outcome is still reported."""
        self._send(self.session.cancel(request_id))

    def finish(self) -> None:
        """Closes the flow and the socket at the next tick.

        Messages that the session still has to send, such as cancellations,
        go first.
        """
        self._is_finishing = True

    def release(self) -> None:
        """Closes the socket."""
        self._port.release()

    def _receive(self, payload: bytes, _pair: tuple[str, int]) -> None:
        self._send(self.session.receive(payload, self._clock()))

    def _tick(self) -> None:
        if self._is_finished:
            return
        self._send(self.session.tick(self._clock()))
        if self._is_finishing:
            self._send(self.session.close())
            self._is_finished = True
            self.release()
            self.unregister()

    def _send(self, payloads: list[bytes]) -> None:
        for payload in payloads:
            packet = udp_packet(self._port.endpoint, self._service, payload)
            self._port.send(packet, self._fabric.sockaddr())
