"""Builds members, rosters and chunks for the features of distribution."""

import zlib

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.membership.member import Member, MemberState
from cumindrift.platform.roster import RosterKeeper
from cumindrift.settings.message import SnapshotChunk
from cumindrift.settings.snapshot import digest_of, pack_snapshot
from cumindrift.settings.transfer import CHUNK_COUNT_MAX, cut_chunk
from cumindrift.settings.tree import Snapshot
from lab.network import VirtualNetwork
from lab.platform_fleet import client_of_model, fleet_tree, put_body
from standin.platform import PlatformModel

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
    """Returns a snapshot of one chunk, right or wrong."""
    return SnapshotChunk(STRANGER, version, digest, 0, 1, packed)


def chunk_like(kind: str) -> SnapshotChunk:
    """Returns the chunk that a scenario names."""
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


@define(slots=True, eq=False)
class KeeperDesk:
    """Roster keepers before one stand-in, in virtual time."""

    network: VirtualNetwork
    model: PlatformModel = field(factory=PlatformModel)
    keepers: dict[str, RosterKeeper] = field(factory=dict)
    seen: dict[str, list[Member]] = field(factory=dict)
    told: dict[str, set[int]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Starts the stand-in."""
        self.network.every(0.02, lambda: self.model.tick(self.network.now_s))

    def put(self, key: str, body: bytes) -> None:
        """Stores an object as a faulty writer would."""
        put_body(self.model, key, body, self.network.now_s)

    def add(self, name: str, data_centre: str, members: list[Member]) -> None:
        """Adds a keeper; the first has rank 0."""
        rank = len(self.keepers)
        told = self.told.setdefault(name, set())
        keeper = RosterKeeper(
            data_centre,
            client_of_model(self.network, self.model),
            self.network.random,
            lambda found: told.update(one.member_id for one in found),
        )
        self.keepers[name] = keeper
        self.seen[name] = members
        self.network.every(
            0.5,
            lambda: keeper.tick(self.seen[name], rank, self.network.now_s),
        )
