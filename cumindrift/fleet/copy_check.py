"""Checks that a watch still tells what changes in the store."""

from collections.abc import Callable
from random import Random

from attrs import define

from cumindrift.fleet.backoff import backoff_s
from cumindrift.fleet.call import AnswerTag, StoreAnswer, StoreCall
from cumindrift.fleet.check_method import CheckMethod
from cumindrift.fleet.watcher import KindWatcher

# A watch reports at once what has changed before it began, unless it is lost.
WATCH_GRACE_S = 0.3


@define(slots=True, eq=False, repr=False)
class CopyCheck:
    """Asks the store from time to time whether a copy lacks a change.

    A store that is silent may take the request of a watch and never answer it,
    on a connection that stays alive. Such a watch looks like one that has
    nothing to report; a check ends within the short timeout of a call. Run by
    a balancer's store link, so failed checks also tell that the store is
    unreachable, and their success that it is back.

    The answer may be seconds old, which makes it cheap for the store, but for
    a random share of the checks, `fresh_share`, and not after a check that has
    shown nothing: one that failed, or whose answer was older than the copy.
    """

    watcher: KindWatcher
    method: CheckMethod
    # Returns the longest time between two checks.
    period_s: Callable[[], float]
    # Called when the copy lacked a change that its watch should have reported.
    on_missed: Callable[[], None]
    # Called when the store has dropped the history after the copy.
    on_history_gone: Callable[[], None]
    random: Random
    fresh_share: Callable[[], float]
    failure_count: int = 0
    _due_s: float = 0.0
    _call: StoreCall | None = None

    @property
    def kind(self) -> str:
        """Returns the kind that is checked."""
        return self.watcher.kind

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any.

        While the watcher itself lists or pauses, there is nothing to check;
        nor is there when its watch has just begun.
        """
        is_watching = self.watcher.has_watched_for(WATCH_GRACE_S, now_s)
        is_due = now_s >= self._due_s and is_watching
        if self._call is not None or not is_due:
            return None
        is_fresh = self.random.random() < self.fresh_share()
        may_be_stale = self.failure_count == 0 and not is_fresh
        self._call = self.method.build_call(
            self.watcher, may_be_stale=may_be_stale
        )
        return self._call

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last check."""
        call = self._call
        self._call = None
        if self._has_failed(answer):
            self.failure_count += 1
            self._due_s = now_s + backoff_s(self.failure_count, self.random)
            return
        self.failure_count = 0
        self._due_s = now_s + self.period_s() * (1 + self.random.random()) / 2
        if not self.watcher.is_watching:
            return
        if answer.tag is AnswerTag.HISTORY_GONE:
            self.on_history_gone()
        elif self.method.catch_up(self.watcher, call, answer, now_s):
            self.on_missed()

    def _has_failed(self, answer: StoreAnswer) -> bool:
        """Tells whether an answer shows nothing about the copy."""
        if answer.tag is AnswerTag.HISTORY_GONE:
            return False
        is_older = answer.as_of < self.watcher.version.as_of
        return is_older or answer.tag is not AnswerTag.DONE
