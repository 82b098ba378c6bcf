"""The manifest: which service gets the new flows of a route."""

from attrs import define, field

from cumindrift.address import Endpoint


@define(frozen=True, slots=True, eq=False, repr=False)
class WeightedService:
    """One service of a route and its weight among the others."""

    service: str
    weight: float = 1.0


@define(frozen=True, slots=True, eq=False, repr=False)
class Manifest:
    """One version of the operators' routing, by service address."""

    version: int = 0
    routes: dict[Endpoint, tuple[WeightedService, ...]] = field(factory=dict)
    # New flows per second that a cold (recently started) target accepts, by
    # service; no limit if absent.
    cold_rates: dict[str, float] = field(factory=dict)
    idle_timeout_s: float = 15.0

    def services_at(self, address: Endpoint) -> tuple[WeightedService, ...]:
        """Returns the services at an address; empty without a route."""
        return self.routes.get(address, ())


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
