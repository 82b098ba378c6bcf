"""The connection to the platform's store: runs the calls that are due."""

from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import define
from circuits import handler

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.event import EventLog
from cumindrift.exchange import HttpClientResponse, HttpExchange
from cumindrift.fleet.call import (
    AnswerTag,
    CallVerb,
    StoreAnswer,
    StoreCall,
)
from cumindrift.metric import STORE_CALLS
from cumindrift.platform.store_api import decode_answer, encode_call
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.1
CALL_TIMEOUT_S = 2.0
_FAILURES = frozenset((AnswerTag.BUSY, AnswerTag.LOST, AnswerTag.MALFORMED))


class CallSource(Protocol):
    """A source of store calls, such as a watcher or an announcer."""

    kind: str
    failure_count: int

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last call."""


@define(slots=True, eq=False, repr=False)
class RunningCall:
    """A running call with its HTTP exchange and its deadline."""

    source: CallSource
    call: StoreCall
    exchange: HttpExchange
    deadline_s: float


@define(slots=True, eq=False, repr=False)
class StoreHealth:
    """Whether the store responds to this process; logs each change."""

    events: EventLog
    failing_since_s: float = 0.0
    answered_s: float = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Tells whether calls have failed since the last success."""
        return self.failing_since_s > 0

    def record_result(
        self, tag: AnswerTag, call: StoreCall, now_s: float
    ) -> None:
        """Records the result of a call."""
        STORE_CALLS.labels(call.verb.value, tag.value).inc()
        if tag not in _FAILURES:
            if self.failing_since_s:
                self.events.note_urgently(
                    'store-regained',
                    lost_s=round(now_s - self.failing_since_s, 3),
                )
            self.failing_since_s = 0.0
            self.answered_s = now_s
        elif not self.failing_since_s:
            self.failing_since_s = now_s
            self.events.note_urgently(
                'store-lost',
                code=int(ResultCode.PLATFORM_DOWN),
                result=tag.value,
                verb=call.verb.value,
                kind=call.kind,
                answered_ago_s=round(now_s - self.answered_s, 3),
            )


class StoreLink(Child):
    """Runs calls for its sources; a child of the fleet supervisor.

    While the store does not respond, only one call at a time is started. This
    limits the calls during an outage and avoids a burst of calls at its end.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        sources: Sequence[CallSource],
        health: StoreHealth,
        clock: Callable[[], float],
        build_exchange: Callable[..., HttpExchange] = HttpExchange,
    ) -> None:
        """Takes the sources whose calls go to the store at `endpoint`.

        `build_exchange` is called with the arguments of HttpExchange.
        """
        super().__init__(channel='store-link')
        self._endpoint = endpoint
        self._sources = tuple(sources)
        self._health = health
        self._clock = clock
        self._build_exchange = build_exchange
        self.calls: dict[int, RunningCall] = {}
        self._serial = 0
        Ticker('store', TICK_PERIOD_S, self.run_due).register(self)

    def release(self) -> None:
        """Ends all calls; their sources repeat them later."""
        for running in list(self.calls.values()):
            running.exchange.abort()
            self.finish(running, StoreAnswer(AnswerTag.LOST))
        self.calls.clear()

    @handler('started', channel='*')
    def _on_started(self, *_details: object) -> None:
        self.run_due()

    def cancel_call(self, source: CallSource) -> None:
        """Cancels the call of a source without a callback to it."""
        for number, running in list(self.calls.items()):
            if running.source is source:
                self.calls.pop(number)
                running.exchange.abort()

    def restart_watches(self, reason: str) -> None:
        """Takes the running watches for lost; their sources start them again.

        `reason` goes to the log.
        """
        now_s = self._clock()
        watches = [
            (number, running)
            for number, running in self.calls.items()
            if running.call.verb is CallVerb.WATCH
        ]
        if not watches:
            return
        for number, running in watches:
            self.calls.pop(number)
            running.exchange.abort()
            running.source.on_answer(StoreAnswer(AnswerTag.LOST), now_s)
        self._health.events.note_urgently(
            'watches-restarted',
            reason=reason,
            kinds=[running.call.kind for _number, running in watches],
        )

    def run_due(self) -> None:
        """Ends calls that have timed out and starts those that are due."""
        now_s = self._clock()
        for number, running in list(self.calls.items()):
            if now_s >= running.deadline_s:
                self.calls.pop(number)
                running.exchange.abort()
                self.finish(running, StoreAnswer(AnswerTag.LOST))
        for source in self.allowed_sources():
            call = source.next_call(now_s)
            if call is None:
                continue
            self._start(source, call, now_s)
            if self._health.failing_since_s:
                return

    def allowed_sources(self) -> list[CallSource]:
        """Returns the sources that may start a call, by priority.

        During an outage the connection of a running watch may be dead, so
        only a source without a call can detect that the store is back.
        """
        if not self._health.failing_since_s:
            return list(self._sources)
        calls = self.calls.values()
        if any(running.call.verb is not CallVerb.WATCH for running in calls):
            return []
        busy = [running.source for running in calls]
        idle = [source for source in self._sources if source not in busy]
        return sorted(idle, key=lambda source: source.failure_count)

    def _start(self, source: CallSource, call: StoreCall, now_s: float) -> None:
        self._serial += 1
        number = self._serial

        def on_end(answer: HttpClientResponse | None, _was_sent: bool) -> None:
            running = self.calls.pop(number, None)
            if running is None:
                return
            decoded = StoreAnswer(AnswerTag.LOST)
            if answer is not None:
                decoded = decode_answer(answer.status, answer.body)
            self.finish(running, decoded)
            self.run_due()

        exchange = self._build_exchange(
            f'store-{number}',
            self._endpoint,
            encode_call(call),
            on_end,
        )
        deadline_s = now_s + CALL_TIMEOUT_S + call.wait_s
        self.calls[number] = RunningCall(source, call, exchange, deadline_s)
        exchange.register(self)
        exchange.start()

    def finish(self, running: RunningCall, answer: StoreAnswer) -> None:
        """Ends a call with its result.

        When the store is back, watches whose requests came while it was silent
        would wait in vain.
        """
        now_s = self._clock()
        was_unreachable = self._health.is_unreachable
        self._health.record_result(answer.tag, running.call, now_s)
        running.source.on_answer(answer, now_s)
        if was_unreachable and not self._health.is_unreachable:
            self.restart_watches('store regained')
