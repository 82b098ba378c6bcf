"""What became of each request, and which promises were broken."""

from collections import Counter

from attrs import define, field

WINDOW_S = 2.0


@define(slots=True, eq=False)
class RequestRecord:
    """One request of a client, over all of its attempts."""

    number: int
    class_name: str
    started_s: float
    target_latency_s: float
    ended_s: float = 0.0
    is_served: bool = False
    attempt_count: int = 0
    run_count: int = 0
    reason: str = ''

    @property
    def latency_s(self) -> float:
        """Returns the time from the first attempt to the response."""
        return self.ended_s - self.started_s


@define(frozen=True, slots=True)
class Breach:
    """A broken promise."""

    promise: str
    at_s: float
    detail: str


@define(slots=True, eq=False)
class Ledger:
    """Collects the requests and breaches of one run."""

    records: list[RequestRecord] = field(factory=list)
    breaches: list[Breach] = field(factory=list)
    # Counts of SYNs, packets and failed attempts, by name.
    counts: Counter[str] = field(factory=Counter)

    def breach(self, promise: str, at_s: float, detail: str) -> None:
        """Records a broken promise."""
        self.breaches.append(Breach(promise, at_s, detail))

    def windows(self, from_s: float, length_s: float) -> list['Window']:
        """Returns the requests by the window in which they started.

        The first window starts at `from_s`. A last one that is not whole is
        left out.
        """
        count = int(length_s / WINDOW_S)
        windows = [Window(number * WINDOW_S) for number in range(count)]
        for record in self.records:
            number = int((record.started_s - from_s) / WINDOW_S)
            if number < count:
                windows[number].add(record)
        return windows

    def latencies_s(self) -> list[float]:
        """Returns the latencies of all served requests."""
        return [each.latency_s for each in self.records if each.is_served]


@define(slots=True, eq=False)
class Window:
    """The requests that started within WINDOW_S."""

    from_s: float
    offered: int = 0
    served: int = 0
    in_time: int = 0

    def add(self, record: RequestRecord) -> None:
        """Counts a request."""
        self.offered += 1
        self.served += record.is_served
        is_late = record.latency_s > record.target_latency_s
        self.in_time += record.is_served and not is_late

    @property
    def served_share(self) -> float:
        """Returns the served part of the requests; 1 if there are none."""
        return self.served / self.offered if self.offered else 1.0
