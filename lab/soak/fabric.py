"""The routers of a soak, which send clients' packets to balancers."""

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
from lab.soak.topology import PACKETS_PORT, READY_PORT, Topology
from lab.soak.wire import FLOW_KEY

PROBE_S = 0.5
PROBE_TIMEOUT_S = 0.5
MISSES_MAX = 2
STATUS_OK = 200


@define(slots=True, eq=False)
class BalancerHealth:
    """Readiness probes of one balancer and their result."""

    ip: str
    miss_count: int = MISSES_MAX
    exchange: HttpExchange | None = None
    probed_s: float = 0.0
    serial: int = 0


class Fabric(Child):
    """Probes balancers and sends each flow to one that is ready."""

    def __init__(self, topology: Topology, random: Random, clock: Any) -> None:
        """Probes the balancers of a topology."""
        super().__init__(channel='fabric')
        self.loss_probability = 0.0
        self._random = random
        self._clock = clock
        self._balancers = [
            BalancerHealth(topology.balancer_ip(number))
            for number in range(topology.balancers)
        ]
        source = Endpoint(topology.client_ip(200), 0)
        self._port = DatagramPort(source, self._ignore).register(self)

    def release(self) -> None:
        """Closes the socket."""
        self._port.release()

    @property
    def ready_count(self) -> int:
        """Returns how many balancers count as ready."""
        return sum(
            balancer.miss_count < MISSES_MAX for balancer in self._balancers
        )

    def send(self, octets: bytes) -> None:
        """Sends a client's packet to the balancer of its flow."""
        if (
            self.loss_probability
            and self._random.random() < self.loss_probability
        ):
            return
        ready = [
            balancer
            for balancer in self._balancers
            if balancer.miss_count < MISSES_MAX
        ]
        chosen = max(
            ready or self._balancers,
            key=lambda balancer: crc32(octets[FLOW_KEY] + balancer.ip.encode()),
        )
        self._port.send(octets, (chosen.ip, PACKETS_PORT))

    def tick(self) -> None:
        """Probes every balancer twice a second."""
        now_s = self._clock()
        for balancer in self._balancers:
            if balancer.exchange is not None:
                if now_s - balancer.probed_s >= PROBE_TIMEOUT_S:
                    balancer.exchange.fail()
            elif now_s - balancer.probed_s >= PROBE_S:
                self._probe(balancer, now_s)

    def _probe(self, balancer: BalancerHealth, now_s: float) -> None:
        balancer.probed_s = now_s
        balancer.serial += 1

        def on_end(answer: HttpClientResponse | None, _was_sent: bool) -> None:
            balancer.exchange = None
            is_ready = answer is not None and answer.status == STATUS_OK
            balancer.miss_count = 0 if is_ready else balancer.miss_count + 1

        balancer.exchange = HttpExchange(
            f'probe-{balancer.ip}-{balancer.serial}',
            Endpoint(balancer.ip, READY_PORT),
            HttpClientRequest('GET', '/cumindrift/ready'),
            on_end,
        )
        balancer.exchange.register(self)
        balancer.exchange.start()

    def _ignore(self, _octets: bytes, _pair: Any) -> None:
        """Ignores datagrams to the routers; none are expected."""
