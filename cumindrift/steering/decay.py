"""Counts that decay, which measure rates without keeping each event."""

from attrs import define


@define(slots=True, eq=False, repr=False)
class DecayingCount:
    """A count of events that loses half of its value in each half-life.

    Events at a steady rate bring it to `rate * half_life_s / ln(2)`, so the
    ratio of two counts with the same half-life is the ratio of their rates.
    """

    half_life_s: float
    _count: float = 0.0
    _counted_s: float = 0.0

    def add(self, now_s: float, amount: float = 1.0) -> None:
        """Counts `amount` events at `now_s`."""
        self._count = self.at(now_s) + amount
        self._counted_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the count at `now_s`, which is not before the last event."""
        age_s = max(now_s - self._counted_s, 0.0)
        return self._count * 0.5 ** (age_s / self.half_life_s)
