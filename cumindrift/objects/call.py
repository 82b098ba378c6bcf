"""Calls to the platform, as the store's core and its encodings share them."""

from enum import IntEnum, unique

from attrs import define

from cumindrift.objects.store import StoredObject


@unique
class CallKind(IntEnum):
    """What a call asks of the platform."""

    READ = 1
    WRITE = 2
    WATCH = 3


@unique
class AnswerKind(IntEnum):
    """What the platform answered, or that nobody can tell."""

    FOUND = 1
    WRITTEN = 2
    CONFLICT = 3
    UNCHANGED = 4
    FAILED = 5
    MALFORMED = 6


@define(frozen=True, slots=True)
class Call:
    """One question to the platform.

    `version` is the expected version of a write and the known version of a
    watch; a watch waits up to `wait_s` at the platform.
    """

    kind: CallKind
    key: str
    version: int = 0
    body: bytes = b''
    write_id: str = ''
    wait_s: float = 0.0


@define(frozen=True, slots=True)
class CallAnswer:
    """One answer; `stored` and `write_id` tell what is stored now."""

    kind: AnswerKind
    stored: StoredObject | None = None
    write_id: str = ''


@define(frozen=True, slots=True)
class StartCall:
    """Action: send a call, and tell the core how it ends."""

    call_id: int
    call: Call


@define(frozen=True, slots=True)
class StopCall:
    """Action: break off a call; the core waits for it no longer."""

    call_id: int


CallAction = StartCall | StopCall
