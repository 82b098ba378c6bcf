"""The context of a node: state that outlives its components."""

from collections.abc import Callable
from random import Random
from time import monotonic, time
from typing import TYPE_CHECKING, Any

from attrs import define, field

from cumindrift.event import EventLog
from cumindrift.fleet.link import CallSource, StoreHealth, StoreLink
from cumindrift.fleet.settings import NodeSettings
from cumindrift.port import DatagramPort
from cumindrift.supervision import ChildSpec

if TYPE_CHECKING:
    # Each role loads only the modules that it uses.
    from cumindrift.fleet.announcer import Announcer
    from cumindrift.fleet.copy_check import CopyCheck
    from cumindrift.fleet.directory import Directory
    from cumindrift.fleet.recorder import FlowRecorder
    from cumindrift.fleet.remover import Remover
    from cumindrift.fleet.watcher import KindWatcher

_MS_PER_S = 1000


@define(slots=True, eq=False, repr=False)
class NodeContext:
    """State shared by the supervisors of a node; built once by the daemon."""

    settings: NodeSettings
    is_first_start: bool
    clock: Callable[[], float] = monotonic
    random: Random = field(factory=Random)
    started_ms: int = field(factory=lambda: int(time() * _MS_PER_S))
    events: EventLog = field(init=False)
    health: StoreHealth = field(init=False)
    # A balancer has directory, watchers, copy checks and remover; an agent has
    # announcer and recorder.
    directory: 'Directory | None' = None
    watchers: 'dict[str, KindWatcher]' = field(factory=dict)
    copy_checks: 'dict[str, CopyCheck]' = field(factory=dict)
    remover: 'Remover | None' = None
    announcer: 'Announcer | None' = None
    recorder: 'FlowRecorder | None' = None
    # Further children of the fleet supervisor, added by the role.
    fleet_children: list[ChildSpec] = field(factory=list)
    # Set when the link is built.
    link: StoreLink | None = None
    # The core of the role; used by HTTP routes and ports.
    core: Any = None
    # Ports that are drained before each tick of the core.
    input_ports: list[DatagramPort] = field(factory=list)
    is_stopping: bool = False
    # The last response to the routers' readiness probe.
    reported_ready: bool = False
    # The newest manifest version that a peer is known to use.
    peer_manifest_version: int = 0
    # Passes changed settings to the core.
    on_settings: Callable[[NodeSettings], None] = lambda _settings: None
    # Starts the work that has to be done before the process ends.
    begin_shutdown: Callable[[], None] = lambda: None
    # Returns True when the process may end; called once per tick.
    may_exit: Callable[[float], bool] = lambda _now_s: True

    def __attrs_post_init__(self) -> None:
        """Builds the parts that every role has."""
        self.events = EventLog(self.settings.name, self.clock)
        self.health = StoreHealth(self.events)

    @property
    def sources(self) -> tuple[CallSource, ...]:
        """Returns everything that makes calls to the store."""
        own = (self.announcer, self.recorder, self.remover)
        return (
            *self.watchers.values(),
            *self.copy_checks.values(),
            *filter(None, own),
        )

    @property
    def needs_peers(self) -> bool:
        """Tells whether to read from peers what the store cannot deliver.

        For an evacuation it does not matter whether a call to the store has
        failed: a call that hangs fails too late for it.
        """
        directory = self.directory
        if not self.watchers:
            return False
        if directory.has_outdated_evacuations:
            return True
        is_behind = self.peer_manifest_version > directory.manifest.version
        is_missing = is_behind or not directory.is_complete
        return is_missing and self.health.is_unreachable

    def apply_settings(self, settings: NodeSettings) -> bool:
        """Applies changed settings; False if they require a restart."""
        known = self.settings
        bound = ('role', 'packets', 'readiness', 'peer', 'store')
        if any(
            getattr(known, each) != getattr(settings, each) for each in bound
        ):
            return False
        self.settings = settings
        self.on_settings(settings)
        return True
