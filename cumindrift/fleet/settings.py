"""The settings of a node, as its settings file gives them."""

from attrs import define

from cumindrift.address import Endpoint

# Every node serves /metrics on this port, balancers also /beliefs for peers
# and /placement for operators.
METRICS_PORT = 9102


@define(frozen=True, slots=True, eq=False, repr=False)
class NodeBounds:
    """Times and limits that the platform sets for a node."""

    stop_within_s: float = 6.0
    flow_lifetime_s: float = 60.0
    # An address is not reused for this long after its target has ended.
    address_reuse_s: float = 2.0
    # A cold (recently started) target accepts new flows at the cold rate of
    # its service times the factor, plus the slack.
    cold_rate_factor: float = 1.5
    cold_rate_slack: float = 5.0
    # An evacuation is in force this long after the store has accepted it.
    evacuation_delay_s: float = 5.0
    # A manifest is in force this long after the store has accepted it.
    manifest_delay_s: float = 3.0


@define(frozen=True, slots=True, eq=False, repr=False)
class TargetEndpoints:
    """An agent's target, and the endpoints that it uses on the agent."""

    service: str
    packets: Endpoint
    outbound: Endpoint
    heartbeats: Endpoint


@define(frozen=True, slots=True, eq=False, repr=False)
class NodeSettings:
    """The settings of one process on the users' platform.

    On a balancer, `packets` receives packets from the routers; clients
    receive on the same port. `peer` receives messages of other nodes. If
    `judges_targets` is set, the health that targets report may be wrong, so
    nodes judge targets by what they do.
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
    judges_targets: bool = False
