"""The routers of a soak: which balancer gets a client's packet."""

from random import Random
from typing import Any
from zlib import crc32

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.exchange import (
    HttpClientRequest,
    HttpClientResponse,
    HttpExchange,
)
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child
from lab.soak.place import PACKETS_PORT, READY_PORT, Site
from lab.soak.wire import KEY_AT

PROBE_S = 0.5
PROBE_TIMEOUT_S = 0.5
MISSES_MAX = 2
STATUS_OK = 200


@define(slots=True, eq=False)
class Rotation:
    """Whether a balancer is sent packets."""

    ip: str
    miss_count: int = MISSES_MAX
    exchange: HttpExchange | None = None
    asked_s: float = 0.0
    serial: int = 0


class Fabric(Child):
    """Probes balancers and sends each flow to one of those that are ready."""

    def __init__(self, site: Site, random: Random, clock: Any) -> None:
        """Takes the balancers of a site."""
        super().__init__(channel='fabric')
        self.lost_share = 0.0
        self._random = random
        self._clock = clock
        self._rotations = [
            Rotation(site.balancer_ip(number))
            for number in range(site.balancers)
        ]
        source = Endpoint(site.client_ip(200), 0)
        self._port = DatagramPort(source, self._ignore).register(self)

    def release(self) -> None:
        """Closes the socket."""
        self._port.release()

    @property
    def ready_count(self) -> int:
        """Returns how many balancers are in rotation."""
        return sum(each.miss_count < MISSES_MAX for each in self._rotations)

    def send(self, octets: bytes) -> None:
        """Sends a client's packet to the balancer of its flow."""
        if self.lost_share and self._random.random() < self.lost_share:
            return
        ready = [
            each for each in self._rotations if each.miss_count < MISSES_MAX
        ]
        chosen = max(
            ready or self._rotations,
            key=lambda each: crc32(octets[KEY_AT] + each.ip.encode()),
        )
        self._port.send(octets, (chosen.ip, PACKETS_PORT))

    def tick(self) -> None:
        """Probes every balancer twice a second."""
        now_s = self._clock()
        for each in self._rotations:
            if each.exchange is not None:
                if now_s - each.asked_s >= PROBE_TIMEOUT_S:
                    each.exchange.fail()
            elif now_s - each.asked_s >= PROBE_S:
                self._probe(each, now_s)

    def _probe(self, rotation: Rotation, now_s: float) -> None:
        rotation.asked_s = now_s
        rotation.serial += 1

        def on_end(answer: HttpClientResponse | None, _was_sent: bool) -> None:
            rotation.exchange = None
            is_ready = answer is not None and answer.status == STATUS_OK
            rotation.miss_count = 0 if is_ready else rotation.miss_count + 1

        rotation.exchange = HttpExchange(
            f'probe-{rotation.ip}-{rotation.serial}',
            Endpoint(rotation.ip, READY_PORT),
            HttpClientRequest('GET', '/cumindrift/ready'),
            on_end,
        )
        rotation.exchange.register(self)
        rotation.exchange.start()

    def _ignore(self, _octets: bytes, _pair: Any) -> None:
        """Takes what comes back to the routers, which is nothing."""
