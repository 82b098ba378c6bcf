"""What a node knows from its settings before it can reach anything else."""

from attrs import define

from cumindrift.address import Endpoint

# Every node serves metrics there, and balancers what peers read.
METRICS_PORT = 9102


@define(frozen=True, slots=True, eq=False, repr=False)
class NodeBounds:
    """How long the users allow things to take, and how long flows live."""

    stop_within_s: float = 6.0
    flow_lifetime_s: float = 60.0
    # An address serves nobody else for this long after its target ended.
    address_reuse_s: float = 2.0
    # A cold target bears its rate times the factor, plus the slack.
    cold_rate_factor: float = 1.5
    cold_rate_slack: float = 5.0


@define(frozen=True, slots=True, eq=False, repr=False)
class TargetEndpoints:
    """The target beside an agent, and where it reaches the agent."""

    service: str
    packets: Endpoint
    outbound: Endpoint
    heartbeats: Endpoint


@define(frozen=True, slots=True, eq=False, repr=False)
class NodeSettings:
    """One process on the users' platform.

    `packets` takes packets of the routers on a balancer; its port is also
    the one at which clients receive. `peer` takes what other nodes send.
    """

    role: str
    name: str
    ip: str
    data_centre: str
    packets: Endpoint
    readiness: Endpoint
    peer: Endpoint
    store: Endpoint
    seeds: tuple[str, ...]
    heartbeat_s: float
    bounds: NodeBounds
    target: TargetEndpoints | None = None
