"""Policies that decide whether a target has room for another flow."""

from typing import Protocol

from attrs import define, field

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.registry import Registry

# While a target has this many requests per slot, new flows go to another
# target or wait at the balancer, since further requests would be late.
WORK_PER_SLOT = 2
# Beyond that, a target keeps this many places per slot for priorities that are
# more urgent than others.
RESERVED_PER_SLOT = 1
# How many refusals cease to count per second, so that the limit of the lower
# priorities recovers.
PRESSURE_DECAY_PER_S = 2.0
# A priority of which no flow was admitted for this long gets one place, so
# that more urgent ones never exclude it for good.
STARVED_AFTER_S = 1.0


@define(frozen=True, slots=True, eq=False, repr=False)
class Room:
    """What a policy knows when a flow asks for room.

    Attributes:
        slots: How many requests the target processes at once.
        busy_count: The requests in progress.
        opening_count: The SYNs that the target has not answered yet.
        expected_count: The flows whose first request has not come yet,
            which includes those of `opening_count`.
        response_s: The expected time to the response of the new request.
        limits: The limits of the new flow's route.
    """

    slots: int
    busy_count: int
    opening_count: int
    expected_count: int
    response_s: float
    limits: RequestLimits


class RoomPolicy(Protocol):
    """Decides which flows a target has room for."""

    def admits(self, room: Room, now_s: float) -> bool:
        """Returns whether the target has room for the flow that asks."""

    def record(self, room: Room, *, is_admitted: bool, now_s: float) -> None:
        """Records what became of the flow that asked."""


room_policies: Registry[type[RoomPolicy]] = Registry('room policy')


@room_policies.register('per-slot')
class PerSlotPolicy:
    """Admits up to a number of requests per slot, whatever their priority."""

    def admits(self, room: Room, now_s: float) -> bool:
        """Returns whether the target has fewer requests than its limit."""
        limit = room.slots * WORK_PER_SLOT
        return room.busy_count + room.opening_count < limit

    def record(self, room: Room, *, is_admitted: bool, now_s: float) -> None:
        """Does nothing: this policy depends on no earlier flow."""


@define(slots=True, eq=False, repr=False)
class PriorityPressure:
    """How often flows of one priority found no room lately."""

    refused_count: float = 0.0
    refused_s: float = 0.0
    admitted_s: float = 0.0

    def at(self, now_s: float) -> float:
        """Returns the refusals that still count."""
        expired_count = (now_s - self.refused_s) * PRESSURE_DECAY_PER_S
        return max(self.refused_count - expired_count, 0.0)

    def add(self, now_s: float, most: float) -> None:
        """Counts a refusal, up to `most`."""
        self.refused_count = min(self.at(now_s) + 1, most)
        self.refused_s = now_s


@room_policies.register('by-value')
@define(slots=True, eq=False, repr=False)
class ByValuePolicy:
    """Keeps room for urgent flows as long as they need it.

    Each urgent flow that finds no room takes one place away from the lower
    priorities, which get it back after a while. A free slot is never kept
    back: only the places where a request would wait for one are. A flow that
    would have to wait is admitted only if its response can be in time.
    """

    pressures: dict[int, PriorityPressure] = field(factory=dict)

    def admits(self, room: Room, now_s: float) -> bool:
        """Returns whether there is a place in which it can be in time."""
        busy_count = room.busy_count + room.expected_count
        if busy_count >= self._limit(room, now_s):
            return False
        has_slot = busy_count < room.slots
        return has_slot or room.response_s <= room.limits.target_latency_s

    def record(self, room: Room, *, is_admitted: bool, now_s: float) -> None:
        """Counts a refusal against the lower priorities."""
        own = self._pressure(room.limits.priority, now_s)
        if is_admitted:
            own.admitted_s = now_s
        else:
            own.add(now_s, room.slots)

    def limit_of(self, priority: int, slots: int, now_s: float) -> int:
        """Returns up to how many requests a priority is admitted."""
        pressure = max(
            (
                each.at(now_s)
                for urgent, each in self.pressures.items()
                if urgent < priority
            ),
            default=0.0,
        )
        limit = slots * WORK_PER_SLOT
        if priority < max(self.pressures, default=priority):
            limit += slots * RESERVED_PER_SLOT
        return max(limit - round(pressure), slots)

    def _pressure(self, priority: int, now_s: float) -> PriorityPressure:
        found = self.pressures.get(priority)
        if found is None:
            found = PriorityPressure(admitted_s=now_s)
            self.pressures[priority] = found
        return found

    def _limit(self, room: Room, now_s: float) -> int:
        priority = room.limits.priority
        own = self._pressure(priority, now_s)
        if now_s - own.admitted_s >= STARVED_AFTER_S:
            return room.slots * (WORK_PER_SLOT + RESERVED_PER_SLOT)
        return self.limit_of(priority, room.slots, now_s)
