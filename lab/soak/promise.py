"""The promises that the soak checks, and what it saw broken."""

from collections import Counter

from attrs import define, field


@define(slots=True, eq=False)
class Ledger:
    """Counts what callers and targets saw; `broken` lists each breach."""

    counts: Counter[str] = field(factory=Counter)
    breaches: list[str] = field(factory=list)

    def count(self, name: str) -> None:
        """Counts one event."""
        self.counts[name] += 1

    def breach(self, promise: str, at_s: float, detail: str) -> None:
        """Notes a promise that was broken."""
        self.breaches.append(f'{promise} at {at_s:.2f} s: {detail}')
