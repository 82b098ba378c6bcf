"""Checks that a watch still tells what changes in the store."""

from collections.abc import Callable
from random import Random

from attrs import define

from cumindrift.fleet.backoff import backoff_s
from cumindrift.fleet.call import AnswerTag, CallVerb, StoreAnswer, StoreCall
from cumindrift.fleet.watcher import KindWatcher, index_by_name


@define(slots=True, eq=False, repr=False)
class CopyCheck:
    """Lists a watched kind from time to time and compares it with the copy.

    A store that is silent may take the request of a watch and never answer it,
    on a connection that stays alive. Such a watch looks like one that has
    nothing to report; a list ends within the short timeout of a call. Run by
    a balancer's store link, so failed checks also tell that the store is
    unreachable, and their success that it is back.

    The list may be seconds old, which makes it cheap for the store, but not
    after a check that has shown nothing: one that failed, or whose list was
    older than the copy.
    """

    watcher: KindWatcher
    # Returns the longest time between two checks.
    period_s: Callable[[], float]
    # Called when the copy lacked a change that its watch should have reported.
    on_missed: Callable[[], None]
    random: Random
    failure_count: int = 0
    _due_s: float = 0.0
    _is_running: bool = False

    @property
    def kind(self) -> str:
        """Returns the kind that is checked."""
        return self.watcher.kind

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any.

        While the watcher itself lists or pauses, there is nothing to check.
        """
        is_due = now_s >= self._due_s and self.watcher.is_watching
        if self._is_running or not is_due:
            return None
        self._is_running = True
        may_be_stale = self.failure_count == 0
        return StoreCall(CallVerb.LIST, self.kind, may_be_stale=may_be_stale)

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last check."""
        self._is_running = False
        is_older = answer.as_of < self.watcher.version.as_of
        if is_older or answer.tag is not AnswerTag.DONE:
            self.failure_count += 1
            self._due_s = now_s + backoff_s(self.failure_count, self.random)
            return
        self.failure_count = 0
        self._due_s = now_s + self.period_s() * (1 + self.random.random()) / 2
        if answer.has_more or not self.watcher.is_watching:
            # A part of a list cannot be compared.
            return
        objects = index_by_name(answer.items)
        if self.watcher.compare(objects, answer.as_of, now_s):
            self.on_missed()
