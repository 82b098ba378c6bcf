"""Builds request cores and drives them with scripts of short steps."""

from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.caller.message import (
    Acknowledge,
    Cancel,
    Part,
    PartAsk,
    Request,
    Verdict,
)
from cumindrift.registry import Registry
from cumindrift.traffic.admission import AdmissionController
from cumindrift.traffic.ledger import Ledger
from cumindrift.traffic.ledger_image import export_ledger, import_ledger
from cumindrift.traffic.request import RequestCore
from cumindrift.traffic.request_action import Reply, Run

CALLER = Endpoint('10.9.0.1', 1)
OTHER_CALLER = Endpoint('10.9.0.2', 2)
REMAINING_MS = 400_000
START_S = 1000.0


def request_id(name='a'):
    """Returns the request id for a short name in a script."""
    return name.encode().ljust(16, b'.')


def make_core(incarnation=7, slots=4, **bounds):
    """Returns a core whose admission limit is already `slots`."""
    core = RequestCore(
        Ledger(incarnation, **bounds),
        AdmissionController(slots, Random(1)),
        Random(2),
    )
    core.admission.limit = slots
    return core


@define(slots=True, eq=False)
class Bench:
    """A request core without network or target, driven by scripts."""

    core: RequestCore = field(factory=make_core)
    now_s: float = START_S
    born_s: float = START_S
    run_ids: list[bytes] = field(factory=list)
    actions: list = field(factory=list)
    last: list = field(factory=list)

    def play(self, script):
        """Runs the steps of a script as ``request a, wait 5, end a``."""
        for step in script.split(','):
            word, *rest = step.split()
            self.take(script_steps.get(word)(self, *rest) or [])

    def take(self, actions):
        """Records the actions that the core returned."""
        self.last = actions
        self.actions.extend(actions)
        self.run_ids.extend(
            action.request.request_id
            for action in actions
            if isinstance(action, Run)
        )

    def request(self, name='a', **fields):
        """Returns a request to incarnation 7, created at `born_s`."""
        return Request(
            request_id(name),
            **{
                'incarnation': 7,
                'is_idempotent': False,
                'remaining_ms': REMAINING_MS,
                'attempt': 1,
                'method': 'POST',
                'path': '/',
                'body': b'',
                'born_ms': int(self.born_s * 1000),
                'transmission': 1,
                **fields,
            },
        )

    def reply_names(self):
        """Returns verdict codes and part numbers of the last step."""
        return [
            message.code.name
            if isinstance(message, Verdict)
            else f'part {message.number}'
            for message in self.messages()
        ]

    def messages(self):
        """Returns the messages of the last step."""
        return [
            action.message for action in self.last if isinstance(action, Reply)
        ]

    def whole_body(self):
        """Returns the concatenated parts sent so far."""
        parts = {
            action.message.number: action.message.body
            for action in self.actions
            if isinstance(action, Reply) and isinstance(action.message, Part)
        }
        return b''.join(parts[number] for number in sorted(parts))


script_steps = Registry('step of request scripts')


@script_steps.register('request')
def _request(bench, name='a', caller=CALLER):
    return bench.core.on_request(bench.request(name), caller, bench.now_s)


@script_steps.register('moved')
def _moved(bench, name='a'):
    message = bench.request(name, transmission=2)
    return bench.core.on_request(message, OTHER_CALLER, bench.now_s)


@script_steps.register('short')
def _short(bench, name='a', remaining_ms='100'):
    message = bench.request(name, remaining_ms=int(remaining_ms))
    return bench.core.on_request(message, CALLER, bench.now_s)


@script_steps.register('foreign')
def _foreign(bench, name='a'):
    message = bench.request(name, incarnation=8)
    return bench.core.on_request(message, CALLER, bench.now_s)


@script_steps.register('future')
def _future(bench, name='a'):
    born_ms = int(bench.now_s * 1000) + 5000
    message = bench.request(name, born_ms=born_ms)
    return bench.core.on_request(message, CALLER, bench.now_s)


@script_steps.register('retried')
def _retried(bench, name='a'):
    born_ms = int(bench.born_s * 1000) + 10_000
    message = bench.request(name, born_ms=born_ms, attempt=2)
    return bench.core.on_request(message, CALLER, bench.now_s)


@script_steps.register('malformed')
def _malformed(bench):
    message = bench.request('far-too-long-for-a-request-id')
    return bench.core.on_request(message, CALLER, bench.now_s)


@script_steps.register('cancel')
def _cancel(bench, name='a'):
    born_ms = int(bench.born_s * 1000)
    message = Cancel(request_id(name), 7, born_ms)
    return bench.core.on_cancel(message, CALLER, bench.now_s)


@script_steps.register('ask')
def _ask(bench, first='0', count='32', name='a'):
    message = PartAsk(request_id(name), 7, int(first), int(count))
    return bench.core.on_part_ask(message, CALLER, bench.now_s)


@script_steps.register('acknowledge')
def _acknowledge(bench, name='a'):
    bench.core.on_acknowledge(Acknowledge(request_id(name), 7))


@script_steps.register('head')
def _head(bench, status='200', name='a'):
    return bench.core.on_head(request_id(name), int(status), bench.now_s)


@script_steps.register('body')
def _body(bench, size='10', name='a'):
    body = bytes(number % 251 for number in range(int(size)))
    return bench.core.on_body(request_id(name), body)


@script_steps.register('end')
def _end(bench, name='a'):
    return bench.core.on_end(request_id(name), bench.now_s)


@script_steps.register('answer')
def _answer(bench, name='a'):
    bench.take(_head(bench, '200', name))
    bench.take(_body(bench, '10', name))
    return _end(bench, name)


@script_steps.register('fail')
def _fail(bench, name='a'):
    return bench.core.on_failure(request_id(name), bench.now_s, was_sent=True)


@script_steps.register('unreached')
def _unreached(bench, name='a'):
    return bench.core.on_failure(request_id(name), bench.now_s, was_sent=False)


@script_steps.register('wait')
def _wait(bench, seconds):
    bench.now_s += float(seconds)
    return bench.core.tick(bench.now_s)


@script_steps.register('stop')
def _stop(bench):
    return bench.core.stop(bench.now_s)


@script_steps.register('restart')
def _restart(bench):
    bench.core = make_core(9)


@script_steps.register('handover')
def _handover(bench):
    image = export_ledger(bench.core.ledger, bench.now_s)
    # The successor runs on another host, with another monotonic clock.
    bench.now_s += 50_000.0
    bench.core = make_core(9)
    import_ledger(bench.core.ledger, image, bench.now_s)


@script_steps.register('export')
def _export(bench):
    export_ledger(bench.core.ledger, bench.now_s)


@script_steps.register('others')
def _others(bench, count):
    for number in range(int(count)):
        name = f'other-{number}'
        bench.take(
            bench.core.on_request(
                bench.request(name, born_ms=int(bench.now_s * 1000)),
                CALLER,
                bench.now_s,
            ),
        )
        bench.take(_answer(bench, name))
    return bench.core.tick(bench.now_s)
