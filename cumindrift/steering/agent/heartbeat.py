"""The heartbeat with which a target reports its state to its agent."""

from attrs import define

from cumindrift.address import Endpoint


@define(frozen=True, slots=True)
class Heartbeat:
    """A target's state; `incarnation` is its start time in Unix ms."""

    target_id: str
    service: str
    packets: Endpoint
    is_draining: bool
    slots: int
    cold_s: float
    sequence: int
    incarnation: int
