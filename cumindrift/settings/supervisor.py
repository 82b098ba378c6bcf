"""The settings supervisor and its list of children."""

from cumindrift.address import Endpoint
from cumindrift.context import Context
from cumindrift.settings.message import (
    SnapshotAsk,
    SnapshotPush,
    distribution,
)
from cumindrift.settings.snapshot import encode_snapshot
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

ASK_PERIOD_S = 1.0


def build_settings(context: Context) -> Supervisor:
    """Returns the supervisor; restart strategy one-for-one."""
    store = context.snapshots

    def receive(message: SnapshotPush | SnapshotAsk, _now_s: float) -> None:
        if isinstance(message, SnapshotPush):
            store.take_push(message)
        elif message.version < store.snapshot.version:
            asker = Endpoint(message.ip, message.port)
            context.send(asker, encode_snapshot(store.snapshot))

    def ask() -> None:
        peers = list(context.membership.view.members.values())
        me = context.me.endpoint
        if peers:
            peer = context.random.choice(peers)
            version = store.snapshot.version
            context.send(peer.endpoint, SnapshotAsk(version, me.ip, me.port))

    context.receivers[distribution.number] = receive
    return Supervisor(
        'settings',
        [ChildSpec('asker', lambda: Ticker('asker', ASK_PERIOD_S, ask))],
    )
