"""Simulates a fleet's processes and its platform in virtual time."""

from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member
from cumindrift.membership.view import View
from cumindrift.objects.call import Call, CallAction, CallKind, StartCall
from cumindrift.objects.client import StoreCore
from cumindrift.objects.http import (
    HttpClientResponse,
    decode_answer,
    encode_call,
)
from cumindrift.objects.link import RemoteStore
from cumindrift.objects.rate_limiter import CallRateLimiter
from cumindrift.settings.distribution import Distribution
from cumindrift.settings.feeder import SETTINGS_KEY, Feeder
from cumindrift.settings.record import SettingsRecord, encode_record
from cumindrift.settings.snapshot import SnapshotStore, pack_snapshot
from cumindrift.settings.tree import DataCentre, Service, Snapshot, Team, Tree
from lab.network import VirtualNetwork
from standin.platform import PlatformModel

TICK_PERIOD_S = 0.1
STORE_DELAY_S = 0.002
PORT = 7100


def fleet_tree(
    version: int,
    service_count: int = 4,
    data_centre_count: int = 4,
) -> Tree:
    """Returns a settings tree whose ports depend on the version."""
    services = {
        f'service-{number}': Service(
            f'10.{number // 65536 % 256}.{number // 256 % 256}.{number % 256}',
            7000 + version % 1000,
        )
        for number in range(service_count)
    }
    data_centres = {
        f'dc-{number}': DataCentre('region')
        for number in range(data_centre_count)
    }
    return Tree(data_centres, {'team': Team(services)})


def record_body(version: int, tree: Tree) -> bytes:
    """Returns a tree as the platform stores it, without history."""
    return encode_record(SettingsRecord(version, tree)).content


@define(slots=True, eq=False)
class ModelLink:
    """Transfers calls between a client's core and the stand-in platform."""

    network: VirtualNetwork
    model: PlatformModel
    core: StoreCore
    is_reachable: Callable[[], bool]

    def perform(self, actions: list[CallAction]) -> None:
        """Starts calls; answers to stopped calls are ignored by the core."""
        for action in actions:
            if isinstance(action, StartCall):
                self.network.at(
                    self.network.now_s + STORE_DELAY_S,
                    partial(self._arrive, action),
                )

    def tick(self) -> None:
        """Advances the client's timers."""
        self.perform(self.core.tick(self.network.now_s))

    def _arrive(self, action: StartCall) -> None:
        if self.is_reachable() and not self.model.faults.is_down:
            self.model.handle(
                encode_call(action.call),
                self.network.now_s,
                partial(self._answer, action),
            )
        else:
            self._fail(action, was_sent=False)

    def _answer(
        self, action: StartCall, answer: HttpClientResponse | None
    ) -> None:
        if answer is None or not self.is_reachable():
            self._fail(action, was_sent=True)
            return
        decoded = decode_answer(action.call, answer)
        now_s = self.network.now_s
        self.perform(self.core.on_answer(action.call_id, decoded, now_s))

    def _fail(self, action: StartCall, *, was_sent: bool) -> None:
        self.perform(
            self.core.on_failure(
                action.call_id,
                self.network.now_s,
                was_sent=was_sent,
            ),
        )


def client_of_model(
    network: VirtualNetwork,
    model: PlatformModel,
    is_reachable: Callable[[], bool] = lambda: True,
) -> RemoteStore:
    """Returns a real client core, connected to the stand-in platform."""
    core = StoreCore(CallRateLimiter(Random(network.random.random())))
    link = ModelLink(network, model, core, is_reachable)
    network.every(TICK_PERIOD_S, link.tick)
    return RemoteStore(core, lambda: network.now_s, link.perform)


def put_body(
    model: PlatformModel,
    key: str,
    body: bytes,
    now_s: float,
) -> None:
    """Stores bytes as the next version of an object, without checks."""
    version = model.objects[key].version if key in model.objects else 0
    call = Call(CallKind.WRITE, key, version, body, 'plain')
    model.handle(encode_call(call), now_s, lambda _answer: None)


