"""An agent of a simulation of flows: its finder, attached to the network."""

from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.membership.member import Member
from cumindrift.registry import Registry
from cumindrift.traffic.action import Action, Refuse
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.message import (
    HandoverAck,
    HandoverPart,
    HandoverRequest,
    HolderRecord,
    OpenSearch,
    PacketKind,
    RecordAck,
    SteeredPacket,
)


@define(slots=True, eq=False)
class SimulatedAgent:
    """An agent's flow finder, attached to the virtual network."""

    member: Member
    finder: FlowFinder
    view_number: int = 0
    # Baseline with rendezvous hashing only: no search for the holder, so
    # packets of flows that are not held here are refused.
    is_hash_only: bool = False

    @property
    def endpoint(self) -> Endpoint:
        """Returns the agent's peer address."""
        return self.member.endpoint

    def receive(self, message: Any, now_s: float) -> list[Action]:
        """Passes a message to the finder; returns the resulting actions."""
        held = self.finder.table.held
        is_packet = self.is_hash_only and isinstance(message, SteeredPacket)
        if is_packet and message.route.flow_key not in held:
            return self._open_or_refuse(message, now_s)
        return message_handlers.get(type(message).__name__)(
            self.finder, message, now_s
        )

    def _open_or_refuse(
        self, steered: SteeredPacket, now_s: float
    ) -> list[Action]:
        if steered.kind is not PacketKind.WITHIN_OR_OPEN:
            return [Refuse(steered.packet, ResultCode.NO_SUCH_FLOW)]
        search = OpenSearch(
            steered.route,
            0,
            0,
            assigned=False,
            reports=(),
            packet=steered.packet,
            searched=True,
        )
        return self.finder.on_open(search, now_s)


message_handlers: Registry[Any] = Registry('message handler')
message_handlers.register(SteeredPacket.__name__)(FlowFinder.on_steered)
message_handlers.register(OpenSearch.__name__)(FlowFinder.on_open)
message_handlers.register(HolderRecord.__name__)(FlowFinder.on_record)
message_handlers.register(HandoverPart.__name__)(FlowFinder.on_part)


@message_handlers.register(RecordAck.__name__)
def _on_record_ack(finder: FlowFinder, ack: RecordAck, _now_s: float) -> Any:
    return finder.on_ack(ack)


@message_handlers.register(HandoverAck.__name__)
def _on_handover_ack(finder: FlowFinder, ack: Any, _now_s: float) -> Any:
    finder.handover.on_ack(ack)
    return []


@message_handlers.register(HandoverRequest.__name__)
def _on_handover_request(
    finder: FlowFinder, request: HandoverRequest, _now_s: float
) -> Any:
    return finder.handover.on_request(request)
