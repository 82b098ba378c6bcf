"""A network in virtual time, with delay, loss, duplicates and partitions."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint

Receive = Callable[[Any, float], None]


@define(slots=True, eq=False)
class VirtualNetwork:
    """Delivers messages between cores and advances virtual time.

    Random delays also reorder messages. All randomness comes from `random`,
    so the same seed gives the same run.
    """

    random: Random
    delay_s: float = 0.001
    jitter_s: float = 0.001
    loss_share: float = 0.0
    double_share: float = 0.0
    now_s: float = 0.0
    # Returns whether messages from the first to the second are lost.
    is_cut: Callable[[Endpoint, Endpoint], bool] = lambda _from, _to: False
    receivers: dict[Endpoint, Receive] = field(factory=dict)
    sent_count: int = 0
    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: count = field(factory=count)

    def at(self, when_s: float, call: Callable[[], None]) -> None:
        """Schedules `call` at `when_s` of virtual time."""
        heappush(self._heap, (when_s, next(self._order), call))

    def every(self, period_s: float, call: Callable[[], None]) -> None:
        """Calls `call` periodically, with a random first delay."""

        def again() -> None:
            call()
            self.at(self.now_s + period_s, again)

        self.at(self.now_s + self.random.random() * period_s, again)

    def send(self, sender: Endpoint, peer: Endpoint, message: Any) -> None:
        """Sends one message, which may be lost or duplicated."""
        self.sent_count += 1
        if self.random.random() < self.loss_share:
            return
        self._schedule_delivery(sender, peer, message)
        if self.random.random() < self.double_share:
            self._schedule_delivery(sender, peer, message)

    def run(self, until_s: float) -> None:
        """Runs everything that is due up to `until_s`."""
        while self._heap and self._heap[0][0] <= until_s:
            due = heappop(self._heap)
            self.now_s = due[0]
            due[2]()
        self.now_s = until_s

    def _schedule_delivery(
        self, sender: Endpoint, peer: Endpoint, message: Any
    ) -> None:
        delay_s = self.delay_s + self.random.random() * self.jitter_s
        self.at(
            self.now_s + delay_s,
            lambda: self._deliver(sender, peer, message),
        )

    def _deliver(self, sender: Endpoint, peer: Endpoint, message: Any) -> None:
        receive = self.receivers.get(peer)
        if receive is not None and not self.is_cut(sender, peer):
            receive(message, self.now_s)
