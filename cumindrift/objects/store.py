"""The object store as the rest of the system sees it."""

from collections.abc import Callable
from typing import Protocol

from attrs import define

from cumindrift.outcome import NotRun, Outcome, Refused

VALUE_BYTES_MAX = 1024 * 1024
# The version of an object that is not there yet.
ABSENT_VERSION = 0


@define(frozen=True, slots=True)
class StoredObject:
    """One object of the platform, as a read or a watch gives it."""

    key: str
    version: int
    body: bytes


StoreCallback = Callable[[Outcome], None]


class ObjectStore(Protocol):
    """Reads, writes and watches objects; answers come by callback.

    The platform client implements it over HTTP, `MemoryStore` of the
    builders in memory. `Done` holds a `StoredObject`; codes 5xx tell the
    rest: `Refused` 502 when another version is stored (the write did not
    happen), `NotRun` 500 when the platform was not reached, `Unknown` 503
    when a write may have taken effect. A lost answer is resolved by reading
    and comparing the write id, which is stored with the object.
    """

    def read(self, key: str, on_outcome: StoreCallback) -> None:
        """Reads one object; an absent one has version 0 and no body."""

    def write(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        write_id: str,
        on_outcome: StoreCallback,
    ) -> None:
        """Writes if `expected_version` is stored; the same id only once."""

    def watch(
        self,
        key: str,
        known_version: int,
        on_outcome: StoreCallback,
    ) -> None:
        """Waits for a version above `known_version`, then answers once."""


def is_certainly_unwritten(outcome: Outcome) -> bool:
    """Tells whether a write certainly did not take effect."""
    return isinstance(outcome, NotRun | Refused)
