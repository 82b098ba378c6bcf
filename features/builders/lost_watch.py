"""A balancer's store link before the store stand-in, in virtual time."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.administration.routing import HttpRequest, HttpResponse
from cumindrift.exchange import HttpClientRequest, HttpClientResponse
from cumindrift.fleet.balancer_store import watch_store
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.kind import AGENT_KIND
from cumindrift.fleet.link import TICK_PERIOD_S, StoreLink
from cumindrift.platform.documents import MANIFEST_KIND, MANIFEST_NAME
from features.builders.node_store import (
    ENTRY,
    MANIFEST,
    make_context,
    make_link,
)
from standin.store import StoreModel

# How long the store takes for an answer.
ANSWER_S = 0.004
# Longer than a balancer takes to read all kinds at its start.
START_S = 3.0
AGENT = 'side-1'
# Silences of the store are shorter than a call's timeout, or longer.
SILENCE_MIN_S, SILENCE_MAX_S = 0.05, 3.0
# How long the store has to be well before a bound holds.
SETTLE_S = 4.0
# A manifest is in force this long after its ack.
MANIFEST_BOUND_S = 3.0
# Before a silence, and after it.
GAP_MIN_S, GAP_MAX_S = 0.2, 9.0
# When a silence begins that is meant for the watches renewed after a change.
RENEWING_S = 0.25
RUN_S = 120.0


@define(slots=True, eq=False)
class ModelExchange:
    """An HTTP exchange with the store stand-in of a bench."""

    bench: 'StoreBench'
    request: HttpClientRequest
    on_end: Callable[[HttpClientResponse, bool], None]
    is_aborted: bool = False

    def register(self, _parent: StoreLink) -> None:
        """Does nothing: the bench runs no event loop."""

    def start(self) -> None:
        """Sends the request to the stand-in, unless it would be lost."""
        bench = self.bench
        if bench.is_silent or (bench.loses_watches and self.is_waiting_watch):
            return
        bench.model.answer(
            HttpRequest(
                self.request.method,
                self.request.target,
                self.request.headers,
                self.request.body,
            ),
            self._on_response,
        )

    @property
    def is_waiting_watch(self) -> bool:
        """Tells whether the store answers only when there is news."""
        _before, _, rest = self.request.target.partition('wait_ms=')
        wait_ms, _, _after = rest.partition('&')
        return wait_ms not in {'', '0'}

    def abort(self) -> None:
        """Ends the exchange."""
        self.is_aborted = True

    def _on_response(self, response: HttpResponse) -> None:
        due_s = self.bench.now_s + ANSWER_S
        self.bench.responses.append((due_s, self, response))


@define(slots=True, eq=False)
class StoreBench:
    """A balancer that follows a store stand-in.

    While `is_silent` the store takes calls and never answers them, on
    connections that stay alive. While it `loses_watches` it does so with
    watches that wait, and answers all other calls.
    """

    seed: int = 1
    now_s: float = 50.0
    is_silent: bool = False
    loses_watches: bool = False
    model: StoreModel = field(init=False)
    node: NodeContext = field(init=False)
    link: StoreLink = field(init=False)
    responses: list[tuple[float, ModelExchange, HttpResponse]] = field(
        factory=list
    )
    # The version of the newest manifest in the store.
    version: int = 4

    def __attrs_post_init__(self) -> None:
        """Builds store and balancer; the balancer reads all kinds."""
        self.model = StoreModel(lambda: self.now_s, Random(self.seed))
        self.put_manifest()
        self.node = make_context(lambda: self.now_s)
        self.node.random = Random(self.seed)
        watch_store(self.node)
        self.link = make_link(self.node, build_exchange=self._build_exchange)
        self.pass_time(START_S)
        assert self.node.directory.is_complete

    def put_manifest(self) -> None:
        """Writes a manifest of the next version."""
        self.version += 1
        spec = {**MANIFEST, 'version': self.version}
        self.model.put(MANIFEST_KIND, MANIFEST_NAME, spec)

    def put_agent(self) -> None:
        """Writes the entry of an agent."""
        self.model.put(AGENT_KIND, AGENT, ENTRY)

    def renew_watches(self) -> None:
        """Ends the balancer's watches without news, so that it renews them."""
        self.link.restart_watches('renewed by the test')

    def pass_time(self, seconds: float) -> None:
        """Lets time pass, in steps of the link's ticks."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(self.now_s + TICK_PERIOD_S, until_s)
            self.model.tick()
            self._deliver()
            self.link.run_due()

    def _deliver(self) -> None:
        due = [each for each in self.responses if each[0] <= self.now_s]
        for each in due:
            self.responses.remove(each)
            _due_s, exchange, response = each
            if not exchange.is_aborted:
                exchange.on_end(
                    HttpClientResponse(response.status, {}, response.body),
                    True,
                )

    def _build_exchange(
        self,
        _name: str,
        _endpoint: Endpoint,
        request: HttpClientRequest,
        on_end: Callable[[HttpClientResponse, bool], None],
    ) -> ModelExchange:
        return ModelExchange(self, request, on_end)


@define(slots=True, eq=False)
class SilenceRun:
    """A balancer before a store that falls silent at random moments.

    Half of the silences begin when the balancer renews its watches after a
    change, which is when they lose them. `late` lists the moments at which
    the balancer had an older manifest than the bound allows.
    """

    seed: int
    late: list[str] = field(factory=list)
    bench: StoreBench = field(init=False)
    random: Random = field(init=False)
    _acked_s: float = 0.0
    _settled_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Builds the balancer and its store."""
        self.random = Random(self.seed)
        self.bench = StoreBench(self.seed)

    def run(self) -> None:
        """Lets changes and silences alternate; checks at each moment."""
        bench = self.bench
        end_s = bench.now_s + RUN_S
        while bench.now_s < end_s:
            bench.put_manifest()
            self._acked_s = bench.now_s
            is_renewing = self.random.random() < 1 / 2
            self._pass_time(RENEWING_S if is_renewing else self._draw_gap_s())
            bench.is_silent = True
            self._pass_time(self._draw_silence_s())
            bench.is_silent = False
            self._settled_s = bench.now_s + SETTLE_S
            self._pass_time(self._draw_gap_s())

    def _draw_gap_s(self) -> float:
        return self.random.uniform(GAP_MIN_S, GAP_MAX_S)

    def _draw_silence_s(self) -> float:
        most_s = self.random.choice((0.4, SILENCE_MAX_S))
        return self.random.uniform(SILENCE_MIN_S, most_s)

    def _pass_time(self, seconds: float) -> None:
        until_s = self.bench.now_s + seconds
        while self.bench.now_s < until_s:
            left_s = until_s - self.bench.now_s
            self.bench.pass_time(min(TICK_PERIOD_S, left_s))
            self._check()

    def _check(self) -> None:
        bench = self.bench
        due_s = max(self._acked_s + MANIFEST_BOUND_S, self._settled_s)
        version = bench.node.directory.manifest.version
        is_stable = not bench.is_silent
        if is_stable and bench.now_s > due_s and version < bench.version:
            self.late.append(f'{version} at {bench.now_s:.1f} s')
