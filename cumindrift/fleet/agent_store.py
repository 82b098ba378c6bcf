"""What an agent writes to the store: its entry and its flow record."""

from collections.abc import Callable
from typing import Any

from cumindrift.fleet.announcer import Announcer
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.kind import AGENT_KIND, RECORD_KIND, log_unreadable
from cumindrift.fleet.recorder import (
    FlowRecord,
    FlowRecorder,
    decode_record,
)
from cumindrift.outcome import Refused


def announce_agent(context: NodeContext, service: str) -> None:
    """Registers this agent and its service in the store."""
    settings = context.settings
    if context.announcer is None:
        context.announcer = Announcer(
            AGENT_KIND,
            settings.name,
            context.random,
        )
    context.announcer.set_desired(
        {
            'ip': settings.ip,
            'data_centre': settings.data_centre,
            'service': service,
        }
    )


def record_flows(
    context: NodeContext,
    on_record: Callable[[FlowRecord], None],
    build_record: Callable[[float], FlowRecord],
) -> None:
    """Sets up the agent's flow record in the store.

    `on_record` gets the record of an earlier process, `build_record` returns
    the current one.
    """

    def on_content(content: Any) -> None:
        outcome = decode_record(content)
        if isinstance(outcome, Refused):
            name = context.settings.name
            log_unreadable(context, RECORD_KIND, name, outcome)
        else:
            on_record(outcome.content)

    context.recorder = FlowRecorder(
        RECORD_KIND,
        context.settings.name,
        context.random,
        on_content,
        lambda: build_record(context.clock()),
        has_read=context.is_first_start,
    )
