"""The manifest: which service gets the new flows of a route."""

from attrs import define, field

from cumindrift.address import Endpoint


@define(frozen=True, slots=True, eq=False, repr=False)
class WeightedService:
    """One service of a route and its weight among the others."""

    service: str
    weight: float = 1.0


@define(frozen=True, slots=True)
class RequestLimits:
    """What operators say of the requests on a route.

    Attributes:
        time_limit_s: A client waits no longer than this for a response.
        target_latency_s: A response that takes longer is late.
        priority: Requests with a lower number are served first.
        is_idempotent: The requests may run more than once.
    """

    time_limit_s: float = 2.0
    target_latency_s: float = 0.5
    priority: int = 0
    is_idempotent: bool = False

    @property
    def open_budget_s(self) -> float:
        """Returns how long a new flow may wait for a target.

        What is left of the time limit is for the request itself.
        """
        left_s = self.time_limit_s - self.target_latency_s
        return max(left_s, self.time_limit_s / 2)


DEFAULT_LIMITS = RequestLimits()


@define(frozen=True, slots=True, eq=False, repr=False)
class Manifest:
    """One version of the operators' routing, by service address."""

    version: int = 0
    routes: dict[Endpoint, tuple[WeightedService, ...]] = field(factory=dict)
    # New flows per second that a cold (recently started) target accepts, by
    # service; no limit if absent.
    cold_rates: dict[str, float] = field(factory=dict)
    idle_timeout_s: float = 15.0
    limits: dict[Endpoint, RequestLimits] = field(factory=dict)

    def services_at(self, address: Endpoint) -> tuple[WeightedService, ...]:
        """Returns the services at an address; empty without a route."""
        return self.routes.get(address, ())

    def limits_at(self, address: Endpoint) -> RequestLimits:
        """Returns the limits of the requests at an address."""
        return self.limits.get(address, DEFAULT_LIMITS)


def pick_service(
    shares: tuple[WeightedService, ...], draw: float
) -> str | None:
    """Returns the service chosen by weight; `draw` is from 0 to 1."""
    total = sum(share.weight for share in shares)
    if total <= 0:
        return None
    left = draw * total
    for share in shares:
        left -= share.weight
        if left < 0:
            return share.service
    return shares[-1].service


def fractions_of(shares: tuple[WeightedService, ...]) -> list[float]:
    """Returns the fraction of the new flows that each service gets.

    Without any weight, the first service gets all.
    """
    total = sum(share.weight for share in shares)
    if total <= 0:
        return [float(share is shares[0]) for share in shares]
    return [share.weight / total for share in shares]
