"""The context of a node: the beliefs that outlive its components."""

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
    # Each role loads only those that it builds.
    from cumindrift.fleet.announcer import Announcer
    from cumindrift.fleet.directory import Directory
    from cumindrift.fleet.recorder import FlowRecorder
    from cumindrift.fleet.remover import Remover
    from cumindrift.fleet.watcher import KindWatcher

_MS_PER_S = 1000


@define(slots=True, eq=False, repr=False)
class NodeContext:
    """What the supervisors of one node share; built once by the daemon."""

    settings: NodeSettings
    is_first_start: bool
    clock: Callable[[], float] = monotonic
    random: Random = field(factory=Random)
    started_ms: int = field(factory=lambda: int(time() * _MS_PER_S))
    events: EventLog = field(init=False)
    health: StoreHealth = field(init=False)
    # What a balancer believes and follows; what an agent writes.
    directory: 'Directory | None' = None
    watchers: 'dict[str, KindWatcher]' = field(factory=dict)
    remover: 'Remover | None' = None
    announcer: 'Announcer | None' = None
    recorder: 'FlowRecorder | None' = None
    # Children of the fleet supervisor that only one role has.
    fleet_children: list[ChildSpec] = field(factory=list)
    # Set while the link runs.
    link: StoreLink | None = None
    # The core of the role, which HTTP routes ask.
    core: Any = None
    # Where what others tell the core comes in.
    inlets: list[DatagramPort] = field(factory=list)
    is_stopping: bool = False
    # What the routers were told last.
    reported_ready: bool = False
    # The newest version of the manifest that a peer acts by.
    peer_manifest_version: int = 0
    # Hands changed settings to the core.
    on_settings: Callable[[NodeSettings], None] = lambda _settings: None
    # Starts what has to be done before the process may end.
    begin_shutdown: Callable[[], None] = lambda: None
    # Answers True when the process may end; asked once a tick.
    may_exit: Callable[[float], bool] = lambda _now_s: True

    def __attrs_post_init__(self) -> None:
        """Builds what every role has."""
        self.events = EventLog(self.settings.name, self.clock)
        self.health = StoreHealth(self.events)

    @property
    def sources(self) -> tuple[CallSource, ...]:
        """Returns all that asks the store."""
        own = (self.announcer, self.recorder, self.remover)
        return (*self.watchers.values(), *filter(None, own))

    @property
    def needs_peers(self) -> bool:
        """Tells whether peers may know what the store does not tell."""
        directory = self.directory
        if not self.watchers or not self.health.is_unreachable:
            return False
        is_behind = self.peer_manifest_version > directory.manifest.version
        return is_behind or not directory.is_complete

    def apply_settings(self, settings: NodeSettings) -> bool:
        """Takes changed settings; False when they need a new process."""
        known = self.settings
        bound = ('role', 'packets', 'readiness', 'peer', 'store')
        if any(
            getattr(known, each) != getattr(settings, each) for each in bound
        ):
            return False
        self.settings = settings
        self.on_settings(settings)
        return True
