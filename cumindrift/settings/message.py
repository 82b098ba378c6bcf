"""Messages of the settings supervisor between processes."""

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.wire import Family

distribution = Family(6, 'settings.capnp', 'SettingsMessage')


@distribution.message('snapshotChunk')
@define(frozen=True, slots=True)
class SnapshotChunk:
    """A piece of a packed snapshot; `digest` is that of the whole document.

    Number 0 also serves as the announcement of a new version.
    """

    sender: Endpoint
    version: int
    digest: bytes
    number: int
    chunk_count: int
    body: bytes


@distribution.message('chunkAsk')
@define(frozen=True, slots=True)
class ChunkRequest:
    """Asks for chunks of one version."""

    sender: Endpoint
    version: int
    numbers: tuple[int, ...]


@distribution.message('versionReport')
@define(frozen=True, slots=True)
class VersionReport:
    """Tells which version is in force at the sender."""

    sender: Endpoint
    version: int
    digest: bytes
    wants_answer: bool
