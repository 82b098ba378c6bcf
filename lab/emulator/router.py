"""How the fabric selects a balancer for a client's packet."""

from collections.abc import Callable
from zlib import crc32

from attrs import define, field

from cumindrift.registry import Registry
from lab.emulator.node import EmulatedBalancer

MISSES_MAX = 2


@define(slots=True, eq=False)
class Router:
    """Probes the balancers, and selects one of those in rotation."""

    balancers: tuple[EmulatedBalancer, ...]
    pick: Callable[[bytes, list[EmulatedBalancer]], EmulatedBalancer]
    _misses: dict[str, int] = field(factory=dict)

    def probe(self) -> None:
        """Asks each balancer whether it is ready."""
        for each in self.balancers:
            missed = 0 if each.is_ready else self._misses.get(each.ip, 0) + 1
            self._misses[each.ip] = missed

    def select(self, key: bytes) -> EmulatedBalancer:
        """Returns the balancer that gets a packet of a flow."""
        in_rotation = [
            each
            for each in self.balancers
            if self._misses.get(each.ip, 0) < MISSES_MAX
        ]
        if len(in_rotation) * 2 < len(self.balancers):
            in_rotation = list(self.balancers)
        return self.pick(key, in_rotation)


Routing = Callable[[tuple[EmulatedBalancer, ...]], Router]
routers: Registry[Routing] = Registry('router')


@routers.register('steady')
def route_steadily(balancers: tuple[EmulatedBalancer, ...]) -> Router:
    """Moves only the flows of a balancer that leaves or joins."""

    def pick(key: bytes, known: list[EmulatedBalancer]) -> EmulatedBalancer:
        return max(known, key=lambda each: crc32(key + each.ip.encode()))

    return Router(balancers, pick)


@routers.register('mod')
def route_by_remainder(balancers: tuple[EmulatedBalancer, ...]) -> Router:
    """Moves nearly all flows when a balancer leaves or joins."""

    def pick(key: bytes, known: list[EmulatedBalancer]) -> EmulatedBalancer:
        return known[crc32(key) % len(known)]

    return Router(balancers, pick)
