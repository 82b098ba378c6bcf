"""Builders for the parts of a node that use the platform's store."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.fleet.announcer import Announcer
from cumindrift.fleet.balancer_store import watch_store
from cumindrift.fleet.call import AnswerTag, StoreAnswer, StoreCall, StoreItem
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.kind import AGENT_KIND
from cumindrift.fleet.link import CallSource, RunningCall, StoreLink
from cumindrift.fleet.recorder import (
    RESET_WINDOW,
    WRITE_PERIOD_S,
    FlowRecord,
    FlowRecorder,
)
from cumindrift.fleet.watcher import KindWatcher
from cumindrift.platform.documents import EVACUATION_KIND, MANIFEST_KIND
from cumindrift.platform.node_file import read_node_file
from features.builders.node import node_file

BATCH_DELAY_S = 0.5
# Kinds of store objects, by their names in scenarios.
KINDS = {
    'evacuations': EVACUATION_KIND,
    'manifest': MANIFEST_KIND,
    'agents': AGENT_KIND,
}
# How finely a bench steps its clock.
STEP_S = 0.01
ENTRY = {'ip': '10.1.0.13', 'data_centre': 'hel-a', 'service': 'kaynti'}
MANIFEST = {
    'version': 4,
    'routes': [
        {
            'hostname': '198.18.0.1',
            'path_prefix': '/443/',
            'service': 'kaynti',
        },
    ],
    'services': [{'name': 'kaynti', 'warmup_per_s': 0.0}],
    'limits': {'idle_timeout_ms': 15000},
}


def items_of(names: str, **changes: Any) -> tuple[StoreItem, ...]:
    """Returns objects with the names in a text such as ``a, b``."""
    return tuple(
        StoreItem(name, 1, ENTRY, **changes) for name in names.split(', ')
    )


def agent_entries(count: int) -> dict[str, AgentEntry]:
    """Returns the entries of agents, by name."""
    names = [f'side-{number}' for number in range(count)]
    return {
        name: AgentEntry(
            name, f'10.1.{number // 250}.{number % 250}', 'hel-a', 'kaynti'
        )
        for number, name in enumerate(names)
    }


@define(slots=True, eq=False)
class WatcherBench:
    """A watcher with a test clock; tests provide the results of its calls."""

    now_s: float = 50.0
    seen: dict[str, StoreItem] = field(factory=dict)
    watcher: KindWatcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the watcher."""
        self.watcher = KindWatcher(
            'agents', self._keep, Random(1), BATCH_DELAY_S
        )

    def next_call(self) -> StoreCall | None:
        """Returns the call that is due now."""
        return self.watcher.next_call(self.now_s)

    def end_call(
        self, tag: AnswerTag, *items: StoreItem, **changes: Any
    ) -> None:
        """Ends the last call with a result."""
        answer = StoreAnswer(tag, items, **changes)
        self.watcher.on_answer(answer, self.now_s)

    def list_all(self, names: str, as_of: int) -> None:
        """Makes the watcher list objects."""
        self.next_call()
        self.end_call(AnswerTag.DONE, *items_of(names), as_of=as_of)

    def next_call_within(self, seconds: float) -> tuple[StoreCall, float]:
        """Returns the next call and the time until it was due."""
        start_s = self.now_s
        while self.now_s < start_s + seconds:
            call = self.next_call()
            if call is not None:
                return call, self.now_s - start_s
            self.now_s += 0.01
        raise AssertionError(f'no call within {seconds} s')

    def _keep(self, objects: dict[str, StoreItem]) -> None:
        self.seen = objects


@define(slots=True, eq=False)
class RecorderBench:
    """A recorder with a test clock; tests provide the results of its calls.

    Before each call, the time passes that a recorder waits at most.
    """

    now_s: float = 50.0
    recorder: FlowRecorder = field(init=False)
    # A flow's last acknowledgement, which differs from record to record.
    _acknowledged: int = 0

    def __attrs_post_init__(self) -> None:
        """Builds the recorder."""
        self.recorder = FlowRecorder(
            'records', 'side-1', Random(1), lambda _content: None, self._build
        )

    def start_call(self) -> StoreCall | None:
        """Returns the call that is due after the longest pause."""
        self.now_s += 2 * WRITE_PERIOD_S
        return self.recorder.next_call(self.now_s)

    def end_call(self, tag: AnswerTag) -> None:
        """Ends the running call with a result."""
        is_done = tag is AnswerTag.DONE
        items = (StoreItem('side-1', 7, {}),) if is_done else ()
        self.recorder.on_answer(StoreAnswer(tag, items), self.now_s)

    def _build(self) -> FlowRecord:
        self._acknowledged += RESET_WINDOW
        return FlowRecord(3, {bytes(12): self._acknowledged})


def make_announcer() -> Announcer:
    """Returns an announcer with a desired entry."""
    announcer = Announcer('agents', 'side-1', Random(1))
    announcer.set_desired(ENTRY)
    return announcer


def make_context(clock: Callable[[], float] = lambda: 10.0) -> NodeContext:
    """Returns the context of a node; its clock stands still by default."""
    start = read_node_file(node_file()).content
    return NodeContext(
        start.settings,
        start.is_first,
        clock=clock,
        directory=Directory(),
    )


def make_link(node: NodeContext, **changes: Any) -> StoreLink:
    """Returns the store link of a node, which runs no event loop."""
    link = StoreLink(
        Endpoint('127.0.0.1', 9),
        node.sources,
        node.health,
        node.clock,
        **changes,
    )
    node.link = link
    return link


class SilentExchange:
    """An exchange whose server never responds."""

    def abort(self) -> None:
        """Ends the exchange."""


@define(slots=True, eq=False)
class LinkBench:
    """A balancer's store link with a test clock, whose calls go nowhere.

    Tests start calls with `start_due` and end them with `end_call`.
    """

    now_s: float = 50.0
    node: NodeContext = field(init=False)
    link: StoreLink = field(init=False)
    _serial: int = 0

    def __attrs_post_init__(self) -> None:
        """Builds the balancer."""
        self.node = make_context(lambda: self.now_s)
        watch_store(self.node)
        self.link = make_link(self.node)

    def start_due(self, source: CallSource) -> StoreCall | None:
        """Starts the call of a source, if one is due."""
        call = source.next_call(self.now_s)
        if call is not None:
            self._serial += 1
            self.link.calls[self._serial] = RunningCall(
                source, call, SilentExchange(), deadline_s=1000.0
            )
        return call

    def time_until_call(self, source: CallSource) -> float:
        """Returns the time until a source starts a call."""
        start_s = self.now_s
        while self.start_due(source) is None:
            self.now_s += STEP_S
        return self.now_s - start_s

    def call_of(self, source: CallSource) -> StoreCall | None:
        """Returns the running call of a source, if any."""
        for running in self.link.calls.values():
            if running.source is source:
                return running.call
        return None

    def end_call(
        self, source: CallSource, tag: AnswerTag, *items: StoreItem, as_of: int
    ) -> None:
        """Ends the running call of a source with a result."""
        for number, running in list(self.link.calls.items()):
            if running.source is source:
                self.link.calls.pop(number)
                answer = StoreAnswer(tag, items, as_of)
                self.link.finish(running, answer)
