"""Keeps one object in the store equal to its desired content."""

from random import Random
from typing import Any

from attrs import define

from cumindrift.fleet.backoff import backoff_s
from cumindrift.fleet.call import AnswerTag, CallVerb, StoreAnswer, StoreCall


@define(slots=True, eq=False, repr=False)
class Announcer:
    """Writes one object until the store holds the desired content.

    Every write is conditional: a create fails if the object exists, a
    replace fails if the object has changed. So a write can be repeated
    safely after a lost response, and an object that already has the desired
    content costs one call.
    """

    kind: str
    name: str
    random: Random
    desired: Any = None
    is_written: bool = False
    failure_count: int = 0
    _revision: int = 0
    _due_s: float = 0.0
    _is_running: bool = False
    _sent: Any = None

    def set_desired(self, content: Any) -> None:
        """Sets the desired content; None removes the object."""
        if content != self.desired:
            self.desired = content
            self.is_written = False
            self._due_s = 0.0

    def recheck(self) -> None:
        """Makes the next call check that the store holds the content."""
        if self.is_written and self.desired is not None:
            self._revision = 0
            self.is_written = False

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        is_idle = self.is_written or self._is_running
        if is_idle or now_s < self._due_s:
            return None
        verb = CallVerb.CREATE
        if self.desired is None:
            verb = CallVerb.REMOVE
        elif self._revision:
            verb = CallVerb.REPLACE
        self._is_running = True
        self._sent = self.desired
        return StoreCall(
            verb,
            self.kind,
            self.name,
            self._revision if verb is CallVerb.REPLACE else 0,
            self.desired,
        )

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last call."""
        self._is_running = False
        if answer.tag is AnswerTag.CONFLICT and answer.items:
            self.failure_count = 0
            self._on_conflict(answer)
        elif answer.tag is AnswerTag.ABSENT:
            self.failure_count = 0
            self._revision = 0
            self.is_written = self.desired is None
        elif answer.tag is AnswerTag.DONE:
            self.failure_count = 0
            self._revision = answer.items[0].revision if answer.items else 0
            self.is_written = self._sent == self.desired
        else:
            self.failure_count += 1
            self._due_s = now_s + backoff_s(self.failure_count, self.random)

    def _on_conflict(self, answer: StoreAnswer) -> None:
        """Compares with the stored object, which may need no change."""
        item = answer.items[0]
        self._revision = item.revision
        self.is_written = item.content == self.desired and not item.is_removed
