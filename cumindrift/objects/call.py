"""Calls to the object store and their results, without encoding."""

from enum import IntEnum, unique

from attrs import define

from cumindrift.objects.store import StoredObject


@unique
class CallKind(IntEnum):
    """The operation of a call."""

    READ = 1
    WRITE = 2
    WATCH = 3


@unique
class AnswerKind(IntEnum):
    """The result of a call."""

    FOUND = 1
    WRITTEN = 2
    CONFLICT = 3
    UNCHANGED = 4
    FAILED = 5
    MALFORMED = 6


@define(frozen=True, slots=True)
class Call:
    """One call to the object store.

    `version` is the expected version of a write, or the known version of a
    watch. `wait_s` is the longest time that the store holds a watch open.
    """

    kind: CallKind
    key: str
    version: int = 0
    body: bytes = b''
    write_id: str = ''
    wait_s: float = 0.0


@define(frozen=True, slots=True)
class CallAnswer:
    """One response; `stored` and `write_id` describe the stored object."""

    kind: AnswerKind
    stored: StoredObject | None = None
    write_id: str = ''


@define(frozen=True, slots=True)
class StartCall:
    """Action: send a call and report its end to the core."""

    call_id: int
    call: Call


@define(frozen=True, slots=True)
class StopCall:
    """Action: cancel a call whose result is no longer needed."""

    call_id: int


CallAction = StartCall | StopCall
