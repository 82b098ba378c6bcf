"""A heartbeat: what a target says of itself."""

from attrs import define

from cumindrift.address import Endpoint


@define(frozen=True, slots=True)
class Heartbeat:
    """What a target says of itself; `incarnation` is its start in Unix ms."""

    target_id: str
    service: str
    packets: Endpoint
    is_draining: bool
    slots: int
    cold_s: float
    sequence: int
    incarnation: int
