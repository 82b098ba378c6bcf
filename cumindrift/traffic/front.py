"""Front ends at the agent: what is done with a packet of a held flow."""

from typing import Any, Protocol

from attrs import define, field
from loguru import logger

from cumindrift.address import Endpoint
from cumindrift.caller.message import (
    Acknowledge,
    Cancel,
    CloseFlow,
    Open,
    OpenReply,
    PartAsk,
    Request,
    Verdict,
)
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.metric import (
    DROPS,
    QUEUE_SECONDS,
    REQUEST_OUTCOMES,
    REQUEST_SECONDS,
)
from cumindrift.outcome import Dropped
from cumindrift.registry import Registry
from cumindrift.traffic.admission import Admission
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.packet import read_packet
from cumindrift.traffic.request import (
    Reply,
    RequestAction,
    RequestCore,
    Run,
    Stop,
)
from cumindrift.traffic.target import TargetLink
from cumindrift.wire import WireError, decode_frame, encode_frame, families


class FrontEnd(Protocol):
    """What every front end at the agent can do."""

    def deliver(self, flow_key: bytes, packet: bytes, now_s: float) -> None:
        """Takes a packet of a flow that this agent holds."""

    def refuse(self, packet: bytes, code: ResultCode) -> None:
        """Tells the sender of a packet that it is not served."""

    def tick(self, now_s: float) -> None:
        """Lets time pass."""


fronts: Registry[Any] = Registry('front end')


@fronts.register('packets')
@define(slots=True)
class PacketsFront:
    """Hands packets to the target as they are, over loopback."""

    context: Context
    finder: FlowFinder

    def deliver(self, flow_key: bytes, packet: bytes, now_s: float) -> None:
        """Sends the packet to the target's packet port."""
        target = self.context.settings.target
        if target is not None:
            self.context.send_raw(Endpoint.parse(target.packets), packet)

    def refuse(self, packet: bytes, code: ResultCode) -> None:
        """Counts: a packet's sender finds out by its own protocol."""
        DROPS.labels(code.name).inc()

    def tick(self, now_s: float) -> None:
        """Has nothing to do."""


@fronts.register('requests')
@define(slots=True)
class RequestsFront:
    """Reads caller messages out of flows and drives the request core."""

    context: Context
    finder: FlowFinder
    core: RequestCore = field(init=False)
    link: TargetLink | None = None

    def __attrs_post_init__(self) -> None:
        """Builds the core for the target's slots."""
        target = self.context.settings.target
        self.core = RequestCore(
            self.context.me.incarnation,
            Admission(target.slots if target else 1),
        )

    def deliver(self, flow_key: bytes, packet: bytes, now_s: float) -> None:
        """Decodes one caller message and acts on it."""
        inner = read_packet(packet)
        if isinstance(inner, Dropped):
            DROPS.labels(inner.code.name).inc()
            return
        try:
            message = decode_frame(inner.payload)
        except WireError as error:
            DROPS.labels(ResultCode.MESSAGE_MALFORMED.name).inc()
            logger.debug('a caller message cannot be decoded: {}', error)
            return
        if isinstance(message, Open):
            self._reply_open(inner.source, ResultCode.DONE)
        elif isinstance(message, CloseFlow):
            self.finder.close(flow_key, now_s)
        else:
            self._perform(self._ask_core(message, inner.source, now_s))

    def refuse(self, packet: bytes, code: ResultCode) -> None:
        """Answers an open or a request with the code."""
        inner = read_packet(packet)
        if isinstance(inner, Dropped):
            return
        try:
            message = decode_frame(inner.payload)
        except WireError:
            return
        if isinstance(message, Open):
            self._reply_open(inner.source, code)
        elif isinstance(message, Request):
            self._send(inner.source, Verdict(message.request_id, code, 0))

    def tick(self, now_s: float) -> None:
        """Lets the core refuse and stop what is out of time."""
        self._perform(self.core.tick(now_s))

    def on_body(self, request_id: bytes, status: int, body: bytes) -> None:
        """Takes a piece of an answer from the target link."""
        self._perform(self.core.on_body(request_id, status, body))

    def on_end(self, request_id: bytes) -> None:
        """Takes the end of an answer from the target link."""
        now_s = self.context.clock()
        self._perform(self.core.on_end(request_id, now_s))
        entry = self.core.ledger.entries[request_id]
        team, service = self.context.me.team, self.context.me.service
        REQUEST_SECONDS.labels(team, service).observe(
            now_s - entry.admitted_s,
        )
        QUEUE_SECONDS.labels(team, service).observe(
            entry.started_s - entry.admitted_s,
        )
        REQUEST_OUTCOMES.labels(team, service, ResultCode.DONE.name).inc()

    def on_failure(self, request_id: bytes, *, was_sent: bool) -> None:
        """Takes a broken answer from the target link."""
        now_s = self.context.clock()
        self._perform(
            self.core.on_failure(request_id, now_s, was_sent=was_sent),
        )

    def _ask_core(
        self,
        message: Any,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        if isinstance(message, Request):
            return self.core.on_request(message, caller, now_s)
        if isinstance(message, PartAsk):
            return self.core.on_part_ask(message, caller)
        if isinstance(message, Cancel):
            return self.core.on_cancel(message, caller, now_s)
        if isinstance(message, Acknowledge):
            self.core.on_acknowledge(message)
        return []

    def _perform(self, actions: list[RequestAction]) -> None:
        for action in actions:
            if isinstance(action, Reply):
                self._send(action.caller, action.message)
                self._count(action.message)
            else:
                self._drive_link(action)

    def _drive_link(self, action: Run | Stop) -> None:
        if self.link is None:
            return
        if isinstance(action, Run):
            self.link.run_request(action.request, action.remaining_s)
        else:
            self.link.stop_request(action.request_id)

    def _count(self, message: Any) -> None:
        if isinstance(message, Verdict):
            REQUEST_OUTCOMES.labels(
                self.context.me.team,
                self.context.me.service,
                ResultCode(message.code).name,
            ).inc()

    def _reply_open(self, caller: Endpoint, code: ResultCode) -> None:
        me = self.context.me
        self._send(caller, OpenReply(code, me.incarnation, me.name))

    def _send(self, caller: Endpoint, message: Any) -> None:
        family = next(
            family
            for family in families.values()
            if family.carries(type(message))
        )
        self.context.send_raw(caller, encode_frame(family, message))
