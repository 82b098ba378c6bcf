"""The agent's state: its target and flows. Also sends its reports."""

from typing import Any

from attrs import define, field

from cumindrift.metric import TARGET_EJECTIONS
from cumindrift.steering.agent.evacuation import EvacuationKnowledge
from cumindrift.steering.agent.failures import FailureHistory
from cumindrift.steering.agent.flow import FlowTable
from cumindrift.steering.agent.input_age import InputAge
from cumindrift.steering.agent.outlier import OutlierDetector
from cumindrift.steering.agent.room import RoomPolicy, room_policies
from cumindrift.steering.agent.target import TargetState
from cumindrift.steering.frame import (
    EJECTED_PERCENT,
    NO_FLOW,
    AgentReport,
    FrameKind,
    Load,
)
from cumindrift.steering.state import CoreState

# More balancers than this find out by themselves that a target serves.
UNSERVED_MAX = 64


@define(slots=True, eq=False, repr=False)
class AgentState(CoreState):
    """The state that the parts of an agent's core share."""

    service: str
    target: TargetState
    table: FlowTable
    # The newest manifest version that a balancer has used.
    manifest_version: int = 0
    evacuation: EvacuationKnowledge = field(factory=EvacuationKnowledge)
    input_age: InputAge = field(factory=InputAge)
    failures: FailureHistory = field(factory=FailureHistory)
    # Whether the agent judges its target by the outcomes of requests.
    judges_target: bool = False
    outlier: OutlierDetector = field(factory=OutlierDetector)
    room_policy: RoomPolicy = field(init=False)
    # The balancers whose flows found a target that could not serve.
    unserved_ips: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Chooses the policy by which new flows find room."""
        name = 'by-value' if self.judges_target else 'per-slot'
        self.room_policy = room_policies.get(name)()

    def service_of(self, fields: dict[str, Any]) -> str:
        """Returns the service of the agent's target."""
        return self.service

    def send_report(
        self,
        ip: str,
        kind: FrameKind,
        key: bytes = NO_FLOW,
        octets: bytes = b'',
        *,
        is_authoritative: bool = False,
    ) -> None:
        """Sends a report with the current load; does nothing if `ip` is empty.

        Set `is_authoritative` if the target itself has just rejected the
        packet.
        """
        if not ip:
            return
        now_s = self.events.clock()
        report = AgentReport(
            kind,
            key,
            self.target.incarnation,
            self.manifest_version,
            self.target.knows_all_flows or is_authoritative,
            self._load(now_s),
            octets,
            self.evacuation.newest.changed_as_of,
        )
        self.output.send_report(ip, report)

    def on_unable(self, origin_ip: str, now_s: float) -> None:
        """Remembers a balancer whose flow met a target that cannot serve."""
        is_unable = self.judges_target and not self.target.can_serve(now_s)
        if is_unable and len(self.unserved_ips) < UNSERVED_MAX:
            self.unserved_ips.add(origin_ip)

    def notify_unserved(self, now_s: float) -> None:
        """Tells these balancers when the target serves.

        They avoid the agent until then, and after a power loss all agents
        are without a target for a moment.
        """
        if self.unserved_ips and self.target.can_serve(now_s):
            for ip in sorted(self.unserved_ips):
                self.send_report(ip, FrameKind.PONG)
            self.unserved_ips.clear()

    def on_request_answered(self, now_s: float) -> None:
        """Records that the target answered a request."""
        if self.judges_target and self.outlier.on_success(now_s):
            self.events.note_urgently(
                'target-returned', ejections=self.outlier.ejection_count
            )

    def drop_stale_work(self, now_s: float) -> None:
        """Stops counting requests that nobody waits for any more."""
        for _ in range(self.table.work.drop_stale(now_s)):
            self.on_request_failed(now_s)

    def on_request_failed(self, now_s: float) -> None:
        """Records that the target reset or never answered a request.

        A target that leaves may break off what it cannot finish.
        """
        if not self.judges_target or self.target.is_leaving:
            return
        if self.outlier.on_failure(now_s):
            self.failures.add(now_s)
            TARGET_EJECTIONS.labels(self.service).inc()
            self.events.note_urgently(
                'target-ejected',
                ejections=self.outlier.ejection_count,
                ejected_s=self.outlier.ejection_s(),
                busy=self.table.work.count,
            )

    def _load(self, now_s: float) -> Load:
        work = self.table.work
        busy_count = work.count
        response_ms = work.response_ms(now_s)
        slots = self.target.slots
        if self.judges_target:
            busy_count += work.expected_count
            response_ms = work.service_ms(now_s)
            slots = slots if self.target.can_serve(now_s) else 0
        return Load(
            self.table.open_count,
            busy_count,
            response_ms,
            slots,
            self._failure_percent(now_s),
        )

    def _failure_percent(self, now_s: float) -> int:
        if self.outlier.is_ejected:
            return EJECTED_PERCENT
        return self.failures.penalty_percent(now_s)

    def log_evacuation(self, origin_ip: str) -> None:
        """Logs that this agent's data centre was evacuated or is in use."""
        self.events.note_urgently(
            'evacuation-heard',
            is_evacuated=self.evacuation.is_evacuated,
            evacuations=self.evacuation.newest.as_of,
            origin=origin_ip,
        )

    def heartbeat_age_s(self) -> float:
        """Returns the age of the target's last heartbeat."""
        return round(self.events.clock() - self.target.last_heartbeat_s, 3)
