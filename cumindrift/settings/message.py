"""Messages that distribute settings between processes."""

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.wire import Family

distribution = Family(6, 'settings.capnp', 'SettingsMessage')


@distribution.message('snapshotChunk')
@define(frozen=True, slots=True)
class SnapshotChunk:
    """One chunk of a packed snapshot; `digest` is of the whole document.

    Chunk 0 also announces a new version.
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
    """Requests chunks of one version."""

    sender: Endpoint
    version: int
    numbers: tuple[int, ...]


@distribution.message('versionReport')
@define(frozen=True, slots=True)
class VersionReport:
    """Reports the version that is in force at the sender."""

    sender: Endpoint
    version: int
    digest: bytes
    wants_answer: bool
