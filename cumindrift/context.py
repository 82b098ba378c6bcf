"""The context of a process: cores that outlive their components."""

from collections.abc import Callable
from random import Random
from time import monotonic, time
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.keyring import Keyring
from cumindrift.membership.core import MembershipCore
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.view import View
from cumindrift.objects.client import StoreCore
from cumindrift.objects.link import RemoteStore
from cumindrift.objects.rate_limiter import CallRateLimiter
from cumindrift.settings.distribution import Distribution
from cumindrift.settings.feeder import Feeder
from cumindrift.settings.process import ProcessSettings
from cumindrift.settings.snapshot import SnapshotStore
from cumindrift.settings.tree import Snapshot
from cumindrift.traffic.frame import SteeredCodec
from cumindrift.wire import encode_message

Receiver = Callable[[Any, float], None]

_MS_PER_S = 1000


@define(slots=True, eq=False)
class Context:
    """State shared by the supervisors of a process.

    Built once by the daemon. Components are rebuilt by restarts, the cores
    in here are not, so a restart loses no flows, settings or members.
    """

    settings: ProcessSettings
    me: Member
    keyring: Keyring
    random: Random = field(factory=Random)
    clock: Callable[[], float] = monotonic
    codec: SteeredCodec = field(factory=SteeredCodec)
    # Set by the running peer port.
    send_frame: Callable[[Endpoint, bytes], None] = lambda _peer, _frame: None
    send_raw: Callable[[Endpoint, bytes], None] = lambda _peer, _octets: None
    # Message receivers by family number; registered by supervisors at start.
    receivers: dict[int, Receiver] = field(factory=dict)
    view_listeners: list[Callable[[View], None]] = field(factory=list)
    snapshot_listeners: list[Callable[[Snapshot], None]] = field(factory=list)
    # Called once per tick during a graceful stop until each has returned True.
    stop_steps: list[Callable[[float], bool]] = field(factory=list)
    is_stopping: bool = False
    # Set by the daemon: begins a graceful stop.
    request_stop: Callable[[], None] = lambda: None
    membership: MembershipCore = field(init=False)
    snapshots: SnapshotStore = field(init=False)
    distribution: Distribution = field(init=False)
    store: RemoteStore = field(init=False)
    feeder: Feeder = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the cores that every role has."""
        seeds = tuple(Endpoint.parse(seed) for seed in self.settings.seeds)
        self.membership = MembershipCore(
            self.me,
            seeds,
            self.random,
            self._publish_view,
        )
        self.snapshots = SnapshotStore(self._publish_snapshot)
        self.distribution = Distribution(
            self.me.endpoint,
            seeds,
            self.random,
            self.snapshots,
        )
        self.store = RemoteStore(
            StoreCore(CallRateLimiter(self.random)), self.clock
        )
        self.feeder = Feeder(
            self.me,
            self.store,
            self.random,
            self.distribution,
            self.membership.members,
            self._merge_members,
        )

    def send(self, peer: Endpoint, message: Any) -> None:
        """Encodes a message of any family and sends it to a peer."""
        self.send_frame(peer, encode_message(message))

    def send_all(self, actions: list[Any]) -> None:
        """Sends every `SendMessage` of a core."""
        for action in actions:
            self.send(action.endpoint, action.message)

    def _merge_members(self, members: tuple[Member, ...]) -> None:
        self.membership.merge(members, self.clock())

    def _publish_view(self, view: View) -> None:
        for listener in self.view_listeners:
            listener(view)

    def _publish_snapshot(self, snapshot: Snapshot) -> None:
        self.membership.on_data_centres_out(snapshot.tree.data_centres_out())
        for listener in self.snapshot_listeners:
            listener(snapshot)


def make_context(settings: ProcessSettings) -> Context:
    """Builds the context of a process from its settings file."""
    target = settings.target
    me = Member(
        name=settings.name,
        role=settings.role,
        region=settings.region,
        data_centre=settings.data_centre,
        endpoint=Endpoint.parse(settings.peer),
        incarnation=int(time() * _MS_PER_S),
        state=MemberState.SERVING,
        team=target.team if target else '',
        service=target.service if target else '',
    )
    return Context(settings, me, Keyring(settings.key_octets()))
