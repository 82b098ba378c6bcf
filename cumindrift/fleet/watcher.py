"""Watches one kind of store objects: lists them, then watches changes."""

from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field

from cumindrift.fleet.backoff import BACKOFF_MIN_S, backoff_s
from cumindrift.fleet.call import (
    AnswerTag,
    CallVerb,
    StoreAnswer,
    StoreCall,
    StoreItem,
)
from cumindrift.fleet.copy_version import NOT_READ, CopyVersion

# A watch that has ended is started again, which costs a call, so it waits
# long. Dead connections are detected by TCP keep-alive, and a watch that the
# store does not know by `CopyCheck`.
WATCH_WAIT_MAX_S = 25.0
# Balancers that start together would otherwise renew their watches together.
WATCH_WAIT_JITTER_S = 5.0

Objects = dict[str, StoreItem]


@define(slots=True, eq=False, repr=False)
class Listing:
    """The pages of a list that have arrived so far."""

    started_s: float = 0.0
    objects: Objects = field(factory=dict)
    # The last name of the last page; empty before the first one.
    after: str = ''
    as_of: int = NOT_READ

    def add_page(self, answer: StoreAnswer) -> None:
        """Adds a page.

        The list has every change up to its first page: names of earlier pages
        may change before the last one is read.
        """
        if self.as_of == NOT_READ:
            self.as_of = answer.as_of
        self.objects.update(index_by_name(answer.items))
        if answer.items:
            self.after = answer.items[-1].name


