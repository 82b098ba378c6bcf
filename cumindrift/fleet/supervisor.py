"""The fleet supervisor: connections to the store and to peers."""

from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.link import StoreLink
from cumindrift.supervision import ChildSpec, Supervisor


def build_fleet(context: NodeContext) -> Supervisor:
    """Returns the supervisor, with restart strategy one-for-one."""

    def build_link() -> StoreLink:
        link = StoreLink(
            context.settings.store,
            context.sources,
            context.health,
            context.clock,
        )
        context.link = link
        return link

    return Supervisor(
        'fleet',
        [
            ChildSpec('store-link', build_link),
            *context.fleet_children,
        ],
    )
