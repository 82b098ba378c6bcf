"""Builders for the parts of a node that use the platform's store."""

from random import Random
from typing import Any

from attrs import define, field

from cumindrift.fleet.announcer import Announcer
from cumindrift.fleet.call import AnswerTag, StoreAnswer, StoreCall, StoreItem
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.directory import Directory
from cumindrift.fleet.watcher import KindWatcher
from cumindrift.platform.node_file import read_node_file
from features.builders.node import node_file

BATCH_DELAY_S = 0.5
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

    def ask(self) -> StoreCall | None:
        """Returns the call that is due now."""
        return self.watcher.next_call(self.now_s)

    def answer(self, tag: AnswerTag, *items: StoreItem, **changes: Any) -> None:
        """Ends the last call with a result."""
        answer = StoreAnswer(tag, items, **changes)
        self.watcher.on_answer(answer, self.now_s)

    def list_all(self, names: str, as_of: int) -> None:
        """Makes the watcher list objects."""
        self.ask()
        self.answer(AnswerTag.DONE, *items_of(names), as_of=as_of)

    def ask_within(self, seconds: float) -> tuple[StoreCall, float]:
        """Returns the next call and the time until it was due."""
        start_s = self.now_s
        while self.now_s < start_s + seconds:
            call = self.ask()
            if call is not None:
                return call, self.now_s - start_s
            self.now_s += 0.01
        raise AssertionError(f'no call within {seconds} s')

    def _keep(self, objects: dict[str, StoreItem]) -> None:
        self.seen = objects


def make_announcer() -> Announcer:
    """Returns an announcer with a desired entry."""
    announcer = Announcer('agents', 'side-1', Random(1))
    announcer.set_desired(ENTRY)
    return announcer


def make_context() -> NodeContext:
    """Returns the context of a node with a fixed clock."""
    start = read_node_file(node_file()).content
    return NodeContext(
        start.settings,
        start.is_first,
        clock=lambda: 10.0,
        directory=Directory(),
    )
