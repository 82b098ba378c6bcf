"""Admission: how much of its target an agent may use now."""

from attrs import define

COLD_CONCURRENCY = 1
GOOD_COMPLETIONS_PER_STEP = 4


@define(slots=True)
class Admission:
    """Limits the requests in flight; used by the request core.

    The limit starts at what a cold target bears and grows with good
    completions up to the target's slots.
    """

    slots: int
    limit: float = COLD_CONCURRENCY
    in_flight: int = 0

    def may_start(self) -> bool:
        """Tells whether one more request may go to the target."""
        return self.in_flight < min(int(self.limit), self.slots)

    def on_start(self) -> None:
        """Counts a request that goes to the target."""
        self.in_flight += 1

    def on_good(self) -> None:
        """Notes a completion and lets the limit grow."""
        self.in_flight -= 1
        step = 1 / GOOD_COMPLETIONS_PER_STEP
        self.limit = min(self.slots, self.limit + step)

    def on_bad(self) -> None:
        """Notes a failure: the target may be cold again."""
        self.in_flight -= 1
        self.limit = COLD_CONCURRENCY
