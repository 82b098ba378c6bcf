"""Builds events of nodes' logs."""

from typing import Any

# The wall clock of all nodes at their time 0.
WALL_CLOCK_S = 1_000_000
# How much the steady clock of other nodes is ahead of front-1's.
STEADY_OFFSET_S = 500


def event_of(
    at_s: float, node: str, event: str, **fields: Any
) -> dict[str, Any]:
    """Returns an event, with the clocks of its node."""
    return {
        'time': WALL_CLOCK_S + at_s,
        'up_s': at_s if node == 'front-1' else at_s + STEADY_OFFSET_S,
        'node': node,
        'event': event,
        **fields,
    }
