"""The balancer role: the fabric port and its traffic supervisor."""

from collections.abc import Callable

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.metric import DROPS
from cumindrift.outcome import Dropped
from cumindrift.port import DatagramPort
from cumindrift.role import RoleSettingsError, roles
from cumindrift.supervision import ChildSpec, Supervisor
from cumindrift.traffic.candidates import candidate_of
from cumindrift.traffic.frame import frame_packet
from cumindrift.traffic.message import FlowHint, traffic
from cumindrift.traffic.steering import BalancerCore, OpenAt, SteerTo


class FabricForwarder:
    """Forwards each packet of the fabric to one agent.

    Used by the balancer's fabric port. Encodes the decisions of the core,
    which itself depends on no encoding.
    """

    def __init__(self, context: Context, core: BalancerCore) -> None:
        """Uses `core` to decide where each packet goes."""
        self._context = context
        self._core = core
        self._drops = {
            code: DROPS.labels(code.name)
            for code in ResultCode
            if code >= ResultCode.PACKET_MALFORMED
        }

    def receive(self, packet: bytes, _pair: tuple[str, int]) -> None:
        """Forwards or drops one packet."""
        decision = self._core.steer(packet)
        if isinstance(decision, SteerTo):
            self._forward(decision, packet)
        elif isinstance(decision, OpenAt):
            self._context.send(decision.endpoint, decision.search)
        elif isinstance(decision, Dropped):
            self._drops[decision.code].inc()

    def _forward(self, decision: SteerTo, packet: bytes) -> None:
        entry = decision.entry
        if entry.encoded_route is None:
            entry.encoded_route = self._context.codec.encode_route(entry.route)
        frame = frame_packet(
            entry.encoded_route,
            decision.kind,
            0,
            0,
            packet,
        )
        self._context.send_frame(entry.endpoint, frame)


def attach_balancer(context: Context) -> FabricForwarder:
    """Builds the balancer's core and registers it with the context."""
    core = BalancerCore(candidate_of(context.me))
    core.on_view(context.membership.view)
    core.on_settings(context.snapshots.snapshot)
    context.view_listeners.append(core.on_view)
    context.snapshot_listeners.append(core.on_settings)

    def receive(message: FlowHint, _now_s: float) -> None:
        core.on_hint(message)

    context.receivers[traffic.number] = receive
    return FabricForwarder(context, core)


@roles.register('balancer')
def prepare_balancer(context: Context) -> Callable[[], Supervisor]:
    """Builds the balancer's core once; returns a factory of its supervisor."""
    if not context.settings.fabric:
        raise RoleSettingsError('a balancer needs `fabric` in its settings')
    forwarder = attach_balancer(context)
    fabric = Endpoint.parse(context.settings.fabric)
    return lambda: Supervisor(
        'traffic',
        [ChildSpec('fabric', lambda: DatagramPort(fabric, forwarder.receive))],
    )
