"""Builds object stores for tests: in memory, and with a stand-in."""

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.objects.link import RemoteStore
from cumindrift.objects.store import (
    ABSENT_VERSION,
    StoreCallback,
    StoredObject,
)
from cumindrift.outcome import Done, NotRun, Refused, Unknown
from lab.network import VirtualNetwork
from lab.platform_fleet import client_of_model
from standin.platform import PlatformFaults, PlatformModel

FAULTS = {
    'none': PlatformFaults(),
    'down': PlatformFaults(is_down=True),
    'slow': PlatformFaults(slow_s=2.0),
    'stuck': PlatformFaults(slow_s=60.0),
    'losing': PlatformFaults(loses_answers=True),
    'garbling': PlatformFaults(garbles=True),
}


@define(slots=True, eq=False)
class MemoryStore:
    """An `ObjectStore` in memory that responds at once, with faults."""

    objects: dict[str, StoredObject] = field(factory=dict)
    write_ids: dict[str, str] = field(factory=dict)
    is_down: bool = False
    loses_answers: bool = False
    read_count: int = 0
    write_count: int = 0
    _watches: list[tuple[str, int, StoreCallback]] = field(factory=list)

    def read(self, key: str, on_outcome: StoreCallback) -> None:
        """Returns the object, or code 500 while down."""
        self.read_count += 1
        if self.is_down:
            on_outcome(NotRun(ResultCode.PLATFORM_DOWN))
        else:
            on_outcome(Done(self._current(key)))

    def write(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        write_id: str,
        on_outcome: StoreCallback,
    ) -> None:
        """Writes conditionally; a write may take effect without response."""
        self.write_count += 1
        if self.is_down:
            on_outcome(NotRun(ResultCode.PLATFORM_DOWN))
            return
        current = self._current(key)
        is_repeated = self.write_ids.get(key) == write_id
        if not is_repeated and current.version != expected_version:
            on_outcome(Refused(ResultCode.PLATFORM_CONFLICT, key))
            return
        if not is_repeated:
            current = StoredObject(key, current.version + 1, body)
            self.objects[key] = current
            self.write_ids[key] = write_id
        if self.loses_answers:
            on_outcome(Unknown(ResultCode.PLATFORM_ANSWER_LOST))
        else:
            on_outcome(Done(current))
        self._wake(current)

    def watch(
        self,
        key: str,
        known_version: int,
        on_outcome: StoreCallback,
    ) -> None:
        """Calls back when a newer version is written."""
        self.read_count += 1
        current = self._current(key)
        if self.is_down:
            on_outcome(NotRun(ResultCode.PLATFORM_DOWN))
        elif current.version > known_version:
            on_outcome(Done(current))
        else:
            self._watches.append((key, known_version, on_outcome))

    def _current(self, key: str) -> StoredObject:
        absent = StoredObject(key, ABSENT_VERSION, b'')
        return self.objects.get(key, absent)

    def _wake(self, current: StoredObject) -> None:
        woken = [
            watch
            for watch in self._watches
            if watch[0] == current.key and watch[1] < current.version
        ]
        for watch in woken:
            self._watches.remove(watch)
            watch[2](Done(current))


@define(frozen=True, slots=True)
class StandInStore:
    """The real client's core with the stand-in's model, in virtual time."""

    model: PlatformModel
    store: RemoteStore


def stand_in_store(network: VirtualNetwork) -> StandInStore:
    """Returns a client with a stand-in of its own."""
    model = PlatformModel()
    network.every(0.02, lambda: model.tick(network.now_s))
    return StandInStore(model, client_of_model(network, model))