@define(slots=True, eq=False)
class FleetProcess:
    """The cores of one process, without its sockets."""

    me: Member
    network: VirtualNetwork
    store: RemoteStore | None
    snapshots: SnapshotStore = field(init=False)
    distribution: Distribution = field(init=False)
    feeder: Feeder | None = None
    view: View = field(factory=View)
    merged_roster: list[Member] = field(factory=list)
    applied_s: dict[int, float] = field(factory=dict)
    send: Callable[[Endpoint, Endpoint, Any], None] = field(init=False)
    is_dead: bool = False
    is_paused: bool = False

    def __attrs_post_init__(self) -> None:
        """Builds the cores and starts their ticks."""
        random = Random(self.network.random.random())
        self.snapshots = SnapshotStore(self._on_snapshot)
        self.distribution = Distribution(
            self.me.endpoint,
            (),
            random,
            self.snapshots,
        )
        if self.store is not None:
            self.feeder = Feeder(
                self.me,
                self.store,
                random,
                self.distribution,
                self._members,
                self.merged_roster.extend,
            )
        self.send = self.network.send
        self.network.receivers[self.me.endpoint] = self._receive
        self.network.every(TICK_PERIOD_S, self._tick)

    def apply_view(self, view: View) -> None:
        """Applies a view of the members."""
        self.view = view
        self.distribution.on_view(view)

    @property
    def version(self) -> int:
        """The version of the settings in force."""
        return self.snapshots.snapshot.version

    def _members(self) -> Iterable[Member]:
        return self.view.members.values()

    def _on_snapshot(self, snapshot: Snapshot) -> None:
        self.applied_s[snapshot.version] = self.network.now_s

    def _receive(self, message: Any, now_s: float) -> None:
        if not self.is_dead and not self.is_paused:
            self._send(self.distribution.receive(message, now_s))

    def _tick(self) -> None:
        if self.is_dead or self.is_paused:
            return
        self._send(self.distribution.tick(self.network.now_s))
        if self.feeder is not None:
            self.feeder.tick(self.network.now_s)

    def _send(self, actions: list[Any]) -> None:
        me = self.me.endpoint
        for action in actions:
            self.send(me, action.endpoint, action.message)


@define(slots=True, eq=False)
class Fleet:
    """A fleet and its platform; `with_feeders` adds platform clients."""

    member_count: int
    seed: int = 1
    loss_share: float = 0.0
    double_share: float = 0.0
    data_centre_count: int = 4
    with_feeders: bool = True
    network: VirtualNetwork = field(init=False)
    model: PlatformModel = field(factory=PlatformModel)
    processes: list[FleetProcess] = field(factory=list)
    # Data centres whose processes cannot reach the platform.
    cut_from_platform: set[str] = field(factory=set)
    _write_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Builds the processes, each with all others in its view."""
        self.network = VirtualNetwork(
            Random(self.seed),
            loss_share=self.loss_share,
            double_share=self.double_share,
        )
        self.network.every(
            TICK_PERIOD_S / 5,
            lambda: self.model.tick(self.network.now_s),
        )
        for _ in range(self.member_count):
            self.join()
        self.share_view()

    def join(self) -> FleetProcess:
        """Adds a process with an empty view."""
        number = len(self.processes)
        me = Member(
            name=f'process-{number}',
            role='agent',
            region='region',
            data_centre=f'dc-{number % self.data_centre_count}',
            endpoint=Endpoint(f'10.0.{number // 250}.{number % 250}', PORT),
            incarnation=1,
        )
        store = None
        if self.with_feeders:
            store = client_of_model(
                self.network,
                self.model,
                lambda: me.data_centre not in self.cut_from_platform,
            )
        process = FleetProcess(me, self.network, store)
        self.processes.append(process)
        return process

    def share_view(self) -> None:
        """Gives every process a view of the living, as membership would."""
        view = View(process.me for process in self.alive())
        for process in self.alive():
            process.apply_view(view)

    def alive(self) -> list[FleetProcess]:
        """Returns the processes that were not killed."""
        return [process for process in self.processes if not process.is_dead]

    def feeders(self) -> list[FleetProcess]:
        """Returns the processes whose feeder is active."""
        return [
            process
            for process in self.alive()
            if process.feeder is not None and process.feeder.is_active
        ]

    def write_settings(self, service_count: int = 4) -> int:
        """Writes the next version by a call, as an outside writer would."""
        self._write_count += 1
        version = self._write_count
        body = record_body(
            version,
            fleet_tree(version, service_count, self.data_centre_count),
        )
        client_of_model(self.network, self.model).write(
            SETTINGS_KEY,
            body,
            version - 1,
            f'write-{version}',
            lambda _outcome: None,
        )
        return version

    def cut(self, data_centres: set[str]) -> None:
        """Cuts some data centres from the others and from the platform."""
        inside = {
            process.me.endpoint
            for process in self.processes
            if process.me.data_centre in data_centres
        }
        self.cut_from_platform = data_centres
        self.network.is_cut = lambda one, other: (
            (one in inside) != (other in inside)
        )

    def heal(self) -> None:
        """Ends all cuts."""
        self.cut_from_platform = set()
        self.network.is_cut = lambda _one, _other: False

    def replace_settings(self, body: bytes) -> None:
        """Stores arbitrary bytes as the next version of the settings."""
        self._write_count += 1
        put_body(self.model, SETTINGS_KEY, body, self.network.now_s)

    def run(self, seconds: float) -> None:
        """Runs the fleet for some virtual time."""
        self.network.run(self.network.now_s + seconds)

    def versions(self) -> set[int]:
        """Returns all settings versions in force at living processes."""
        return {process.version for process in self.alive()}


def packed_bytes(service_count: int) -> int:
    """Returns the packed size of a tree with `service_count` services."""
    return len(pack_snapshot(Snapshot(1, fleet_tree(1, service_count))).octets)
