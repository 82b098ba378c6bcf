"""What an agent has heard of the evacuated data centres."""

from attrs import define

from cumindrift.fleet.copy_version import NO_COPY, CopyStamp
from cumindrift.steering.frame import ForwardedPacket

# Balancers that know of an evacuation send frames all the time. What none has
# confirmed for this long is given up, so that it cannot last by mistake.
UNCONFIRMED_KEPT_S = 60.0


@define(slots=True, eq=False, repr=False)
class EvacuationKnowledge:
    """What the newest copy that a balancer has named says of this agent."""

    newest: CopyStamp = NO_COPY
    # Whether this agent's own data centre is evacuated.
    is_evacuated: bool = False
    _confirmed_s: float = 0.0

    def learn(self, forwarded: ForwardedPacket, now_s: float) -> bool:
        """Takes over what a balancer's frame says, if it is newer.

        Frames that another agent passes on say nothing about this agent's
        data centre. Returns whether this agent's own state has changed.
        """
        stamp = forwarded.evacuations
        is_direct = forwarded.sender_ip == forwarded.origin_ip
        if not is_direct or stamp == NO_COPY:
            return False
        if now_s - self._confirmed_s > UNCONFIRMED_KEPT_S:
            self.newest = NO_COPY
        if stamp.as_of >= self.newest.as_of:
            self._confirmed_s = now_s
        if stamp.as_of <= self.newest.as_of:
            return False
        changed_as_of = max(stamp.changed_as_of, self.newest.changed_as_of)
        self.newest = CopyStamp(stamp.as_of, changed_as_of)
        was_evacuated = self.is_evacuated
        self.is_evacuated = forwarded.is_evacuated
        return was_evacuated != self.is_evacuated

    def forbids(self, stamp: CopyStamp) -> bool:
        """Tells whether a new flow was sent here by an outdated copy.

        A balancer with a newer copy than this agent's knowledge may know that
        the evacuation is over, so its new flows are taken.
        """
        return self.is_evacuated and stamp.as_of < self.newest.changed_as_of
