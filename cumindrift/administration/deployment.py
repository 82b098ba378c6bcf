"""State of the deployment, collected once for the pages that report it."""

from collections.abc import Iterable, Mapping

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.membership.member import CANDIDATE_STATES, Member, MemberState
from cumindrift.membership.view import ServiceName
from cumindrift.settings.tree import Snapshot, Tree


@define(frozen=True, slots=True)
class DeploymentState:
    """What one balancer knows about the deployment at one moment.

    `versions` holds the settings version that each member reported;
    `stored_version` is None when the platform was not reached.
    """

    version: int
    tree: Tree
    members: tuple[Member, ...]
    targets: dict[ServiceName, tuple[Member, ...]]
    versions: Mapping[Endpoint, int]
    stored_version: int | None

    @property
    def newest_version(self) -> int:
        """The newest settings version known."""
        return max(self.version, self.stored_version or 0)

    def outdated_members(self) -> list[Member]:
        """Returns the members that haven't reported the newest version."""
        newest = self.newest_version
        return [
            member
            for member in self.members
            if self.versions.get(member.endpoint, 0) < newest
        ]

    def available_targets(self, name: ServiceName) -> list[Member]:
        """Returns the targets that can take new flows.

        They are neither draining nor in a data centre that is out.
        """
        out = self.tree.data_centres_out()
        return [
            member
            for member in self.targets.get(name, ())
            if member.state in CANDIDATE_STATES
            and member.state != MemberState.DRAINING
            and member.data_centre not in out
        ]


def collect_deployment_state(
    snapshot: Snapshot,
    members: Iterable[Member],
    versions: Mapping[Endpoint, int],
    stored_version: int | None,
) -> DeploymentState:
    """Collects the deployment's state and indexes members by service.

    It takes one pass over the members.
    """
    alive = tuple(
        member for member in members if member.state < MemberState.LEFT
    )
    targets: dict[ServiceName, list[Member]] = {}
    for member in alive:
        if member.service:
            name = ServiceName(member.team, member.service)
            targets.setdefault(name, []).append(member)
    return DeploymentState(
        snapshot.version,
        snapshot.tree,
        alive,
        {name: tuple(found) for name, found in targets.items()},
        versions,
        stored_version,
    )
