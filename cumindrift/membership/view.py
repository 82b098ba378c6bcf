"""Views: what one process believes of the members, at one moment."""

from collections.abc import Iterable
from functools import cached_property

from attrs import define
from xxhash import xxh3_64_intdigest

from cumindrift.membership.member import CANDIDATE_STATES, Member


@define(frozen=True, slots=True)
class ServiceName:
    """A service of a team; the key under which targets are grouped."""

    team: str
    service: str

    def __str__(self) -> str:
        return f'{self.team}/{self.service}'


class View:
    """An unchanging set of members, indexed for the traffic cores.

    Membership makes a new view for each change; flows are placed and found
    by its `service_version`, a digest that is equal wherever the same
    candidates are seen, so that it needs no agreement.
    """

    def __init__(
        self,
        members: Iterable[Member] = (),
        data_centres_out: frozenset[str] = frozenset(),
    ) -> None:
        """Takes the members and the data centres that were taken out."""
        self.members = {member.member_id: member for member in members}
        self.data_centres_out = data_centres_out
        self._targets: dict[ServiceName, tuple[Member, ...]] = {}
        self._versions: dict[ServiceName, int] = {}

    @cached_property
    def services(self) -> frozenset[ServiceName]:
        """Returns the services that have a target in any state."""
        return frozenset(
            ServiceName(member.team, member.service)
            for member in self.members.values()
            if member.service
        )

    def is_out(self, member: Member) -> bool:
        """Tells whether the member's data centre was taken out."""
        return member.data_centre in self.data_centres_out

    def targets(self, name: ServiceName) -> tuple[Member, ...]:
        """Returns the possible candidates of a service, ordered by id."""
        if name not in self._targets:
            chosen = (
                member
                for member in self.members.values()
                if member.service == name.service
                and member.team == name.team
                and member.state in CANDIDATE_STATES
                and not self.is_out(member)
            )
            self._targets[name] = tuple(
                sorted(chosen, key=lambda member: member.member_id),
            )
        return self._targets[name]

    def service_version(self, name: ServiceName) -> int:
        """Returns a digest of the service's candidates and where they are."""
        if name not in self._versions:
            lines = ','.join(
                f'{member.member_id}@{member.endpoint}'
                for member in self.targets(name)
            )
            self._versions[name] = xxh3_64_intdigest(lines.encode())
        return self._versions[name]
