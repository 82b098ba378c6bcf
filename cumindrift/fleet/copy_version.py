"""How new a copy of the store's objects is."""

from attrs import define

# The revision of a copy that was not read yet.
NOT_READ = -1


@define(slots=True, eq=False, repr=False)
class CopyVersion:
    """The version of a copy; its watcher updates it, decisions log it.

    Attributes:
        as_of: The store's revision up to which the copy has every change;
            NOT_READ before the first complete list.
        confirmed_s: When the store or a peer last confirmed the copy, on the
            node's steady clock.
    """

    as_of: int = NOT_READ
    confirmed_s: float = 0.0

    def age_s(self, now_s: float) -> float:
        """Returns the time since the copy was last confirmed."""
        return round(now_s - self.confirmed_s, 3)
