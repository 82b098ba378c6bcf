"""A store of one kind with its whole history, and random runs of a watcher."""

from random import Random

from attrs import define, field

from cumindrift.fleet.call import (
    AnswerTag,
    CallVerb,
    StoreAnswer,
    StoreCall,
    StoreItem,
)
from cumindrift.fleet.copy_version import NOT_READ
from cumindrift.fleet.watcher import KindWatcher, Objects

NAMES = ('hel-a', 'esp-b', 'van-c')
STEPS_PER_RUN = 300
# Longer than the pause of a watcher after a failure and after a change.
STEP_S = 1.0
# How many revisions a peer's copy, or a list that may be stale, may be behind
# the store.
PEER_LAG_MAX = 6


@define(slots=True, eq=False)
class StoreHistory:
    """All changes of one kind; each has the next revision."""

    page_items: int
    changes: list[StoreItem] = field(factory=list)

    @property
    def revision(self) -> int:
        """Returns the revision of the last change."""
        return len(self.changes)

    def change(self, name: str, *, is_removed: bool) -> None:
        """Appends a change."""
        revision = self.revision + 1
        self.changes.append(
            StoreItem(name, revision, is_removed=is_removed),
        )

    def objects_at(self, revision: int) -> Objects:
        """Returns the objects as they were at a revision."""
        objects: Objects = {}
        for item in self.changes[:revision]:
            objects.pop(item.name, None)
            if not item.is_removed:
                objects[item.name] = item
        return objects

    def execute(self, call: StoreCall) -> StoreAnswer:
        """Returns the answer to a call made now."""
        if call.verb is CallVerb.WATCH:
            events = tuple(self.changes[call.revision :])
            return StoreAnswer(AnswerTag.DONE, events, self.revision)
        found = self.objects_at(self.revision)
        rest = sorted(name for name in found if name > call.after)
        page = tuple(found[name] for name in rest[: self.page_items])
        has_more = len(page) < len(rest)
        return StoreAnswer(AnswerTag.DONE, page, self.revision, has_more)


@define(slots=True, eq=False)
class WatcherRun:
    """A watcher whose calls, adoptions and the store's changes interleave.

    The answer to a call is made at one random moment and delivered at a later
    one, so a call may be overtaken by changes and by copies of peers.
    """

    seed: int
    page_items: int
    now_s: float = 0.0
    highest_as_of: int = NOT_READ
    random: Random = field(init=False)
    store: StoreHistory = field(init=False)
    watcher: KindWatcher = field(init=False)
    _call: StoreCall | None = None
    _answer: StoreAnswer | None = None
    # A check by changes: after which revision, and what the store answered.
    _since: int = NOT_READ
    _changes: StoreAnswer | None = None

    def __attrs_post_init__(self) -> None:
        """Builds the store and the watcher."""
        self.random = Random(self.seed)
        self.store = StoreHistory(self.page_items)
        self.watcher = KindWatcher('zones', lambda _objects: None, self.random)

    def run(self) -> None:
        """Takes random steps; checks the copy after each one."""
        weights = {
            self._change: 3,
            self._start: 4,
            self._execute: 3,
            self._deliver: 2,
            self._adopt: 2,
            self._compare: 2,
            self._ask_changes: 2,
            self._catch_up: 2,
            self._list_again: 1,
            self._lose: 1,
        }
        chosen = self.random.choices(
            list(weights), list(weights.values()), k=STEPS_PER_RUN
        )
        for step in chosen:
            step()
            self.now_s += STEP_S
            self._check()

    def settle(self) -> Objects:
        """Lets all calls succeed; returns the copy in the end."""
        for _ in range(STEPS_PER_RUN):
            self.now_s += STEP_S
            self._start()
            self._execute()
            self._deliver()
        return self.watcher.objects

    def _check(self) -> None:
        as_of = self.watcher.version.as_of
        assert as_of >= self.highest_as_of, (self.seed, as_of)
        self.highest_as_of = as_of
        if as_of != NOT_READ and self.page_items >= len(NAMES):
            expected = self.store.objects_at(as_of)
            found = self.watcher.objects
            assert found == expected, (self.seed, as_of, found, expected)

    def _change(self) -> None:
        is_removed = self.random.random() < 1 / 2
        self.store.change(self.random.choice(NAMES), is_removed=is_removed)

    def _start(self) -> None:
        if self._call is None:
            self._call = self.watcher.next_call(self.now_s)
            self._answer = None

    def _execute(self) -> None:
        if self._call is not None and self._answer is None:
            self._answer = self.store.execute(self._call)

    def _deliver(self) -> None:
        if self._answer is not None:
            answer = self._answer
            self._call = self._answer = None
            self.watcher.on_answer(answer, self.now_s)

    def _lose(self) -> None:
        if self._call is not None:
            tag = self.random.choice((AnswerTag.LOST, AnswerTag.HISTORY_GONE))
            self._call = self._answer = None
            self.watcher.on_answer(StoreAnswer(tag), self.now_s)

    def _adopt(self) -> None:
        as_of = self._late_revision()
        objects = self.store.objects_at(as_of)
        self.watcher.adopt(objects, as_of, self.now_s)

    def _compare(self) -> None:
        if self.watcher.is_watching:
            as_of = self._late_revision()
            objects = self.store.objects_at(as_of)
            self.watcher.compare(objects, as_of, self.now_s)

    def _ask_changes(self) -> None:
        since = self.watcher.version.as_of
        if self.watcher.is_watching and self._changes is None:
            as_of = self._late_revision()
            events = tuple(self.store.changes[since:as_of])
            self._since = since
            self._changes = StoreAnswer(AnswerTag.DONE, events, as_of)

    def _catch_up(self) -> None:
        changes = self._changes
        self._changes = None
        if changes is not None and self.watcher.is_watching:
            self.watcher.catch_up(self._since, changes, self.now_s)

    def _late_revision(self) -> int:
        """Returns a revision that is at most PEER_LAG_MAX behind the store."""
        lag = self.random.randrange(PEER_LAG_MAX)
        return max(self.store.revision - lag, 0)

    def _list_again(self) -> None:
        if self.watcher.is_watching:
            self._call = self._answer = None
            self.watcher.list_again()
