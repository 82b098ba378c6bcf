"""An agent with its target in virtual time, and ground truth to check it."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

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
    caller_messages,
)
from cumindrift.caller.response import Response
from cumindrift.code import ResultCode
from cumindrift.outcome import Done, NotRun, Outcome
from cumindrift.registry import Registry
from cumindrift.traffic.admission import AdmissionController
from cumindrift.traffic.ledger import (
    ENTRIES_MAX,
    ENTRY_RETENTION_S,
    Ledger,
    generate_incarnation,
)
from cumindrift.traffic.ledger_image import export_ledger, import_ledger
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
from cumindrift.traffic.request_queue import QUEUE_MAX
from cumindrift.wire import decode_frame, encode_frame
from lab.network import VirtualNetwork
from standin.model import WorkModel

AGENT_TICK_S = 0.01
CHUNK_BYTES = 8192
STATUS_DONE = 200
STATUS_SHED = 503


@define(frozen=True, slots=True)
class Datagram:
    """A datagram between a caller and an agent."""

    sender: Endpoint
    payload: bytes


@define(slots=True, eq=False)
class GroundTruth:
    """Counts what targets ran and what callers were told.

    No single process knows both; the run compares them.
    """

    run_counts: Counter[bytes] = field(factory=Counter)
    outcomes: Counter[str] = field(factory=Counter)
    # Requests reported as not run; a later run of one makes that false.
    reported_not_run: set[bytes] = field(factory=set)
    finished_count: int = 0
    corrupt_response_count: int = 0
    false_not_run_count: int = 0
    service_time_s: float = 0.0

    def record_run(self, request_id: bytes) -> None:
        """Records that a target started a request."""
        self.run_counts[request_id] += 1
        self.false_not_run_count += request_id in self.reported_not_run

    def record_outcome(
        self, request_id: bytes, size: int, outcome: Outcome
    ) -> None:
        """Records the outcome that a caller got, and checks it."""
        self.outcomes[outcome.code.name] += 1
        if isinstance(outcome, NotRun):
            self.reported_not_run.add(request_id)
            self.false_not_run_count += self.run_counts[request_id] > 0
        elif isinstance(outcome, Done):
            response: Response = outcome.content
            is_correct = response.body == expected_body(request_id, size)
            self.corrupt_response_count += not is_correct

    @property
    def duplicate_run_count(self) -> int:
        """The number of requests that ran more than once."""
        return sum(1 for count in self.run_counts.values() if count > 1)


def expected_body(request_id: bytes, size: int) -> bytes:
    """Returns the only correct response body of a request."""
    return (request_id * (size // len(request_id) + 1))[:size]


@define(slots=True, eq=False)
class RunningRequest:
    """A request at a target and the rest of its response.

    `unsent_body` is None until the target has finished the request.
    """

    request: Request
    started_s: float
    unsent_body: bytes | None = None
    is_paused: bool = False


@define(slots=True, eq=False)
class VirtualAgent:
    """A request core with its target and the requests that run there."""

    endpoint: Endpoint
    network: VirtualNetwork
    random: Random
    ground_truth: GroundTruth
    model: WorkModel
    work_s: Callable[[], float]
    checks_deadlines: bool = True
    queue_max: int = QUEUE_MAX
    retention_s: float = ENTRY_RETENTION_S
    entries_max: int = ENTRIES_MAX
    incarnation: int = 0
    flows: set[Endpoint] = field(factory=set)
    core: RequestCore | None = None
    is_unreachable: bool = False
    is_handing_over: bool = False
    _running: dict[bytes, RunningRequest] = field(factory=dict)

    def start(self, ledger_image: bytes = b'') -> None:
        """Starts a new incarnation, which imports a ledger if one is given."""
        self.incarnation = generate_incarnation(self.random)
        admission = AdmissionController(self.model.slots, self.random)
        ledger = Ledger(self.incarnation, self.retention_s, self.entries_max)
        self.core = RequestCore(
            ledger,
            admission,
            self.random,
            self.checks_deadlines,
            self.queue_max,
        )
        self.is_handing_over = False
        if ledger_image:
            import_ledger(ledger, ledger_image, self.network.now_s)

    def kill(self) -> None:
        """Ends the process at once, which stops its running requests."""
        self.core = None
        for request_id in list(self._running):
            self._stop(request_id)

    def stop(self) -> None:
        """Starts a planned stop."""
        self._perform(self.core.stop(self.network.now_s))

    def hand_over(self) -> bytes:
        """Ends the process after a planned stop; returns its ledger image."""
        ledger_image = export_ledger(self.core.ledger, self.network.now_s)
        self.core = None
        self.is_handing_over = True
        return ledger_image

    def kill_target(self) -> None:
        """Restarts the target cold; its running requests are aborted."""
        now_s = self.network.now_s
        for request_id in list(self._running):
            self._abort(request_id)
        self.model.turn_cold(now_s)

    def receive(self, datagram: Datagram, now_s: float) -> None:
        """Handles a datagram from a caller."""
        if self.core is None:
            return
        message = decode_frame(datagram.payload)
        if isinstance(message, Open):
            self._open(datagram.sender, now_s)
        elif datagram.sender in self.flows:
            handler = message_handlers.get(type(message).__name__)
            actions = handler(self.core, message, datagram.sender, now_s)
            self._perform(actions)
        elif isinstance(message, Request):
            verdict = Verdict(message.request_id, ResultCode.FLOW_LOST)
            self._send(datagram.sender, verdict)

    def tick(self) -> None:
        """Advances the target's work and the core's timers."""
        now_s = self.network.now_s
        for key in self.model.advance(now_s):
            self._start_response(bytes.fromhex(key), now_s)
        while self.model.aborted_keys:
            self._abort(bytes.fromhex(self.model.aborted_keys.pop()))
        for request_id, running in list(self._running.items()):
            if running.unsent_body is not None and not running.is_paused:
                self._send_chunk(running, request_id, now_s)
        if self.core is not None:
            self._perform(self.core.tick(now_s))

    def _open(self, sender: Endpoint, now_s: float) -> None:
        self.flows.add(sender)
        reply = OpenReply(
            ResultCode.DONE,
            self.incarnation,
            str(self.endpoint),
            int(now_s * MS_PER_S),
        )
        self._send(sender, reply)

    def _abort(self, request_id: bytes) -> None:
        self._stop(request_id)
        now_s = self.network.now_s
        if self.core is not None:
            self._perform(
                self.core.on_failure(request_id, now_s, was_sent=True),
            )

    def _perform(self, actions: list[RequestAction]) -> None:
        for action in actions:
            if isinstance(action, Reply):
                self._send(action.caller, action.message)
            else:
                self._perform_on_target(action)

    def _perform_on_target(self, action: RequestAction) -> None:
        if isinstance(action, Run):
            self._run(action)
        elif isinstance(action, Stop):
            self._stop(action.request_id)
        elif not isinstance(action, Ended):
            self._set_paused(action)

    def _set_paused(self, action: Pause | Resume) -> None:
        running = self._running.get(action.request_id)
        if running is not None:
            running.is_paused = isinstance(action, Pause)

    def _run(self, action: Run) -> None:
        # Connecting is asynchronous: the core must not be called back from
        # within its own call.
        self.network.at(self.network.now_s, lambda: self._connect(action))

    def _connect(self, action: Run) -> None:
        now_s = self.network.now_s
        request_id = action.request.request_id
        if self.core is None:
            return
        if self.is_unreachable:
            self._perform(
                self.core.on_failure(request_id, now_s, was_sent=False),
            )
        elif self.model.start(request_id.hex(), self.work_s(), now_s):
            self.ground_truth.record_run(request_id)
            self._running[request_id] = RunningRequest(action.request, now_s)
        else:
            self._perform(self.core.on_head(request_id, STATUS_SHED, now_s))

    def _stop(self, request_id: bytes) -> None:
        self.model.stop(request_id.hex())
        self._running.pop(request_id, None)

    def _start_response(self, request_id: bytes, now_s: float) -> None:
        running = self._running.get(request_id)
        if running is None or self.core is None:
            return
        self.ground_truth.finished_count += 1
        self.ground_truth.service_time_s += now_s - running.started_s
        size = int(running.request.path)
        running.unsent_body = expected_body(request_id, size)
        self._perform(self.core.on_head(request_id, STATUS_DONE, now_s))

    def _send_chunk(
        self,
        running: RunningRequest,
        request_id: bytes,
        now_s: float,
    ) -> None:
        body = running.unsent_body[:CHUNK_BYTES]
        running.unsent_body = running.unsent_body[CHUNK_BYTES:]
        self._perform(self.core.on_body(request_id, body))
        if not running.unsent_body:
            self._running.pop(request_id)
            self._perform(self.core.on_end(request_id, now_s))

    def _send(self, peer: Endpoint, message: Any) -> None:
        frame = encode_frame(caller_messages, message)
        datagram = Datagram(self.endpoint, frame)
        self.network.send(self.endpoint, peer, datagram)


MessageHandler = Callable[
    [RequestCore, Any, Endpoint, float],
    list[RequestAction],
]
message_handlers: Registry[MessageHandler] = Registry('caller message handler')


@message_handlers.register('Request')
def _handle_request(
    core: RequestCore, message: Request, peer: Endpoint, now_s: float
) -> list[RequestAction]:
    return core.on_request(message, peer, now_s)


@message_handlers.register('PartAsk')
def _handle_part_ask(
    core: RequestCore, message: PartAsk, peer: Endpoint, now_s: float
) -> list[RequestAction]:
    return core.on_part_ask(message, peer, now_s)


@message_handlers.register('Cancel')
def _handle_cancel(
    core: RequestCore, message: Cancel, peer: Endpoint, now_s: float
) -> list[RequestAction]:
    return core.on_cancel(message, peer, now_s)


@message_handlers.register('Acknowledge')
def _handle_acknowledge(
    core: RequestCore, message: Acknowledge, _peer: Endpoint, _now_s: float
) -> list[RequestAction]:
    core.on_acknowledge(message)
    return []


@message_handlers.register('CloseFlow')
def _handle_close(
    _core: RequestCore, _message: CloseFlow, _peer: Endpoint, _now_s: float
) -> list[RequestAction]:
    return []
