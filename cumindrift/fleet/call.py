"""Calls to the platform's store and their results, without encoding."""

from enum import Enum, unique
from typing import Any

from attrs import define, field


@unique
class CallVerb(Enum):
    """The operation of a call."""

    LIST = 'list'
    WATCH = 'watch'
    # What a watch would report at once; answered even if that is nothing.
    CHANGES = 'changes'
    READ = 'read'
    CREATE = 'create'
    REPLACE = 'replace'
    REMOVE = 'remove'


@define(frozen=True, slots=True, eq=False, repr=False)
class StoreCall:
    """One call to the store.

    `revision` is the revision after which changes are wanted, or which a write
    requires (0 for none). `wait_s` is the longest time that a watch waits.
    `after` is the last name of the previous page of a list.
    """

    verb: CallVerb
    kind: str
    name: str = ''
    revision: int = 0
    content: Any = None
    wait_s: float = 0.0
    after: str = ''
    # Accepts data that may be seconds old; such a call costs a tenth of a
    # consistent one.
    may_be_stale: bool = False


@unique
class AnswerTag(Enum):
    """The result of a call."""

    DONE = 'done'
    ABSENT = 'absent'
    CONFLICT = 'conflict'
    # The store has dropped the history from which a watch would continue.
    HISTORY_GONE = 'history gone'
    BUSY = 'busy'
    # No response: the call may or may not have taken effect.
    LOST = 'lost'
    MALFORMED = 'malformed'


@define(frozen=True, slots=True, eq=False, repr=False)
class StoreItem:
    """One object of the store, with the content that its writer stored."""

    name: str
    revision: int
    content: Any = None
    is_removed: bool = False


@define(frozen=True, slots=True, eq=False, repr=False)
class StoreAnswer:
    """The response to a call; `as_of` is the store's revision."""

    tag: AnswerTag
    items: tuple[StoreItem, ...] = ()
    as_of: int = 0
    has_more: bool = False
    unreadable_count: int = field(default=0)
