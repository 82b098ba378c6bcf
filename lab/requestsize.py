"""Measures an agent's memory and processor time for each request id."""

import sys
import tracemalloc
from random import Random
from time import process_time

from absl import app, flags
from tabulate import tabulate

from cumindrift.address import Endpoint
from cumindrift.caller.message import Acknowledge, Request
from cumindrift.caller.session import make_request
from cumindrift.traffic.admission import AdmissionController
from cumindrift.traffic.ledger import ENTRIES_MAX, Ledger
from cumindrift.traffic.request import RequestCore
from lab.requestagent import STATUS_DONE

SLOTS = 4
REMAINING_MS = 5000
MICROSECONDS = 1e6
STEP_S = 0.001


def run_requests(core: RequestCore, requests: list[Request]) -> None:
    """Runs requests through a core, one after the other, to their end."""
    caller = Endpoint('10.9.0.1', 1)
    now_s = STEP_S
    for request in requests:
        now_s += STEP_S
        request_id = request.request_id
        core.on_request(request, caller, now_s)
        core.on_head(request_id, STATUS_DONE, now_s)
        core.on_body(request_id, b'answer')
        core.on_end(request_id, now_s)
        core.on_acknowledge(Acknowledge(request_id, 1))


def _run(_arguments: list[str]) -> int:
    random = Random(flags.FLAGS.seed)
    requests = [
        Request(
            make_request(random, 'POST', '/').request_id,
            incarnation=1,
            is_idempotent=False,
            remaining_ms=REMAINING_MS,
            attempt=1,
            method='POST',
            path='/',
            body=b'',
            born_ms=1,
            transmission=1,
        )
        for _ in range(ENTRIES_MAX)
    ]
    timed = RequestCore(Ledger(1), AdmissionController(SLOTS, random), random)
    started_s = process_time()
    run_requests(timed, requests)
    spent_s = process_time() - started_s
    tracemalloc.start()
    sized = RequestCore(Ledger(1), AdmissionController(SLOTS, random), random)
    run_requests(sized, requests)
    kept_bytes = tracemalloc.get_traced_memory()[0]
    rows = [
        ('entries', len(sized.ledger.entries)),
        ('bytes an entry', kept_bytes / ENTRIES_MAX),
        ('core microseconds a request', spent_s / ENTRIES_MAX * MICROSECONDS),
    ]
    sys.stdout.write(f'{tabulate(rows, tablefmt="github", floatfmt=".1f")}\n')
    return 0


if __name__ == '__main__':
    flags.DEFINE_integer('seed', 1, 'Seed of the ids.')
    app.run(_run)
