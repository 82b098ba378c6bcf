"""Kinds of store objects that this system writes itself."""

from cumindrift.fleet.context import NodeContext
from cumindrift.outcome import Refused

# An agent's entry, and the record of its flows.
AGENT_KIND = 'cumindrift-agents'
RECORD_KIND = 'cumindrift-flows'


def log_unreadable(
    context: NodeContext,
    kind: str,
    name: str,
    refused: Refused,
) -> None:
    """Logs a store object that cannot be parsed."""
    context.events.note(
        'object-unreadable',
        kind=kind,
        name=name,
        code=int(refused.code),
        detail=refused.detail,
    )
