"""How new a copy of the store's objects is."""

from attrs import define

# The revision of a copy that was not read yet.
NOT_READ = -1


@define(frozen=True, slots=True)
class CopyStamp:
    """The version of a copy, as frames carry it from node to node.

    Attributes:
        as_of: The store's revision up to which the copy has every change;
            NOT_READ before the first complete list.
        changed_as_of: A revision that includes the copy's last change: any
            copy that is complete up to it has that change. NOT_READ before
            the first known change.
    """

    as_of: int = NOT_READ
    changed_as_of: int = NOT_READ


# The version before anything was read.
NO_COPY = CopyStamp()


@define(slots=True, eq=False, repr=False)
class CopyVersion:
    """The version of a node's own copy; its watcher updates it.

    Attributes:
        stamp: The version itself.
        confirmed_s: When the store or a peer last confirmed the copy, on the
            node's steady clock.
        listed_s: When the latest complete list was requested.
    """

    stamp: CopyStamp = NO_COPY
    confirmed_s: float = 0.0
    listed_s: float = 0.0

    @property
    def as_of(self) -> int:
        """Returns the revision up to which the copy has every change."""
        return self.stamp.as_of

    def confirm(self, as_of: int, changed_as_of: int, now_s: float) -> None:
        """Records that the copy is complete up to `as_of`.

        `changed_as_of` is NOT_READ if the copy has not changed.
        """
        last_change = max(self.stamp.changed_as_of, changed_as_of)
        self.stamp = CopyStamp(as_of, last_change)
        self.confirmed_s = now_s

    def age_s(self, now_s: float) -> float:
        """Returns the time since the copy was last confirmed."""
        return round(now_s - self.confirmed_s, 3)
