"""Messages of the settings supervisor between processes."""

from attrs import define

from cumindrift.wire import Family

distribution = Family(6, 'settings.capnp', 'SettingsMessage')


@distribution.message('snapshotPush')
@define(frozen=True, slots=True)
class SnapshotPush:
    """A whole snapshot, with the digest of its document."""

    version: int
    digest: bytes
    document: bytes


@distribution.message('snapshotAsk')
@define(frozen=True, slots=True)
class SnapshotAsk:
    """Asks for any snapshot newer than `version`."""

    version: int
    ip: str
    port: int
