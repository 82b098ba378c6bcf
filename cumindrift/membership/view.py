"""Views: immutable sets of members, indexed by service."""

from collections.abc import Iterable, Mapping
from functools import cached_property

from attrs import define
from xxhash import xxh3_64_intdigest

from cumindrift.membership.member import CANDIDATE_STATES, Member
from cumindrift.membership.shard import ShardedMap


@define(frozen=True, slots=True)
class ServiceName:
    """Name of a team's service; the key by which targets are grouped."""

    team: str
    service: str

    def __str__(self) -> str:
        return f'{self.team}/{self.service}'


class ServiceMembers:
    """Members of one service; shared by successive views if unchanged."""

    def __init__(self, members: dict[int, Member]) -> None:
        """Stores the members, given by id."""
        self.members = members
        self._out: frozenset[str] = frozenset()
        self._targets: tuple[Member, ...] | None = None
        self._version: int | None = None

    def targets(self, out: frozenset[str]) -> tuple[Member, ...]:
        """Returns the candidates for flows, ordered by id.

        `out` names the data centres that are out of service.
        """
        if self._targets is None or out != self._out:
            chosen = (
                member
                for member in self.members.values()
                if member.state in CANDIDATE_STATES
                and member.data_centre not in out
            )
            self._targets = tuple(
                sorted(chosen, key=lambda member: member.member_id),
            )
            self._out = out
            self._version = None
        return self._targets

    def version(self, out: frozenset[str]) -> int:
        """Returns a digest of the candidates and their endpoints."""
        targets = self.targets(out)
        if self._version is None:
            lines = ','.join(
                f'{member.member_id}@{member.endpoint}' for member in targets
            )
            self._version = xxh3_64_intdigest(lines.encode())
        return self._version


_NO_MEMBERS = ServiceMembers({})


class View:
    """An immutable set of members, indexed for the traffic cores.

    Membership makes a new view for each batch of changes. Flows are placed
    and found by its `service_version`, a digest that is equal in all
    processes that see the same candidates, so it needs no agreement.
    `suspects` are the members that are held: suspected, but kept while
    removals are frozen.
    """

    def __init__(
        self,
        members: Iterable[Member] = (),
        data_centres_out: frozenset[str] = frozenset(),
    ) -> None:
        """Builds a view from members and the data centres out of service."""
        self.members: ShardedMap[int, Member] = ShardedMap()
        self.data_centres_out = data_centres_out
        self.suspects: frozenset[int] = frozenset()
        self._services: ShardedMap[ServiceName, ServiceMembers] = ShardedMap()
        self._apply({member.member_id: member for member in members})

    def successor(
        self,
        changes: Mapping[int, Member | None],
        data_centres_out: frozenset[str],
        suspects: frozenset[int],
    ) -> 'View':
        """Returns a view with the changes; None removes a member.

        Unchanged parts are shared with this view, so the cost grows with
        the number of changes and not with the number of members.
        """
        view = View((), data_centres_out)
        view.members = self.members
        view.suspects = suspects
        view._services = self._services
        if data_centres_out != self.data_centres_out:
            view._reset_service_caches()
        view._apply(changes)
        return view

    @cached_property
    def services(self) -> frozenset[ServiceName]:
        """The services that have a target in any state."""
        return frozenset(self._services)

    def is_out(self, member: Member) -> bool:
        """Returns whether the member's data centre is out of service."""
        return member.data_centre in self.data_centres_out

    def targets(self, name: ServiceName) -> tuple[Member, ...]:
        """Returns the candidates of a service, ordered by id."""
        members = self._services.get(name, _NO_MEMBERS)
        return members.targets(self.data_centres_out)

    def service_version(self, name: ServiceName) -> int:
        """Returns a digest of the service's candidates and endpoints."""
        members = self._services.get(name, _NO_MEMBERS)
        return members.version(self.data_centres_out)

    def _apply(self, changes: Mapping[int, Member | None]) -> None:
        changed: dict[ServiceName, dict[int, Member]] = {}
        for member_id, member in changes.items():
            former = self.members.get(member_id)
            if former is not None and former.service:
                self._editable_members(changed, former).pop(member_id, None)
            if member is not None and member.service:
                self._editable_members(changed, member)[member_id] = member
        self.members = self.members.updated(changes)
        self._services = self._services.updated(
            {
                name: ServiceMembers(members) if members else None
                for name, members in changed.items()
            },
        )

    def _editable_members(
        self,
        changed: dict[ServiceName, dict[int, Member]],
        member: Member,
    ) -> dict[int, Member]:
        name = ServiceName(member.team, member.service)
        if name not in changed:
            former = self._services.get(name, _NO_MEMBERS)
            changed[name] = dict(former.members)
        return changed[name]

    def _reset_service_caches(self) -> None:
        # Each instance caches its candidates for one set of data centres out,
        # so the former view must keep its own instances.
        self._services = self._services.updated(
            {
                name: ServiceMembers(service.members)
                for name, service in self._services.items()
            },
        )
