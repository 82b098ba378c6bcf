"""Ways to ask the store whether a copy of a kind lacks a change."""

from typing import Protocol

from cumindrift.fleet.call import CallVerb, StoreAnswer, StoreCall
from cumindrift.fleet.watcher import KindWatcher, index_by_name
from cumindrift.registry import Registry


class CheckMethod(Protocol):
    """A way to check a copy; it keeps no state between calls."""

    def build_call(
        self, watcher: KindWatcher, *, may_be_stale: bool
    ) -> StoreCall:
        """Returns the call whose answer shows what the copy lacks."""

    def catch_up(
        self,
        watcher: KindWatcher,
        call: StoreCall,
        answer: StoreAnswer,
        now_s: float,
    ) -> bool:
        """Brings the copy up to date; tells whether it lacked a change."""


check_methods: Registry[type[CheckMethod]] = Registry('check method')


@check_methods.register('list')
class ListMethod:
    """Reads all objects, for a kind that has few and small ones."""

    def build_call(
        self, watcher: KindWatcher, *, may_be_stale: bool
    ) -> StoreCall:
        """Returns a list of the kind."""
        return StoreCall(CallVerb.LIST, watcher.kind, may_be_stale=may_be_stale)

    def catch_up(
        self,
        watcher: KindWatcher,
        call: StoreCall,
        answer: StoreAnswer,
        now_s: float,
    ) -> bool:
        """Compares the copy with the list, unless the list has more pages."""
        if answer.has_more:
            return False
        objects = index_by_name(answer.items)
        return watcher.compare(objects, answer.as_of, now_s)


@check_methods.register('changes')
class ChangesMethod:
    """Reads what has changed after the copy's revision, mostly nothing.

    For a kind whose objects are too large, or too many, to be read again and
    again.
    """

    def build_call(
        self, watcher: KindWatcher, *, may_be_stale: bool
    ) -> StoreCall:
        """Returns a call for the changes after the copy's revision."""
        return StoreCall(
            CallVerb.CHANGES,
            watcher.kind,
            revision=watcher.version.as_of,
            may_be_stale=may_be_stale,
        )

    def catch_up(
        self,
        watcher: KindWatcher,
        call: StoreCall,
        answer: StoreAnswer,
        now_s: float,
    ) -> bool:
        """Applies the changes, unless the copy has advanced meanwhile."""
        return watcher.catch_up(call.revision, answer, now_s)
