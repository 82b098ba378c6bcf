"""Builds sessions and service callers, driven by scripts."""

from random import Random

from attrs import define, field

from cumindrift.caller.budget import RetryBudget
from cumindrift.caller.message import (
    OpenReply,
    Part,
    Request,
    Verdict,
    caller_messages,
)
from cumindrift.caller.service import ServiceCaller
from cumindrift.caller.session import Session, make_request
from cumindrift.code import ResultCode
from cumindrift.outcome import NotRun, Unknown
from cumindrift.registry import Registry
from cumindrift.wire import decode_frame, encode_frame

INCARNATION = 77
# The agent's monotonic clock differs from the caller's.
CLOCK_MS = 900_000


@define(slots=True, eq=False)
class SessionBench:
    """A session with one request, driven by scripts."""

    session: Session = field(init=False)
    request: Request = field(init=False)
    now_s: float = 50.0
    outcomes: list = field(factory=list)
    sent: list = field(factory=list)

    def __attrs_post_init__(self):
        """Builds the session."""
        self.session = Session(
            Random(1),
            lambda _request_id, outcome: self.outcomes.append(outcome),
        )
        self.request = make_request(Random(2), 'POST', '/claims')

    def play(self, script):
        """Runs the steps of a script as ``request, opened, part 0, last 1``."""
        for step in script.split(','):
            word, *rest = step.split()
            payloads = script_steps.get(word)(self, *rest) or []
            self.sent.extend(decode_frame(payload) for payload in payloads)

    def receive(self, message):
        """Passes a message of an agent to the session."""
        return self.session.receive(
            encode_frame(caller_messages, message), self.now_s
        )

    def names(self):
        """Returns the class names of the messages sent."""
        return [type(message).__name__ for message in self.sent]


script_steps = Registry('step of session scripts')


@script_steps.register('request')
def _request(bench, within='10'):
    deadline_s = bench.now_s + float(within)
    return bench.session.request(bench.request, deadline_s, bench.now_s)


@script_steps.register('opened')
def _opened(bench, incarnation=INCARNATION):
    reply = OpenReply(100, int(incarnation), 'agent-1', CLOCK_MS)
    return bench.receive(reply)


@script_steps.register('refused')
def _refused(bench):
    return bench.receive(OpenReply(ResultCode.NO_ROOM, 0, '', 0))


@script_steps.register('part')
def _part(bench, number):
    body = f'<{number}>'.encode()
    part = Part(bench.request.request_id, int(number), False, 200, body)
    return bench.receive(part)


@script_steps.register('last')
def _last(bench, number):
    body = f'<{number}>'.encode()
    part = Part(bench.request.request_id, int(number), True, 200, body)
    return bench.receive(part)


@script_steps.register('verdict')
def _verdict(bench, name, part_number='0'):
    code = ResultCode[name]
    verdict = Verdict(bench.request.request_id, code, 0, int(part_number))
    return bench.receive(verdict)


@script_steps.register('unrelated')
def _unrelated(bench):
    other = make_request(Random(3), 'POST', '/claims')
    return bench.receive(Part(other.request_id, 0, True, 200, b'<x>'))


@script_steps.register('garbage')
def _garbage(bench):
    return bench.session.receive(b'\x03\xff\xff', bench.now_s)


@script_steps.register('cancel')
def _cancel(bench):
    return bench.session.cancel(bench.request.request_id)


@script_steps.register('wait')
def _wait(bench, seconds):
    bench.now_s += float(seconds)
    return bench.session.tick(bench.now_s)


@define(slots=True, eq=False)
class FakeFlow:
    """A flow whose agent gives every request the same outcome."""

    on_outcome: object
    outcome: object
    ids: list
    retry_after_s: float = 0.0
    is_refused: bool = False
    is_finished: bool = False

    def request(self, request, timeout_s):
        """Reports the outcome at once."""
        self.ids.append((request.request_id, request.attempt))
        self.on_outcome(request.request_id, self.outcome)

    def cancel(self, request_id):
        """Does nothing: requests end at once."""

    def finish(self):
        """Records that the flow was closed."""
        self.is_finished = True


@define(slots=True, eq=False)
class ServiceBench:
    """A service caller whose flows all give the same outcome."""

    outcome: object
    caller: ServiceCaller = field(init=False)
    now_s: float = 0.0
    flows: list = field(factory=list)
    ids: list = field(factory=list)
    outcomes: list = field(factory=list)

    def __attrs_post_init__(self):
        """Builds the caller."""
        self.caller = ServiceCaller(
            Random(1),
            self._open,
            lambda _request_id, outcome: self.outcomes.append(outcome),
            lambda: self.now_s,
            RetryBudget(),
        )

    def call(self, count):
        """Makes calls and runs their retries."""
        for number in range(count):
            request = make_request(Random(number), 'POST', '/claims')
            self.caller.request(request, 10.0)
            for _ in range(4):
                self.now_s += 1.0
                self.caller.tick()

    def _open(self, on_outcome):
        flow = FakeFlow(on_outcome, self.outcome, self.ids)
        self.flows.append(flow)
        return flow


def outcome_of(name):
    """Returns the outcome for a result code of an agent."""
    code = ResultCode[name]
    is_not_run = code < ResultCode.OUTCOME_UNKNOWN
    return NotRun(code) if is_not_run else Unknown(code)
