"""Builds members, rosters and chunks for the fleet's features."""

import zlib
from collections.abc import Callable

from attrs import define, evolve, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member, MemberState
from cumindrift.objects.roster import RosterWriter
from cumindrift.registry import Registry
from cumindrift.settings.message import SnapshotChunk
from cumindrift.settings.snapshot import digest_of, pack_snapshot
from cumindrift.settings.transfer import CHUNK_COUNT_MAX, cut_chunk
from cumindrift.settings.tree import DataCentre, Service, Snapshot, Team, Tree
from lab.network import VirtualNetwork
from lab.platform_fleet import client_of_model, fleet_tree, put_body
from standin.platform import PlatformModel

Services = dict[str, Service]
changes: Registry[Callable[[Tree, Services], None]] = Registry('tree change')
STRANGER = Endpoint('10.9.9.9', 7100)


def member(number: int, **changed: object) -> Member:
    """Returns a member of dc-0."""
    values = {
        'name': f'member-{number}',
        'role': 'agent',
        'region': 'region',
        'data_centre': 'dc-0',
        'endpoint': Endpoint(f'10.0.0.{number}', 7100),
        'incarnation': 1,
        'state': MemberState.SERVING,
    }
    return Member(**(values | changed))


def whole_chunk(version: int, packed: bytes, digest: bytes) -> SnapshotChunk:
    """Returns the chunk of a snapshot that has only one."""
    return SnapshotChunk(STRANGER, version, digest, 0, 1, packed)


def chunk_like(kind: str) -> SnapshotChunk:
    """Returns the chunk that a scenario describes."""
    nonsense = b'{"data_centres": 7}'
    good = pack_snapshot(Snapshot(4, fleet_tree(4)))
    whole = cut_chunk(good, 0, STRANGER)
    old = cut_chunk(pack_snapshot(Snapshot(1, fleet_tree(1))), 0, STRANGER)
    digest = good.digest
    many = SnapshotChunk(STRANGER, 4, digest, 0, CHUNK_COUNT_MAX + 1, b'x')
    return {
        'version 1, arriving late': old,
        'version 4 with a wrong digest': whole_chunk(4, whole.body, b'x' * 16),
        'version 4 that is no settings': whole_chunk(
            4,
            zlib.compress(nonsense),
            digest_of(nonsense),
        ),
        'version 4 that is not compressed': whole_chunk(4, b'raw', digest),
        'version 4 with no chunks': SnapshotChunk(
            STRANGER,
            4,
            digest,
            0,
            0,
            b'',
        ),
        'version 4 in too many chunks': many,
    }[kind]


def changed_tree(change: str) -> Tree:
    """Returns the tree of version 1 with one change."""
    tree = fleet_tree(1)
    changes.get(change)(tree, tree.teams['team'].services)
    return tree


@changes.register('changes nothing')
def change_nothing(tree: Tree, services: Services) -> None:
    """Leaves the tree as it is."""


@changes.register('changes a service')
def change_service(tree: Tree, services: Services) -> None:
    """Gives a service another port."""
    services['service-0'] = evolve(services['service-0'], port=9)


@changes.register('adds a service')
def add_service(tree: Tree, services: Services) -> None:
    """Adds a service to the team."""
    services['new'] = evolve(services['service-0'], port=9)


@changes.register('removes a service')
def remove_service(tree: Tree, services: Services) -> None:
    """Removes a service from the team."""
    services.pop('service-1')


@changes.register('moves a service')
def move_service(tree: Tree, services: Services) -> None:
    """Gives a service to another team."""
    tree.teams['other'] = Team({'service-2': services.pop('service-2')})


@changes.register('adds a team')
def add_team(tree: Tree, services: Services) -> None:
    """Adds a team with a service of the same name."""
    tree.teams['other'] = Team({'service-0': services['service-0']})


@changes.register('empties a team')
def empty_team(tree: Tree, services: Services) -> None:
    """Removes all services of the team."""
    services.clear()


@changes.register('removes a team')
def remove_team(tree: Tree, services: Services) -> None:
    """Removes the only team."""
    tree.teams.clear()


@changes.register('takes out a data centre')
def take_out(tree: Tree, services: Services) -> None:
    """Takes out a data centre."""
    tree.data_centres['dc-1'] = DataCentre('region', 'out')


@define(slots=True, eq=False)
class RosterBench:
    """Roster writers that share one stand-in, in virtual time."""

    network: VirtualNetwork
    model: PlatformModel = field(factory=PlatformModel)
    writers: dict[str, RosterWriter] = field(factory=dict)
    seen: dict[str, list[Member]] = field(factory=dict)
    reported: dict[str, set[int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts the stand-in."""
        self.network.every(0.02, lambda: self.model.tick(self.network.now_s))

    def put(self, key: str, body: bytes) -> None:
        """Stores an object directly in the stand-in."""
        put_body(self.model, key, body, self.network.now_s)

    def add(self, name: str, data_centre: str, members: list[Member]) -> None:
        """Adds a writer; the first has rank 0."""
        rank = len(self.writers)
        reported = self.reported.setdefault(name, set())
        writer = RosterWriter(
            data_centre,
            client_of_model(self.network, self.model),
            self.network.random,
            lambda found: reported.update(one.member_id for one in found),
        )
        self.writers[name] = writer
        self.seen[name] = members
        self.network.every(
            0.5,
            lambda: writer.tick(self.seen[name], rank, self.network.now_s),
        )
