"""The objects supervisor and its list of children."""

from cumindrift.address import Endpoint
from cumindrift.context import Context
from cumindrift.objects.link import PlatformLink
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.5


def build_objects(context: Context) -> Supervisor:
    """Returns the supervisor, with restart strategy one-for-one.

    Without a platform address in the settings it has no children, and the
    process gets settings and members from its peers only.
    """
    address = context.settings.platform
    if not address:
        return Supervisor('objects', [])
    endpoint = Endpoint.parse(address)

    def feed() -> None:
        context.feeder.tick(context.clock())

    return Supervisor(
        'objects',
        [
            ChildSpec('link', lambda: PlatformLink(context.store, endpoint)),
            ChildSpec('feeder', lambda: Ticker('feeder', TICK_PERIOD_S, feed)),
        ],
    )
