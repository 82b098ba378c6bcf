"""The connection to the object store: runs calls over HTTP/1.1."""

from collections.abc import Callable

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.exchange import HttpExchange
from cumindrift.objects.call import (
    Call,
    CallAction,
    CallKind,
    StartCall,
)
from cumindrift.objects.client import WATCH_WAIT_S, StoreCore
from cumindrift.objects.http import (
    HttpClientResponse,
    decode_answer,
    encode_call,
)
from cumindrift.objects.store import StoreCallback
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.5


def _discard_actions(_actions: list[CallAction]) -> None:
    """Ignores actions while no link runs; the core retries after timeouts."""


@define(slots=True, eq=False)
class RemoteStore:
    """The `ObjectStore` of a process; outlives restarts of its link.

    Example::

        store = RemoteStore(StoreCore(CallRateLimiter(random)), clock)
        store.read('settings', on_outcome)
    """

    core: StoreCore
    clock: Callable[[], float]
    # Set by the running link.
    perform: Callable[[list[CallAction]], None] = field(
        default=_discard_actions,
    )

    def read(self, key: str, on_outcome: StoreCallback) -> None:
        """Reads one object; a missing one has version 0 and no body."""
        self._submit(Call(CallKind.READ, key), on_outcome)

    def write(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        write_id: str,
        on_outcome: StoreCallback,
    ) -> None:
        """Writes an object if its stored version is `expected_version`.

        `write_id` identifies the write, so that a retry after a lost response
        does not apply it twice.
        """
        call = Call(CallKind.WRITE, key, expected_version, body, write_id)
        self._submit(call, on_outcome)

    def watch(
        self,
        key: str,
        known_version: int,
        on_outcome: StoreCallback,
    ) -> None:
        """Waits for a version above `known_version`; calls back once."""
        call = Call(CallKind.WATCH, key, known_version, wait_s=WATCH_WAIT_S)
        self._submit(call, on_outcome)

    def _submit(self, call: Call, on_outcome: StoreCallback) -> None:
        self.perform(self.core.submit(call, on_outcome, self.clock()))


class PlatformLink(Child):
    """Runs HTTP exchanges; a child of the objects supervisor."""

    def __init__(self, store: RemoteStore, endpoint: Endpoint) -> None:
        """Runs the calls of `store` against the object API at `endpoint`."""
        super().__init__(channel='platform-link')
        self._store = store
        self._endpoint = endpoint
        self._exchanges: dict[int, HttpExchange] = {}
        store.perform = self._perform
        Ticker(
            'platform',
            TICK_PERIOD_S,
            self._tick,
            IDLE_PERIOD_S,
        ).register(self)

    def release(self) -> None:
        """Ends all exchanges; the core retries their calls later."""
        self._store.perform = _discard_actions
        for exchange in list(self._exchanges.values()):
            exchange.release()

    def _perform(self, actions: list[CallAction]) -> None:
        for action in actions:
            if isinstance(action, StartCall):
                self._start(action)
            else:
                exchange = self._exchanges.pop(action.call_id, None)
                if exchange is not None:
                    exchange.abort()

    def _start(self, action: StartCall) -> None:
        call = action.call

        def on_end(answer: HttpClientResponse | None, was_sent: bool) -> None:
            self._exchanges.pop(action.call_id, None)
            now_s = self._store.clock()
            core = self._store.core
            if answer is None:
                self._perform(
                    core.on_failure(action.call_id, now_s, was_sent=was_sent),
                )
                return
            decoded = decode_answer(call, answer)
            self._perform(core.on_answer(action.call_id, decoded, now_s))

        exchange = HttpExchange(
            str(action.call_id),
            self._endpoint,
            encode_call(call),
            on_end,
        )
        self._exchanges[action.call_id] = exchange
        exchange.register(self)
        exchange.start()

    def _tick(self) -> bool:
        core = self._store.core
        self._perform(core.tick(self._store.clock()))
        return core.is_busy
