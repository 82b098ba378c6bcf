"""Test data of the settings: trees, a writer, and faulty stores."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.administration import check as _check
from cumindrift.code import ResultCode
from cumindrift.outcome import NotRun, Outcome, Unknown
from cumindrift.settings.edit import WriteRequest
from cumindrift.settings.path import ABSENT, parse_path
from cumindrift.settings.token import Author
from cumindrift.settings.tree import Snapshot
from cumindrift.settings.writer import SettingsWriter
from features.builders.store import MemoryStore

# Importing this module registers its checks.
CHECK_MODULES = (_check,)
SUPERVISOR = Author('supervisors')
KAYNTI = '/teams/todistajat/services/kaynti'


def bare_service(number: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a service with an address of its own."""
    return {'ip': f'10.20.0.{number}', 'port': 700, **changes}


def bare_tree() -> dict[str, Any]:
    """Returns a tree with two teams and three data centres."""
    places = ('hel-a', 'esp-b', 'van-c')
    return {
        'data_centres': {name: {'region': 'fi-south'} for name in places},
        'teams': {
            'todistajat': {
                'services': {
                    'kaynti': bare_service(1),
                    'asiakirja': bare_service(2),
                },
            },
            'studio': {'services': {'job-desk': bare_service(3)}},
        },
    }


@define(slots=True, eq=False)
class FakePublisher:
    """Publisher that confirms at once, or reports that nobody confirmed."""

    has_peers: bool = True
    published: list[Snapshot] = field(factory=list)
    reported: dict[Endpoint, int] = field(factory=dict)
    survey_count: int = 0

    def versions(self, now_s: float) -> dict[Endpoint, int]:
        """Returns the versions that the test set as reported."""
        return self.reported

    def survey(self) -> None:
        """Counts the calls."""
        self.survey_count += 1

    def publish(
        self,
        snapshot: Snapshot,
        on_replicated: Callable[[bool], None],
    ) -> bool:
        """Records the snapshot and calls back."""
        self.published.append(snapshot)
        on_replicated(self.has_peers)
        return True


@define(slots=True, eq=False)
class FaultyStore(MemoryStore):
    """Store with faults, which can also hold writes to pause a writer."""

    holds_writes: bool = False
    answers_lost_count: int = 0
    # Number of next writes to lose before they take effect; all writes after
    # these are answered as not run.
    writes_lost_count: int = 0
    read_only: bool = False
    held: list[tuple[Any, ...]] = field(factory=list)

    def write(self, *arguments: Any) -> None:
        """Writes, unless a fault applies or writes are held."""
        if self.holds_writes:
            self.held.append(arguments)
            return
        if self.writes_lost_count > 0:
            self.writes_lost_count -= 1
            self.read_only = True
            arguments[-1](Unknown(ResultCode.PLATFORM_ANSWER_LOST))
            return
        if self.read_only:
            arguments[-1](NotRun(ResultCode.PLATFORM_DOWN))
            return
        self.loses_answers = self.answers_lost_count > 0
        self.answers_lost_count -= 1
        super().write(*arguments)

    def release_writes(self) -> None:
        """Executes the held writes."""
        self.holds_writes = False
        held, self.held = self.held, []
        for arguments in held:
            self.write(*arguments)


@define(slots=True, eq=False)
class WriterFixture:
    """A writer with its store and publisher, and the outcomes of writes."""

    store: FaultyStore = field(factory=FaultyStore)
    publisher: FakePublisher = field(factory=FakePublisher)
    outcomes: dict[str, Outcome] = field(factory=dict)
    writer: SettingsWriter = field(init=False)
    version: int = 0

    def __attrs_post_init__(self) -> None:
        """Stores the tree as version 1."""
        self.writer = SettingsWriter(
            self.store,
            self.publisher,
            lambda: 1700000000.0,
        )
        self.write('first', '/', bare_tree())

    def write(
        self,
        write_id: str,
        path: str,
        content: Any = None,
        **changes: Any,
    ) -> Outcome | None:
        """Starts a write and returns its outcome, if it has one yet."""
        fields: dict[str, Any] = {
            'expected_version': self.version,
            'author': SUPERVISOR,
            'kind': 'remove' if content is ABSENT else 'put',
            **changes,
        }
        request = WriteRequest(
            path=parse_path(path),
            write_id=write_id,
            content=content,
            **fields,
        )
        self.writer.write(
            request,
            lambda outcome: self.outcomes.update({write_id: outcome}),
        )
        return self.outcomes.get(write_id)

    def record(self) -> Any:
        """Returns the stored record, also while the store is down."""
        found: list[Any] = []
        was_down, self.store.is_down = self.store.is_down, False
        self.writer.read_record(found.append)
        self.store.is_down = was_down
        return found[0].content
