"""The station: where a core stands, and its log."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.event import EventLog
from cumindrift.metric import FLOW_DECISIONS


@define(slots=True, eq=False, repr=False)
class CoreState:
    """What the parts of one core share.

    `outlet` does what they decide: see `cumindrift/steering/outlet.py`. The
    port of the role puts itself there.
    """

    ip: str
    describe_flow: Callable[[bytes], str]
    events: EventLog
    output: Any = field(default=None, kw_only=True)

    def log_decision(self, event: str, key: bytes, **fields: Any) -> None:
        """Counts and logs a decision about a flow."""
        FLOW_DECISIONS.labels(event, self.service_of(fields)).inc()
        self.events.note(event, flow=self.describe_flow(key), **fields)

    def count_drop(self, code: ResultCode) -> None:
        """Counts a packet that is dropped."""
        FLOW_DECISIONS.labels(code.name, self.service_of({})).inc()

    def service_of(self, fields: dict[str, Any]) -> str:
        """Returns the service that a decision is counted for."""
        return str(fields.get('service', ''))
