"""Consistent-hash ring that chooses the record keepers of each flow."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from zlib import crc32

from attrs import define, field

# More points distribute flows more evenly, but rebuilding the ring after a
# change of the agents takes longer.
POINTS_PER_AGENT = 8


@define(slots=True, eq=False, repr=False)
class KeeperRing:
    """Orders agents for each flow; used by the balancer's directory.

    All balancers get the same order. The first agents are the record keepers
    of the flow: they store which agent holds it. When an agent is added or
    removed, the order changes only for the flows near its points.

    Example::

        ring = KeeperRing(('10.1.0.13', '10.2.0.7'))
        first = next(ring.order(flow_key))
    """

    ips: Sequence[str] = ()
    _points: list[int] = field(factory=list)
    _owners: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Places each agent at its points on the ring."""
        placed = sorted(
            (crc32(f'{ip}/{number}'.encode()), ip)
            for ip in self.ips
            for number in range(POINTS_PER_AGENT)
        )
        self._points = [point for point, _ in placed]
        self._owners = [ip for _, ip in placed]

    def order(self, flow_key: bytes) -> Iterator[str]:
        """Yields every agent once, a flow's first record keeper first."""
        start = bisect_left(self._points, crc32(flow_key))
        count = len(self._owners)
        seen: set[str] = set()
        for place in range(start, start + count):
            owner = self._owners[place % count]
            if owner not in seen:
                seen.add(owner)
                yield owner
