"""The tree of settings: data centres, teams and their services."""

from attrs import define, field, validators

from cumindrift.address import Endpoint

_PORT_MAX = 65535
_PERCENT_MAX = 100.0


@define(frozen=True, slots=True)
class DataCentre:
    """A site with targets; shift supervisors set its `state`."""

    region: str
    state: str = field(default='in', validator=validators.in_(('in', 'out')))


@define(frozen=True, slots=True)
class Service:
    """Settings of a service, which callers reach at one address.

    Written by a team. `endpoints` is the planned number of targets in each
    data centre, and `peak_slots` the number of slots needed at peak load;
    the handover report compares both with the running targets. The targets
    named in `draining` get no new flows and keep those that they have.
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
    """Settings of one team."""

    services: dict[str, Service] = field(factory=dict)


@define(frozen=True, slots=True)
class Tree:
    """All settings that shift supervisors and teams write."""

    data_centres: dict[str, DataCentre] = field(factory=dict)
    teams: dict[str, Team] = field(factory=dict)

    def data_centres_out(self) -> frozenset[str]:
        """Returns the names of the data centres that are out of service."""
        return frozenset(
            name
            for name, data_centre in self.data_centres.items()
            if data_centre.state == 'out'
        )


@define(frozen=True, slots=True)
class Snapshot:
    """An accepted version of the tree; versions only go up."""

    version: int
    tree: Tree
