"""SYNs that wait at a balancer until a target of their service has room."""

from collections.abc import Callable, Container

from attrs import define, field

from cumindrift.registry import Registry
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.outlook import QueueOutlook

# More SYNs of one service than this do not wait; the least urgent are refused.
QUEUED_MAX = 256
# How many queued SYNs of a service may be tried at once. Each one that opens
# allows one more, each one that is refused halves the number.
WINDOW_MIN = 1
WINDOW_MAX = 64

# Returns the sort key of a queued SYN; the lowest is tried first.
QueueOrder = Callable[[Hint], tuple[float, ...]]
queue_orders: Registry[QueueOrder] = Registry('queue order')


@queue_orders.register('urgent-first')
def order_by_priority(hint: Hint) -> tuple[float, ...]:
    """Orders by the route's priority, then the newest first.

    Under overload, the newest has the most time left for its request; the
    oldest would be answered when its client has given up.
    """
    return (hint.limits.priority, -hint.first_sent_s)


@queue_orders.register('by-value')
def order_by_value(hint: Hint) -> tuple[float, ...]:
    """Orders by priority, then by share exceeded, then the newest first.

    A client that sends far more than the others is served after them, since
    it would otherwise always have the newest SYN.
    """
    return (hint.limits.priority, hint.is_share_exceeded, -hint.first_sent_s)


@queue_orders.register('newest-first')
def order_by_newest(hint: Hint) -> tuple[float, ...]:
    """Orders the newest first, whatever its priority."""
    return (-hint.first_sent_s,)


@queue_orders.register('oldest-first')
def order_by_oldest(hint: Hint) -> tuple[float, ...]:
    """Orders the oldest first, as a baseline for comparison."""
    return (hint.first_sent_s,)


@define(slots=True, eq=False, repr=False)
class OpenQueue:
    """The waiting SYNs of one service, and how many of them are tried at once.

    Without the window, every balancer would send every waiting SYN to every
    agent again and again, which costs most when the targets have least room.
    """

    service: str = ''
    order: QueueOrder = order_by_priority
    window: int = WINDOW_MIN
    outlook: QueueOutlook = field(factory=QueueOutlook)
    _queued: dict[bytes, Hint] = field(factory=dict)
    _tried: set[bytes] = field(factory=set)

    @property
    def has_waiting(self) -> bool:
        """Returns whether SYNs wait or are tried again."""
        return bool(self._queued or self._tried)

    @property
    def waiting_count(self) -> int:
        """Returns how many SYNs wait, without those that are tried again."""
        return len(self._queued)

    @property
    def tried_count(self) -> int:
        """Returns how many SYNs of the queue are being tried."""
        return len(self._tried)

    def has_waiting_before(self, priority: int) -> bool:
        """Returns whether a SYN waits that is at least as urgent."""
        return any(
            hint.limits.priority <= priority for hint in self._queued.values()
        )

    def holds(self, key: bytes) -> bool:
        """Returns whether a SYN waits here."""
        return key in self._queued

    def is_tried(self, key: bytes) -> bool:
        """Returns whether a SYN from this queue is being tried."""
        return key in self._tried

    def add(self, key: bytes, hint: Hint) -> bytes | None:
        """Queues a SYN; returns the key of one that has to leave for it."""
        self._queued[key] = hint
        if len(self._queued) <= QUEUED_MAX:
            return None
        return max(self._queued, key=self._rank)

    def take_next(self) -> bytes | None:
        """Returns the SYN to try next; None if the window is used up."""
        if not self._queued or len(self._tried) >= self.window:
            return None
        key = min(self._queued, key=self._rank)
        self._queued.pop(key)
        self._tried.add(key)
        return key

    def on_opened(self, key: bytes) -> None:
        """Records that a target took a SYN of this queue."""
        if key in self._tried:
            self._tried.discard(key)
            self.window = min(self.window + 1, WINDOW_MAX)

    def on_refused(self, key: bytes) -> None:
        """Records that the agents that got a SYN of this queue refused it."""
        if key in self._tried:
            self._tried.discard(key)
            self.window = max(self.window // 2, WINDOW_MIN)

    def drop(self, key: bytes) -> None:
        """Removes a SYN, whether it waits or is being tried."""
        self._queued.pop(key, None)
        self._tried.discard(key)

    def keep_tried(self, unanswered: Container[bytes]) -> None:
        """Forgets the tried SYNs that are not among the unanswered ones."""
        self._tried = {key for key in self._tried if key in unanswered}

    def expired(self, now_s: float) -> list[bytes]:
        """Returns the waiting SYNs whose time is over."""
        return [
            key
            for key, hint in self._queued.items()
            if now_s >= hint.deadline_s
        ]

    def held_too_long(self, now_s: float) -> list[bytes]:
        """Returns the waiting SYNs that have no prospect of being served."""
        late = []
        for key, hint in self._queued.items():
            held_s = self.outlook.held_s(hint.limits, now_s)
            if held_s is not None and now_s - hint.first_sent_s > held_s:
                late.append(key)
        return late

    def _rank(self, key: bytes) -> tuple[float, ...]:
        return self.order(self._queued[key])
