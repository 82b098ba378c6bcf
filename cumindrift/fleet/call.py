"""Calls to the platform's store and their answers, apart from encoding."""

from enum import Enum, unique
from typing import Any

from attrs import define, field


@unique
class CallVerb(Enum):
    """What a call asks."""

    LIST = 'list'
    WATCH = 'watch'
    READ = 'read'
    CREATE = 'create'
    REPLACE = 'replace'
    REMOVE = 'remove'


@define(frozen=True, slots=True, eq=False, repr=False)
class StoreCall:
    """One question to the store.

    `revision` is where a watch goes on, or the condition of a write (0 for
    none); `wait_s` is how long a watch waits; `after` continues a list.
    """

    verb: CallVerb
    kind: str
    name: str = ''
    revision: int = 0
    content: Any = None
    wait_s: float = 0.0
    after: str = ''
    # An answer may be seconds old, and then costs a tenth.
    may_be_stale: bool = False


@unique
class AnswerTag(Enum):
    """How a call ended."""

    DONE = 'done'
    ABSENT = 'absent'
    CONFLICT = 'conflict'
    # The store no longer has the history that a watch wants to go on from.
    HISTORY_GONE = 'history gone'
    BUSY = 'busy'
    # Nobody knows whether it was done.
    LOST = 'lost'
    MALFORMED = 'malformed'


@define(frozen=True, slots=True, eq=False, repr=False)
class StoreItem:
    """One object of the store; `content` is what its writer put there."""

    name: str
    revision: int
    content: Any = None
    is_removed: bool = False


@define(frozen=True, slots=True, eq=False, repr=False)
class StoreAnswer:
    """What a call gave; `as_of` is the store's revision."""

    tag: AnswerTag
    items: tuple[StoreItem, ...] = ()
    as_of: int = 0
    has_more: bool = False
    unreadable_count: int = field(default=0)
