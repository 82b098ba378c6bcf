"""Changes of the evacuations, heard from agents and spread to them."""

from random import Random

from attrs import define

from cumindrift.fleet.copy_version import NOT_READ, CopyStamp
from cumindrift.steering.balancer.state import BalancerState
from cumindrift.steering.frame import ForwardedPacket, FrameKind

# A balancer whose own watch works has a change this soon after another one.
LAG_MAX_S = 0.5
# Agents that a balancer tells of a change; they tell the other balancers.
AGENTS_TOLD_MAX = 64


@define(slots=True, eq=False, repr=False)
class EvacuationNews:
    """Notices that other balancers know of a change that this one has not read.

    Each frame names the sender's copy of the evacuations, and agents report
    the newest change that they have heard of. So a balancer that the store does
    not serve, or whose watch hangs, learns that it is outdated, and reads
    the evacuations again, from the store or from a peer.
    """

    state: BalancerState
    random: Random
    heard_of: int = NOT_READ
    _behind_since_s: float = 0.0
    _told_of: int = NOT_READ

    def on_report(self, changed_as_of: int) -> None:
        """Handles the newest change that an agent has heard of."""
        self.heard_of = max(self.heard_of, changed_as_of)

    def tick(self, now_s: float) -> None:
        """Tells agents of a change; catches up with a change they know."""
        directory = self.state.directory
        version = directory.evacuations_version
        self._tell_agents(version.stamp)
        if 0 < self._behind_since_s < version.listed_s:
            # That list began after the news, so it has every change.
            self.heard_of = version.as_of
        if self.heard_of <= version.as_of:
            self._behind_since_s = 0.0
            directory.expected_evacuations_as_of = NOT_READ
        elif not self._behind_since_s:
            self._behind_since_s = now_s
        elif now_s - self._behind_since_s >= LAG_MAX_S:
            self._catch_up(now_s)

    def _tell_agents(self, stamp: CopyStamp) -> None:
        if stamp.changed_as_of == self._told_of:
            return
        self._told_of = stamp.changed_as_of
        state = self.state
        ips = sorted(state.directory.agent_ips())
        count = min(len(ips), AGENTS_TOLD_MAX)
        for ip in self.random.sample(ips, count):
            ping = ForwardedPacket(FrameKind.PING, state.ip, b'')
            state.forward(ip, ping)

    def _catch_up(self, now_s: float) -> None:
        """Has the evacuations read from the store, and from peers."""
        state = self.state
        directory = state.directory
        if directory.expected_evacuations_as_of != self.heard_of:
            directory.expected_evacuations_as_of = self.heard_of
            version = directory.evacuations_version
            state.events.note_urgently(
                'evacuations-outdated',
                evacuations=version.as_of,
                evacuations_age_s=version.age_s(now_s),
                expected_revision=self.heard_of,
            )
        state.output.request_evacuations()
