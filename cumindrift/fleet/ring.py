"""The ring: which agents know the holder of a flow, as all agree."""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from zlib import crc32

from attrs import define, field

# More points spread flows more evenly, and cost time with each change.
POINTS_PER_AGENT = 8


@define(slots=True, eq=False, repr=False)
class KeeperRing:
    """Orders agents for each flow; used by the balancer's directory.

    When an agent comes or goes, the order changes for the flows near its
    points only.

    Example::

        ring = KeeperRing(('10.1.0.13', '10.2.0.7'))
        first = next(ring.order(flow_key))
    """

    ips: Sequence[str] = ()
    _points: list[int] = field(factory=list)
    _owners: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Places each agent at its points."""
        placed = sorted(
            (crc32(f'{ip}/{number}'.encode()), ip)
            for ip in self.ips
            for number in range(POINTS_PER_AGENT)
        )
        self._points = [point for point, _ in placed]
        self._owners = [ip for _, ip in placed]

    def order(self, flow_key: bytes) -> Iterator[str]:
        """Yields every agent once, a flow's first keeper first."""
        start = bisect_left(self._points, crc32(flow_key))
        count = len(self._owners)
        seen: set[str] = set()
        for place in range(start, start + count):
            owner = self._owners[place % count]
            if owner not in seen:
                seen.add(owner)
                yield owner
