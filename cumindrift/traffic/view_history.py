"""Current and former membership views of one service, as an agent has them."""

from collections import deque
from collections.abc import Iterator

from attrs import define, field

from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.view import ServiceName, View
from cumindrift.traffic.candidates import candidates_in
from cumindrift.traffic.message import Candidate

# How long a former view is kept.
VIEW_GRACE_S = 30.0
# How long a search whose sender used an unknown service version is unsure.
UNKNOWN_VERSION_GRACE_S = 5.0
FORMER_VIEWS_MAX = 8
UNKNOWN_VERSIONS_MAX = 8
# Record keepers of a flow: its first candidates, which store a record of
# the agent that holds it.
RECORD_KEEPERS = 2


@define(slots=True)
class ViewHistory:
    """The current view of one service, and former views for VIEW_GRACE_S.

    Shared by an agent's finder, opener, handover and record replicator.
    Former views are kept because balancers and other agents may still use
    them.
    """

    me: Candidate
    name: ServiceName
    incarnation: int
    current: View = field(factory=View)
    _former: deque[tuple[View, float]] = field(factory=deque)
    _unknown_versions: dict[int, float] = field(factory=dict)
    # Service versions of the current and the former views.
    _known_versions: frozenset[int] = frozenset()
    _own_member: Member | None = None

    def update(self, view: View, now_s: float) -> bool:
        """Sets the current view; returns whether the candidates changed."""
        former = self.current
        self.current = view
        self._own_member = view.members.get(self.me.member_id)
        self._known_versions |= {view.service_version(self.name)}
        if view.service_version(self.name) == former.service_version(
            self.name,
        ):
            return False
        self._former.append((former, now_s + VIEW_GRACE_S))
        if len(self._former) > FORMER_VIEWS_MAX:
            self._former.popleft()
        self._update_known_versions()
        return True

    def expire(self, now_s: float) -> None:
        """Discards former views after their grace period."""
        while self._former and self._former[0][1] < now_s:
            self._former.popleft()
            self._update_known_versions()

    def candidates(self, flow_key: bytes) -> tuple[Candidate, ...]:
        """Returns the flow's candidates in the current view."""
        return candidates_in(self.current, self.name, flow_key)

    def record_keepers(self, flow_key: bytes) -> tuple[Candidate, ...]:
        """Returns the record keepers of a flow, without this agent.

        A draining agent counts as gone already, so that the next candidate
        gets the record before this agent leaves.
        """
        ranked = self.candidates(flow_key)
        if self.is_draining():
            others = tuple(keeper for keeper in ranked if keeper != self.me)
            return others[:RECORD_KEEPERS]
        return tuple(
            keeper for keeper in ranked[:RECORD_KEEPERS] if keeper != self.me
        )

    def candidate_lists(
        self, flow_key: bytes
    ) -> Iterator[tuple[Candidate, ...]]:
        """Yields the flow's candidates in every known view, newest first."""
        yield self.candidates(flow_key)
        for view, _until_s in reversed(self._former):
            yield candidates_in(view, self.name, flow_key)

    def is_settled(self, version: int) -> bool:
        """Returns whether `version` is current and no former view is kept."""
        return not self._former and version == self.current.service_version(
            self.name,
        )

    def accepts_version(self, version: int, now_s: float) -> bool:
        """Returns whether a version is known or its grace period is over.

        A sender whose view differs for good, such as one in a partitioned
        region, must not keep this agent unsure for ever.
        """
        if version in self._known_versions:
            return True
        if version not in self._unknown_versions:
            if len(self._unknown_versions) >= UNKNOWN_VERSIONS_MAX:
                self._unknown_versions.pop(next(iter(self._unknown_versions)))
            self._unknown_versions[version] = now_s
        return now_s - self._unknown_versions[version] > UNKNOWN_VERSION_GRACE_S

    def is_out(self) -> bool:
        """Returns whether the agent's own data centre was taken out."""
        return self._own_member is not None and self.current.is_out(
            self._own_member
        )

    def is_member_out(self, candidate: Candidate) -> bool:
        """Returns whether a candidate's data centre was taken out."""
        member = self.current.members.get(candidate.member_id)
        return member is not None and self.current.is_out(member)

    def is_draining(self) -> bool:
        """Returns whether this agent accepts no new flows."""
        return (
            self._own_member is None
            or self._own_member.state >= MemberState.DRAINING
        )

    def has_left(self, candidate: Candidate) -> bool:
        """Returns whether a member was in a former view and no longer is."""
        if candidate.member_id in self.current.members:
            return False
        return any(
            candidate.member_id in view.members for view, _ in self._former
        )

    def may_forward_to(self, candidate: Candidate) -> bool:
        """Returns whether a search may be forwarded to a candidate.

        A candidate that is in no known view has joined recently, so it may.
        """
        member = self.current.members.get(candidate.member_id)
        if member is None:
            return not self.has_left(candidate)
        return not self.current.is_out(member)

    def _update_known_versions(self) -> None:
        views = (self.current, *(view for view, _until_s in self._former))
        self._known_versions = frozenset(
            view.service_version(self.name) for view in views
        )
