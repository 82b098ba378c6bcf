"""Front ends at the agent: they process the packets of its flows."""

from collections.abc import Callable
from typing import Any, Protocol

from attrs import define, field
from loguru import logger

from cumindrift.address import Endpoint
from cumindrift.caller.message import (
    MS_PER_S,
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
    GOODPUT,
    QUEUE_SECONDS,
    REQUEST_OUTCOMES,
    REQUEST_SECONDS,
    REQUESTS_RECEIVED,
    SERVICE_SECONDS,
)
from cumindrift.outcome import Dropped, Outcome
from cumindrift.registry import Registry
from cumindrift.traffic.admission import AdmissionController
from cumindrift.traffic.finder import FlowFinder
from cumindrift.traffic.ledger import Entry, Ledger, generate_incarnation
from cumindrift.traffic.ledger_image import export_ledger, import_ledger
from cumindrift.traffic.packet import read_packet
from cumindrift.traffic.request import RequestCore
from cumindrift.traffic.request_action import (
    Ended,
    Pause,
    Reply,
    RequestAction,
    Resume,
    Run,
    Stop,
)
from cumindrift.traffic.target import TargetLink
from cumindrift.wire import WireError, decode_frame, encode_message


class FrontEnd(Protocol):
    """Interface of the front ends; a service selects one by name."""

    def deliver(self, flow_key: bytes, packet: bytes, now_s: float) -> None:
        """Processes a packet of a flow that this agent holds."""

    def refuse(self, packet: bytes, code: ResultCode) -> None:
        """Refuses a packet, with a reply if the protocol has one."""

    def abort_all(self, now_s: float) -> None:
        """Aborts all work because the data centre was taken out."""

    def tick(self, now_s: float) -> None:
        """Handles timeouts; called periodically."""


front_ends: Registry[Any] = Registry('front end')


@front_ends.register('packets')
@define(slots=True)
class PacketFrontEnd:
    """Forwards packets unchanged to the target over loopback."""

    context: Context
    finder: FlowFinder

    def deliver(self, flow_key: bytes, packet: bytes, now_s: float) -> None:
        """Sends the packet to the target's packet port."""
        target = self.context.settings.target
        if target is not None:
            self.context.send_raw(Endpoint.parse(target.packets), packet)

    def refuse(self, packet: bytes, code: ResultCode) -> None:
        """Counts the packet as dropped.

        Plain packets have no reply; the sender's own protocol detects the
        loss.
        """
        DROPS.labels(code.name).inc()

    def abort_all(self, now_s: float) -> None:
        """Does nothing: this front end queues no packets."""

    def tick(self, now_s: float) -> None:
        """Does nothing."""


