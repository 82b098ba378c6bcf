"""Changes of the evacuations, heard from agents and spread to them."""

from random import Random

from attrs import define

from cumindrift.fleet.copy_version import NOT_READ
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
    _outdated_since_s: float = 0.0
    _told_of: int = NOT_READ

    def on_report(self, changed_as_of: int) -> None:
        """Handles the newest change that an agent has heard of."""
        self.heard_of = max(self.heard_of, changed_as_of)

    def tick(self, now_s: float) -> None:
        """Requests the evacuations if outdated; tells agents of a change."""
        stamp = self.state.directory.evacuations_version.stamp
        if stamp.changed_as_of != self._told_of:
            self._told_of = stamp.changed_as_of
            self._tell_agents()
        if self.heard_of <= stamp.as_of:
            self._outdated_since_s = 0.0
        elif not self._outdated_since_s:
            self._outdated_since_s = now_s
        elif now_s - self._outdated_since_s >= LAG_MAX_S:
            self.state.output.request_evacuations(self.heard_of)

    def _tell_agents(self) -> None:
        state = self.state
        ips = sorted(state.directory.agent_ips())
        count = min(len(ips), AGENTS_TOLD_MAX)
        for ip in self.random.sample(ips, count):
            ping = ForwardedPacket(FrameKind.PING, state.ip, b'')
            state.forward(ip, ping)
