"""Watches one kind of store objects: lists them, then watches changes."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.fleet.call import (
    AnswerTag,
    CallVerb,
    StoreAnswer,
    StoreCall,
    StoreItem,
)
from cumindrift.fleet.copy_version import NOT_READ, CopyVersion

# A watch that has ended is started again, which costs a call, so it waits
# long. Dead connections are detected by TCP keep-alive instead.
WATCH_WAIT_S = 25.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.0

Objects = dict[str, StoreItem]


@define(slots=True, eq=False, repr=False)
class KindWatcher:
    """Maintains a copy of all objects of one kind; run by the store's link.

    `batch_delay_s` is the pause after a change, so that changes in quick
    succession arrive in one response.
    """

    kind: str
    on_objects: Callable[[Objects], None]
    random: Random
    batch_delay_s: float = 0.0
    objects: Objects = field(factory=dict)
    version: CopyVersion = field(factory=CopyVersion)
    failure_count: int = 0
    # When the latest complete list was requested.
    listed_s: float = 0.0
    on_listed: Callable[[float], None] = lambda _list_started_s: None
    _listed: Objects = field(factory=dict)
    _after: str = ''
    _due_s: float = 0.0
    _list_started_s: float = 0.0
    _is_running: bool = False
    _is_listing: bool = False

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        if self._is_running or now_s < self._due_s:
            return None
        self._is_running = True
        self._is_listing = self.version.as_of == NOT_READ
        if not self._is_listing:
            return StoreCall(
                CallVerb.WATCH,
                self.kind,
                revision=self.version.as_of,
                wait_s=WATCH_WAIT_S,
            )
        if self._after == '':
            self._list_started_s = now_s
        return StoreCall(CallVerb.LIST, self.kind, after=self._after)

    @property
    def is_watching(self) -> bool:
        """Tells whether a watch is running; `list_again` may replace it."""
        return self._is_running and not self._is_listing

    def list_again(self) -> None:
        """Makes the next call a list; no call may be running."""
        self.version.as_of = NOT_READ
        self._after = ''
        self._listed = {}
        self._is_running = False
        self._due_s = 0.0

    @property
    def as_of(self) -> int:
        """Returns the revision of this copy; NOT_READ if a list is needed."""
        return self.version.as_of

    def adopt(self, objects: Objects, as_of: int, now_s: float) -> bool:
        """Takes over a peer's copy if it is newer; tells whether it was."""
        if as_of <= self.version.as_of:
            return False
        self._confirm(as_of, now_s)
        self.objects = objects
        self.on_objects(objects)
        return True

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last call."""
        self._is_running = False
        if answer.tag is AnswerTag.HISTORY_GONE:
            self.failure_count = 0
            self.list_again()
        elif answer.tag is AnswerTag.DONE:
            self.failure_count = 0
            self._apply(answer, now_s)
        else:
            self._fail(now_s)

    def _confirm(self, as_of: int, now_s: float) -> None:
        self.version.as_of = as_of
        self.version.confirmed_s = now_s

    def _fail(self, now_s: float) -> None:
        self.failure_count += 1
        ceiling_s = min(
            BACKOFF_MAX_S,
            BACKOFF_MIN_S * 2 ** min(self.failure_count, 10),
        )
        self._due_s = now_s + ceiling_s * (1 + self.random.random()) / 2

    def _apply(self, answer: StoreAnswer, now_s: float) -> None:
        if self._is_listing:
            self._apply_page(answer, now_s)
        else:
            self._apply_events(answer, now_s)

    def _apply_page(self, answer: StoreAnswer, now_s: float) -> None:
        for item in answer.items:
            if not item.is_removed:
                self._listed[item.name] = item
        if answer.has_more and answer.items:
            self._after = answer.items[-1].name
            return
        self._confirm(answer.as_of, now_s)
        self._after = ''
        self.objects = self._listed
        self._listed = {}
        self.on_objects(self.objects)
        self.listed_s = self._list_started_s
        self.on_listed(self.listed_s)

    def _apply_events(self, answer: StoreAnswer, now_s: float) -> None:
        self._confirm(max(self.version.as_of, answer.as_of), now_s)
        if not answer.items:
            return
        self.objects = dict(self.objects)
        for item in answer.items:
            if item.is_removed:
                self.objects.pop(item.name, None)
            else:
                self.objects[item.name] = item
        self._due_s = now_s + self.batch_delay_s
        self.on_objects(self.objects)