@front_ends.register('requests')
@define(slots=True)
class RequestFrontEnd:
    """Decodes caller messages and passes them to the request core."""

    context: Context
    finder: FlowFinder
    core: RequestCore = field(init=False)
    link: TargetLink | None = None

    def __attrs_post_init__(self) -> None:
        """Builds the request core for the target's number of slots."""
        target = self.context.settings.target
        random = self.context.random
        self.core = RequestCore(
            Ledger(generate_incarnation(random)),
            AdmissionController(target.slots if target else 1, random),
            random,
        )
        self.context.stop_steps.append(self.stop)

    def deliver(self, flow_key: bytes, packet: bytes, now_s: float) -> None:
        """Decodes a caller message and processes it."""
        inner = read_packet(packet)
        if isinstance(inner, Dropped):
            DROPS.labels(inner.code.name).inc()
            return
        try:
            message = decode_frame(inner.payload)
        except WireError as error:
            DROPS.labels(ResultCode.MESSAGE_MALFORMED.name).inc()
            logger.debug('cannot decode a caller message: {}', error)
            return
        if isinstance(message, Open):
            self._reply_open(inner.source, ResultCode.DONE)
        elif isinstance(message, CloseFlow):
            self.finder.close(flow_key, now_s)
        else:
            self._perform(self._dispatch(message, inner.source, now_s))

    def refuse(self, packet: bytes, code: ResultCode) -> None:
        """Replies to an open or a request with the code."""
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
            # The ledger of this process doesn't know the id, and this may be
            # a misrouted copy of a request that runs elsewhere. So the reply
            # must not claim that the request was not run.
            verdict = Verdict(message.request_id, ResultCode.FLOW_LOST)
            self._send(inner.source, verdict)

    def stop(self, now_s: float) -> bool:
        """Refuses new requests; True once all responses are delivered."""
        self._perform(self.core.stop(now_s))
        return self.core.has_stopped(now_s)

    def abort_all(self, now_s: float) -> None:
        """Aborts all requests because the data centre was taken out."""
        self._perform(self.core.abort_all(now_s))

    def export_ledger(self, now_s: float) -> bytes:
        """Returns the ledger for a handover; later messages are ignored."""
        return export_ledger(self.core.ledger, now_s)

    def import_ledger(self, octets: bytes, now_s: float) -> Outcome:
        """Imports the ledger of an agent after its planned restart."""
        return import_ledger(self.core.ledger, octets, now_s)

    def tick(self, now_s: float) -> None:
        """Lets the core refuse and abort requests past their deadline."""
        self._perform(self.core.tick(now_s))

    def on_head(self, request_id: bytes, status: int) -> None:
        """Passes the status of a response from the target to the core."""
        now_s = self.context.clock()
        self._perform(self.core.on_head(request_id, status, now_s))

    def on_body(self, request_id: bytes, body: bytes) -> None:
        """Passes a piece of a response body to the core."""
        self._perform(self.core.on_body(request_id, body))

    def on_end(self, request_id: bytes) -> None:
        """Passes the end of a response to the core."""
        now_s = self.context.clock()
        self._perform(self.core.on_end(request_id, now_s))

    def on_failure(self, request_id: bytes, *, was_sent: bool) -> None:
        """Passes the failure of a request at the target to the core."""
        now_s = self.context.clock()
        self._perform(
            self.core.on_failure(request_id, now_s, was_sent=was_sent),
        )

    def _dispatch(
        self,
        message: Any,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        if isinstance(message, Request):
            self._count_request(message)
            return self.core.on_request(message, caller, now_s)
        if isinstance(message, PartAsk):
            return self.core.on_part_ask(message, caller, now_s)
        if isinstance(message, Cancel):
            return self.core.on_cancel(message, caller, now_s)
        if isinstance(message, Acknowledge):
            self.core.on_acknowledge(message)
        return []

    def _perform(self, actions: list[RequestAction]) -> None:
        for action in actions:
            if isinstance(action, Reply):
                self._send(action.caller, action.message)
            elif isinstance(action, Ended):
                self._record_metrics(action.entry)
            elif self.link is not None:
                link_action_handlers.get(type(action).__name__)(
                    self.link, action
                )

    def _labels(self) -> tuple[str, str]:
        return self.context.me.team, self.context.me.service

    def _count_request(self, request: Request) -> None:
        kind = 'retry' if request.attempt > 1 else 'first'
        if request.transmission > 1:
            kind = 'copy'
        REQUESTS_RECEIVED.labels(*self._labels(), kind).inc()

    def _record_metrics(self, entry: Entry) -> None:
        labels = self._labels()
        REQUEST_OUTCOMES.labels(*labels, entry.code.name).inc()
        started_s = entry.started_s
        waited_s = (started_s or entry.ended_s) - entry.admitted_s
        QUEUE_SECONDS.labels(*labels).observe(waited_s)
        if started_s is None:
            return
        SERVICE_SECONDS.labels(*labels).observe(entry.ended_s - started_s)
        if entry.code is ResultCode.DONE:
            whole_s = entry.ended_s - entry.admitted_s
            REQUEST_SECONDS.labels(*labels).observe(whole_s)
            if entry.ended_s <= entry.deadline_s:
                GOODPUT.labels(*labels).inc()

    def _reply_open(self, caller: Endpoint, code: ResultCode) -> None:
        me = self.context.me
        clock_ms = int(self.context.clock() * MS_PER_S)
        incarnation = self.core.ledger.incarnation
        reply = OpenReply(code, incarnation, me.name, clock_ms)
        self._send(caller, reply)

    def _send(self, caller: Endpoint, message: Any) -> None:
        self.context.send_raw(caller, encode_message(message))


link_action_handlers: Registry[Callable[[TargetLink, Any], None]] = Registry(
    'link action handler',
)


@link_action_handlers.register('Run')
def _run(link: TargetLink, action: Run) -> None:
    link.run_request(action.request, action.remaining_s)


@link_action_handlers.register('Stop')
def _stop(link: TargetLink, action: Stop) -> None:
    link.stop_request(action.request_id)


@link_action_handlers.register('Pause')
def _pause(link: TargetLink, action: Pause) -> None:
    link.pause_request(action.request_id)


@link_action_handlers.register('Resume')
def _resume(link: TargetLink, action: Resume) -> None:
    link.resume_request(action.request_id)
