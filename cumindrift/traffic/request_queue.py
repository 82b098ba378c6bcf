"""Requests that wait for a free slot of the target, and how long they wait."""

from collections import deque
from random import Random

from attrs import define, field

from cumindrift.caller.message import MS_PER_S
from cumindrift.traffic.admission import AdmissionController
from cumindrift.traffic.ledger import Entry

QUEUE_MAX = 16
RETRY_AFTER_MIN_S = 0.05


@define(slots=True)
class RequestQueue:
    """The ids of the queued requests, first come first; used by the core.

    With `checks_deadlines` a request that can't meet its deadline any more is
    told from one that can, so that the core refuses it at once.
    """

    admission: AdmissionController
    random: Random
    checks_deadlines: bool = True
    queue_max: int = QUEUE_MAX
    ids: deque[bytes] = field(factory=deque)

    def add(self, entry: Entry) -> None:
        """Appends a request."""
        self.ids.append(entry.request_id)

    def remove(self, entry: Entry) -> None:
        """Removes a request, if it is queued."""
        if entry.request_id in self.ids:
            self.ids.remove(entry.request_id)

    def can_take(self, entry: Entry, now_s: float) -> bool:
        """Tells whether there is room, and the request would start in time."""
        if len(self.ids) >= self.queue_max:
            return False
        return not self.checks_deadlines or (
            now_s + self._expected_wait_s() < entry.deadline_s
        )

    def is_too_late(self, entry: Entry, now_s: float) -> bool:
        """Tells whether a request that started now would end too late."""
        due_s = now_s + self.admission.expected_response_s()
        return self.checks_deadlines and due_s >= entry.deadline_s

    def retry_after_ms(self) -> int:
        """Returns when a refused caller may try again, with jitter."""
        wait_s = max(RETRY_AFTER_MIN_S, self._expected_wait_s())
        return int(wait_s * MS_PER_S * (0.5 + self.random.random()))

    def _expected_wait_s(self) -> float:
        """Returns how long one more request would wait and run."""
        turns = (len(self.ids) + 1) / self.admission.limit
        return turns * self.admission.expected_response_s()
