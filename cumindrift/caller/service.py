"""Calls to a service: opens flows and retries requests that were not run."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from attrs import define, evolve, field

from cumindrift.caller.budget import RetryBudget
from cumindrift.caller.message import Request
from cumindrift.caller.session import OutcomeCallback
from cumindrift.code import ResultCode
from cumindrift.outcome import NotRun, Outcome

ATTEMPTS_MAX = 3
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 2.0

# Another agent would give the same answer: no retry.
_FINAL_CODES = frozenset(
    (
        ResultCode.CANCELLED,
        ResultCode.TOO_LATE,
        ResultCode.BAD_REQUEST,
    )
)
# After these no other request can use the flow.
_FLOW_UNUSABLE_CODES = frozenset((ResultCode.STOPPING, ResultCode.NO_SUCH_FLOW))


class Flow(Protocol):
    """Interface of a flow as `ServiceCaller` uses it; see `Client`."""

    @property
    def retry_after_s(self) -> float:
        """The wait before the next attempt that the agent asked for."""

    @property
    def is_refused(self) -> bool:
        """Whether the flow was refused."""

    def request(self, request: Request, timeout_s: float) -> None:
        """Starts a request."""

    def cancel(self, request_id: bytes) -> None:
        """Cancels a request."""

    def finish(self) -> None:
        """Closes the flow."""


FlowOpener = Callable[[OutcomeCallback], Flow]


@define(slots=True, eq=False)
class Call:
    """A request and the flow of its latest attempt."""

    request: Request
    deadline_s: float
    flow: Flow
    # When the next attempt is due; None while an attempt is running.
    retry_s: float | None = None


@define(slots=True, eq=False)
class ServiceCaller:
    """Calls one service; the main entry point of the caller library.

    The outcome of each request is passed to `on_outcome` once. Only a request
    whose outcome is `NotRun` is retried, since the previous agent will not run
    it any more. The retry has the same id and uses a new flow. The application
    calls `tick` periodically.

    Example::

        caller = ServiceCaller(random, open_flow, on_outcome, monotonic)
        caller.request(make_request(random, 'POST', '/claims'), 5.0)
    """

    random: Random
    open_flow: FlowOpener
    on_outcome: OutcomeCallback
    clock: Callable[[], float]
    budget: RetryBudget = field(factory=RetryBudget)
    attempts_max: int = ATTEMPTS_MAX
    _flow: Flow | None = None
    _calls: dict[bytes, Call] = field(factory=dict)

    def request(self, request: Request, timeout_s: float) -> None:
        """Starts a request that times out after `timeout_s` seconds."""
        self.budget.on_first_attempt()
        if self._flow is None or self._flow.is_refused:
            self._drop_flow()
            self._flow = self.open_flow(self._on_outcome)
        call = Call(request, self.clock() + timeout_s, self._flow)
        self._calls[request.request_id] = call
        call.flow.request(request, timeout_s)

    def cancel(self, request_id: bytes) -> None:
        """Cancels a request; its outcome is still reported."""
        call = self._calls.get(request_id)
        if call is None:
            return
        if call.retry_s is None:
            call.flow.cancel(request_id)
        else:
            self._complete(call, NotRun(ResultCode.CANCELLED))

    def tick(self) -> None:
        """Starts the retries that are due."""
        now_s = self.clock()
        due = [
            call
            for call in self._calls.values()
            if call.retry_s is not None and now_s >= call.retry_s
        ]
        for call in due:
            self._retry(call, now_s)

    def finish(self) -> None:
        """Closes all flows; pending requests get no outcome."""
        for call in self._calls.values():
            if call.flow is not self._flow:
                call.flow.finish()
        self._calls.clear()
        self._drop_flow()

    def _retry(self, call: Call, now_s: float) -> None:
        call.retry_s = None
        call.request = evolve(call.request, attempt=call.request.attempt + 1)
        call.flow = self.open_flow(self._on_outcome)
        call.flow.request(call.request, call.deadline_s - now_s)

    def _on_outcome(self, request_id: bytes, outcome: Outcome) -> None:
        call = self._calls.get(request_id)
        if call is None:
            return
        is_not_run = isinstance(outcome, NotRun)
        if not is_not_run or outcome.code in _FINAL_CODES:
            self._complete(call, outcome)
            return
        if outcome.code in _FLOW_UNUSABLE_CODES and call.flow is self._flow:
            self._flow = None
        self._schedule_retry(call, outcome)

    def _schedule_retry(self, call: Call, outcome: NotRun) -> None:
        retry_s = self.clock() + self._backoff_s(call)
        attempt = call.request.attempt
        if attempt >= self.attempts_max or retry_s >= call.deadline_s:
            self._complete(call, outcome)
        elif self.budget.try_spend():
            self._release_flow(call)
            call.retry_s = retry_s
        else:
            detail = outcome.code.name
            self._complete(call, NotRun(ResultCode.BUDGET_SPENT, detail))

    def _backoff_s(self, call: Call) -> float:
        backoff_s = BACKOFF_BASE_S * 2**call.request.attempt
        wait_s = max(backoff_s, call.flow.retry_after_s)
        return self.random.random() * min(BACKOFF_MAX_S, wait_s)

    def _complete(self, call: Call, outcome: Outcome) -> None:
        self._calls.pop(call.request.request_id)
        if call.retry_s is None:
            self._release_flow(call)
        self.on_outcome(call.request.request_id, outcome)

    def _release_flow(self, call: Call) -> None:
        flow = call.flow
        if flow is not self._flow and not self._is_in_use(flow, call):
            flow.finish()

    def _drop_flow(self) -> None:
        flow = self._flow
        self._flow = None
        if flow is not None and not self._is_in_use(flow):
            flow.finish()

    def _is_in_use(self, flow: Flow, except_call: Call | None = None) -> bool:
        return any(
            call.flow is flow and call.retry_s is None
            for call in self._calls.values()
            if call is not except_call
        )
