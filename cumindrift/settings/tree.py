"""The tree of settings: data centres, teams and their services."""

from attrs import define, field, validators

from cumindrift.address import Endpoint

_PORT_MAX = 65535
_PERCENT_MAX = 100.0


@define(frozen=True, slots=True)
class DataCentre:
    """A place where targets stand; shift supervisors set `state`."""

    region: str
    state: str = field(default='in', validator=validators.in_(('in', 'out')))


@define(frozen=True, slots=True)
class Service:
    """What callers reach behind one address; a team sets it.

    `endpoints` plans how many targets stand in each data centre, and
    `peak_slots` how many slots the service needs at its busiest; the
    handover report compares both with the targets that are there. The
    targets named in `draining` get no new flows; those they hold go on.
    """

    ip: str
    port: int = field(validator=[validators.ge(1), validators.le(_PORT_MAX)])
    protocol: str = field(
        default='udp',
        validator=validators.in_(('tcp', 'udp')),
    )
    front: str = 'requests'
    placement: str = 'lightest'
    retry_budget_percent: float = field(
        default=20.0,
        validator=[validators.ge(0), validators.le(_PERCENT_MAX)],
    )
    endpoints: dict[str, int] = field(
        factory=dict,
        validator=validators.deep_mapping(
            value_validator=validators.ge(0),
        ),
    )
    slots: int = field(default=4, validator=validators.ge(1))
    connections_max: int = field(default=2000, validator=validators.ge(1))
    peak_slots: int = field(default=0, validator=validators.ge(0))
    draining: tuple[str, ...] = ()

    def endpoint(self) -> Endpoint:
        """Returns the address that callers send to."""
        return Endpoint(self.ip, self.port)


@define(frozen=True, slots=True)
class Team:
    """One team's own subtree."""

    services: dict[str, Service] = field(factory=dict)


@define(frozen=True, slots=True)
class Tree:
    """All settings that supervisors and teams write."""

    data_centres: dict[str, DataCentre] = field(factory=dict)
    teams: dict[str, Team] = field(factory=dict)

    def data_centres_out(self) -> frozenset[str]:
        """Returns the names of the data centres that were taken out."""
        return frozenset(
            name
            for name, data_centre in self.data_centres.items()
            if data_centre.state == 'out'
        )


@define(frozen=True, slots=True)
class Snapshot:
    """One accepted version of the tree; versions only go up."""

    version: int
    tree: Tree
