"""Record of events and of broken promises during a soak."""

from collections import Counter

from attrs import define, field


@define(slots=True, eq=False)
class Ledger:
    """Counts events at clients and targets, and lists broken promises."""

    counts: Counter[str] = field(factory=Counter)
    breaches: list[str] = field(factory=list)

    def count(self, name: str) -> None:
        """Counts one event."""
        self.counts[name] += 1

    def breach(self, promise: str, at_s: float, detail: str) -> None:
        """Records a broken promise."""
        self.breaches.append(f'{promise} at {at_s:.2f} s: {detail}')
