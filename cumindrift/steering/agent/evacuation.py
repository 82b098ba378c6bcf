"""What an agent has heard of the evacuated data centres."""

from attrs import define

from cumindrift.fleet.copy_version import NO_COPY, CopyStamp


@define(slots=True, eq=False, repr=False)
class EvacuationKnowledge:
    """The newest copy of the evacuations that a balancer has named."""

    newest: CopyStamp = NO_COPY

    def learn(self, stamp: CopyStamp) -> None:
        """Takes over what a frame says if it is newer."""
        if stamp.as_of > self.newest.as_of:
            changed_as_of = max(stamp.changed_as_of, self.newest.changed_as_of)
            self.newest = CopyStamp(stamp.as_of, changed_as_of)
