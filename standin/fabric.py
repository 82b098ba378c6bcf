"""Fabric stand-in: sends each packet to a random balancer."""

from collections.abc import Callable
from random import Random

from absl import app, flags
from attrs import define, field
from circuits.core.pollers import EPoll

from cumindrift.address import Endpoint
from cumindrift.port import DatagramPort
from cumindrift.supervision import Child, ChildSpec, Supervisor

_LISTEN = flags.DEFINE_string('listen', None, 'Address for packets.')
_BALANCERS = flags.DEFINE_list('balancers', None, 'Fabric addresses.')
_DROP = flags.DEFINE_float('drop_share', 0.0, 'Share of packets dropped.')
_DOUBLE = flags.DEFINE_float('double_share', 0.0, 'Share sent twice.')
_SWAP = flags.DEFINE_float('swap_share', 0.0, 'Share swapped with the next.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the random choices.')


@define(slots=True)
class PacketSprayer:
    """Chooses a balancer and faults for each packet; does no I/O itself."""

    balancers: list[Endpoint]
    random: Random
    send: Callable[[bytes, tuple[str, int]], object]
    drop_share: float = 0.0
    double_share: float = 0.0
    swap_share: float = 0.0
    _held: list[bytes] = field(factory=list)

    def receive(self, packet: bytes, _pair: tuple[str, int]) -> None:
        """Forwards one packet, or drops, duplicates or delays it at random."""
        draw = self.random.random
        if self.drop_share and draw() < self.drop_share:
            return
        if self.swap_share and draw() < self.swap_share:
            self._held.append(packet)
            return
        self._send_to_random(packet)
        if self.double_share and draw() < self.double_share:
            self._send_to_random(packet)
        while self._held:
            self._send_to_random(self._held.pop())

    def _send_to_random(self, packet: bytes) -> None:
        self.send(packet, self.random.choice(self.balancers).sockaddr())


class FabricPort(Child):
    """Owns the fabric's socket."""

    def __init__(self, listen: Endpoint, balancers: list[Endpoint]) -> None:
        """Binds the socket."""
        super().__init__(channel='fabric')
        self._port = DatagramPort(listen, self._receive).register(self)
        self._sprayer = PacketSprayer(
            balancers,
            Random(_SEED.value),
            self._port.send,
            _DROP.value,
            _DOUBLE.value,
            _SWAP.value,
        )

    def release(self) -> None:
        """Closes the socket."""
        self._port.release()

    def _receive(self, packet: bytes, pair: tuple[str, int]) -> None:
        self._sprayer.receive(packet, pair)


def _run(_arguments: list[str]) -> int:
    listen = Endpoint.parse(_LISTEN.value)
    balancers = [Endpoint.parse(text) for text in _BALANCERS.value]
    root = Supervisor(
        'fabric',
        [ChildSpec('port', lambda: FabricPort(listen, balancers))],
    )
    EPoll().register(root)
    root.run()
    return 0


if __name__ == '__main__':
    flags.mark_flags_as_required(['listen', 'balancers'])
    app.run(_run)