@define(slots=True, eq=False, repr=False)
class KindWatcher:
    """Maintains a copy of all objects of one kind; run by the store's link.

    The copy never goes back: the answer to a call that began before a peer's
    newer copy was adopted is left out, and the next call goes on from the
    adopted copy. `batch_delay_s` is the least pause after a change, so that
    changes in quick succession arrive in one response; it is twice as long at
    most.
    """

    kind: str
    on_objects: Callable[[Objects], None]
    random: Random
    batch_delay_s: float = 0.0
    objects: Objects = field(factory=dict)
    version: CopyVersion = field(factory=CopyVersion)
    failure_count: int = 0
    on_listed: Callable[[float], None] = lambda _list_started_s: None
    _needs_list: bool = True
    _listing: Listing = field(factory=Listing)
    _due_s: float = 0.0
    _is_running: bool = False
    _is_listing: bool = False
    _call_started_s: float = 0.0
    # Whether a peer's copy was adopted while the call runs.
    _is_superseded: bool = False

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        if self._is_running or now_s < self._due_s:
            return None
        self._is_running = True
        self._is_superseded = False
        self._call_started_s = now_s
        self._is_listing = self._needs_list
        if not self._is_listing:
            jitter_s = WATCH_WAIT_JITTER_S * self.random.random()
            return StoreCall(
                CallVerb.WATCH,
                self.kind,
                revision=self.version.as_of,
                wait_s=WATCH_WAIT_MAX_S - jitter_s,
            )
        if self._listing.as_of == NOT_READ:
            self._listing.started_s = now_s
        return StoreCall(CallVerb.LIST, self.kind, after=self._listing.after)

    @property
    def is_watching(self) -> bool:
        """Tells whether a watch is running; `list_again` may replace it."""
        return self._is_running and not self._is_listing

    def has_watched_for(self, seconds: float, now_s: float) -> bool:
        """Tells whether a watch has been running for at least `seconds`."""
        return self.is_watching and now_s - self._call_started_s >= seconds

    def list_again(self) -> None:
        """Makes the next call a list; no call may be running."""
        self._needs_list = True
        self._listing = Listing()
        self._is_running = False
        self._due_s = 0.0

    def adopt(self, objects: Objects, as_of: int, now_s: float) -> bool:
        """Takes over a peer's copy if it is newer; tells whether it was."""
        if as_of <= self.version.as_of:
            return False
        self._is_superseded = self._is_running
        self._take(objects, as_of, now_s)
        return True

    def compare(self, objects: Objects, as_of: int, now_s: float) -> bool:
        """Compares the copy with a list of the store; adopts a newer one.

        Returns whether the list has a change that the copy lacked.
        """
        if as_of < self.version.as_of:
            return False
        changed_as_of = revision_of_change(self.objects, objects, as_of)
        if changed_as_of == NOT_READ:
            self.version.confirm(as_of, NOT_READ, now_s)
            return False
        return self.adopt(objects, as_of, now_s)

    def catch_up(self, since: int, changes: StoreAnswer, now_s: float) -> bool:
        """Applies all changes of the store after the revision `since`.

        Returns whether there was a change that the copy lacked. A copy that
        has advanced meanwhile is left alone: its watch works.
        """
        if self.version.as_of != since:
            return False
        objects = apply_changes(self.objects, changes.items)
        return self.compare(objects, changes.as_of, now_s)

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last call."""
        self._is_running = False
        is_known = answer.tag in {AnswerTag.HISTORY_GONE, AnswerTag.DONE}
        if not is_known:
            self._fail(now_s)
            return
        self.failure_count = 0
        if self._is_superseded:
            self._due_s = 0.0
        elif answer.tag is AnswerTag.HISTORY_GONE:
            self.list_again()
        elif self._is_listing:
            self._apply_page(answer, now_s)
        else:
            self._apply_events(answer, now_s)

    def _fail(self, now_s: float) -> None:
        self.failure_count += 1
        self._due_s = now_s + backoff_s(self.failure_count, self.random)

    def _apply_page(self, answer: StoreAnswer, now_s: float) -> None:
        listing = self._listing
        listing.add_page(answer)
        if answer.has_more and answer.items:
            return
        self._take(listing.objects, listing.as_of, now_s)
        self.version.listed_s = listing.started_s
        self.on_listed(listing.started_s)

    def _apply_events(self, answer: StoreAnswer, now_s: float) -> None:
        if answer.as_of < self.version.as_of:
            # A list has confirmed the copy for a later revision meanwhile, so
            # an object that these events add may be gone again.
            self._due_s = now_s + BACKOFF_MIN_S
            return
        if answer.items:
            # All balancers hear of a change at the same moment; one short
            # silence must not take the next watches of all of them.
            pause_s = self.batch_delay_s * (1 + self.random.random())
            self._due_s = now_s + pause_s
            objects = apply_changes(self.objects, answer.items)
            self._take(objects, answer.as_of, now_s)
        else:
            self.version.confirm(answer.as_of, NOT_READ, now_s)

    def _take(self, objects: Objects, as_of: int, now_s: float) -> None:
        """Replaces the copy by one that is complete up to `as_of`."""
        self._needs_list = False
        self._listing = Listing()
        changed_as_of = revision_of_change(self.objects, objects, as_of)
        self.version.confirm(as_of, changed_as_of, now_s)
        self.objects = objects
        self.on_objects(objects)


def index_by_name(items: Iterable[StoreItem]) -> Objects:
    """Returns the objects of a list by name, without those being removed."""
    return {item.name: item for item in items if not item.is_removed}


def apply_changes(known: Objects, changes: Iterable[StoreItem]) -> Objects:
    """Returns a copy with the changes that the store reports, oldest first."""
    objects = dict(known)
    for item in changes:
        found = objects.get(item.name)
        if found is not None and 0 < item.revision < found.revision:
            # A later page of the list already had a newer version.
            continue
        if item.is_removed:
            objects.pop(item.name, None)
        else:
            objects[item.name] = item
    return objects


def revision_of_change(known: Objects, objects: Objects, as_of: int) -> int:
    """Returns a revision that includes all changes between two copies.

    For a removal that is the new copy's revision, since the removal's own is
    not known. NOT_READ if the copies are the same.
    """
    if known.keys() - objects.keys():
        return as_of
    changed = [
        item.revision
        for item in objects.values()
        if item.name not in known or known[item.name].revision != item.revision
    ]
    return max(changed, default=NOT_READ)
