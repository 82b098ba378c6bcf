"""The state that the parts of a core share."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.event import EventLog
from cumindrift.metric import FLOW_DECISIONS


@define(slots=True, eq=False, repr=False)
class CoreState:
    """The state that the parts of one core share.

    `output` performs the I/O that they request, as declared in
    `cumindrift/steering/output.py`. The role's peer port sets it to itself.
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
        """Counts a dropped packet."""
        FLOW_DECISIONS.labels(code.name, self.service_of({})).inc()

    def service_of(self, fields: dict[str, Any]) -> str:
        """Returns the service under which a decision is counted."""
        return str(fields.get('service', ''))
