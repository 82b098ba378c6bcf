"""The agent's station: its target, its flows, its word to balancers."""

from typing import Any

from attrs import define

from cumindrift.steering.agent.flow import FlowTable
from cumindrift.steering.agent.target import TargetState
from cumindrift.steering.frame import NO_FLOW, FrameKind, Load, News
from cumindrift.steering.station import Station


@define(slots=True, eq=False, repr=False)
class AgentStation(Station):
    """What the parts of an agent's core share."""

    service: str
    target: TargetState
    table: FlowTable
    # The newest manifest that a balancer acted by.
    manifest_version: int = 0

    def service_of(self, fields: dict[str, Any]) -> str:
        """Returns the service of the agent's target."""
        return self.service

    def tell(
        self,
        ip: str,
        kind: FrameKind,
        key: bytes = NO_FLOW,
        octets: bytes = b'',
        *,
        is_certain: bool = False,
    ) -> None:
        """Sends news, with the load, to a balancer.

        `is_certain` when the target itself just said so.
        """
        if not ip:
            return
        load = Load(
            self.table.open_count,
            self.table.busy_count,
            self.table.response_ms,
            self.target.slots,
        )
        news = News(
            kind,
            key,
            self.target.incarnation,
            self.manifest_version,
            self.target.is_sure or is_certain,
            load,
            octets,
        )
        self.outlet.tell(ip, news)

    def beat_age_s(self) -> float:
        """Returns how old the target's last heartbeat is."""
        return round(self.events.clock() - self.target.beat_s, 3)
