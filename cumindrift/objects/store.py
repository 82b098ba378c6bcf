"""The interface of the object store."""

from collections.abc import Callable
from typing import Protocol

from attrs import define

from cumindrift.outcome import NotRun, Outcome, Refused

VALUE_BYTES_MAX = 1024 * 1024
# The version of an object that does not exist.
ABSENT_VERSION = 0


@define(frozen=True, slots=True)
class StoredObject:
    """One object of the store, with its version."""

    key: str
    version: int
    body: bytes


StoreCallback = Callable[[Outcome], None]


class ObjectStore(Protocol):
    """Reads, writes and watches objects; outcomes come by callback.

    `RemoteStore` implements it over HTTP, the tests' `MemoryStore` in
    memory. The outcome `Done` holds a `StoredObject`; the others have a code
    5xx. `Refused` 502: another version is stored, the write did not take
    effect. `NotRun` 500: the store was not reached. `Unknown` 503: a write
    may have taken effect. After a lost response the client reads the object
    and compares the write id, which is stored with the object.
    """

    def read(self, key: str, on_outcome: StoreCallback) -> None:
        """Reads one object; a missing one has version 0 and no body."""

    def write(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        write_id: str,
        on_outcome: StoreCallback,
    ) -> None:
        """Writes an object if its stored version is `expected_version`.

        `write_id` identifies the write, so that a retry after a lost response
        does not apply it twice.
        """

    def watch(
        self,
        key: str,
        known_version: int,
        on_outcome: StoreCallback,
    ) -> None:
        """Waits for a version above `known_version`; calls back once."""


def is_certainly_unwritten(outcome: Outcome) -> bool:
    """Tells whether a write certainly did not take effect."""
    return isinstance(outcome, NotRun | Refused)
