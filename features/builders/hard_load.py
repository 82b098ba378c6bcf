"""Builders of agents and balancers under more load than they can serve."""

from typing import Any

from attrs import define, field

from cumindrift.fleet.manifest import RequestLimits
from cumindrift.steering.frame import AgentReport, FrameKind
from features.builders.core import AgentBench, BalancerBench, logged_lines
from features.builders.node import (
    ACK,
    FIN,
    RST,
    SYN,
    URGENT_ADDRESS,
    client_packet,
    forwarded,
    target_packet,
)

# Limits of two routes of one service.
URGENT = RequestLimits(2.0, 0.4, 1, is_idempotent=False)
USUAL = RequestLimits(2.0, 0.4, 2, is_idempotent=True)
ROUTES = {'urgent': URGENT, 'usual': USUAL}


@define(slots=True, eq=False)
class LoadedAgent:
    """An agent that judges its target, and the client ports used so far."""

    slots: int = 2
    bench: AgentBench = field(init=False)
    last_port: int = 41000

    def __attrs_post_init__(self) -> None:
        """Builds the agent, whose target serves."""
        self.bench = AgentBench(judges_target=True)
        self.beat()

    def beat(self) -> None:
        """Sends the next heartbeat of the target."""
        self.bench.send_heartbeat(
            slots=self.slots, sequence=int(self.bench.now_s * 1000)
        )

    def open(self, route: str = 'usual', **changes: bool) -> bool:
        """Has a new client open a flow; returns whether it was admitted."""
        self.last_port += 1
        return self.bench.shake_hands(
            self.last_port, limits=ROUTES[route], **changes
        )

    def request(self, route: str = 'usual', **changes: bool) -> bool:
        """Opens a flow and sends its request; returns if it was admitted."""
        is_admitted = self.open(route, **changes)
        if is_admitted:
            self.bench.send_data(FrameKind.TO_HOLDER, port=self.last_port)
        return is_admitted

    def answer(self, after_s: float = 0.05, port: int = 0) -> None:
        """Has the target answer a client's request, by default the last."""
        self.bench.now_s += after_s
        octets = target_packet(ACK, port=port or self.last_port, payload=b'200')
        self.bench.from_target(octets)

    def fail(self, after_s: float = 0.001) -> None:
        """Has the target reset the flow of the last request."""
        self.bench.now_s += after_s
        self.bench.from_target(target_packet(RST, port=self.last_port))

    def give_up(self, after_s: float, port: int = 0) -> None:
        """Has a client close its flow unanswered, by default the last."""
        self.bench.now_s += after_s
        octets = client_packet(
            ACK | FIN,
            port=port or self.last_port,
            sequence=103,
            acknowledged=7001,
        )
        self.bench.receive(forwarded(octets, FrameKind.TO_HOLDER))

    def wait(self, seconds: float) -> None:
        """Passes time, with heartbeats."""
        end_s = self.bench.now_s + seconds
        while self.bench.now_s < end_s:
            self.bench.pass_time(min(0.5, end_s - self.bench.now_s))
            self.beat()


@define(slots=True, eq=False)
class LoadedBalancer:
    """A balancer that judges targets and gets more SYNs than find room."""

    judges_targets: bool = True
    bench: BalancerBench = field(init=False)
    client_count: int = 0
    lines: list[dict[str, Any]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Builds the balancer, with a usual and an urgent route."""
        self.bench = BalancerBench(3, judges_targets=self.judges_targets)
        self.bench.put_limits(USUAL)

    def send(self, *, is_urgent: bool = False) -> bytes:
        """Sends a new client's SYN; returns its flow key."""
        self.client_count += 1
        changes = {'service_port': URGENT_ADDRESS.port} if is_urgent else {}
        octets = client_packet(SYN, port=20000 + self.client_count, **changes)
        self.bench.core.on_packet(octets, self.bench.now_s)
        return octets[12:24]

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns all lines about an event so far."""
        self.lines.extend(logged_lines(self.bench.events))
        return [line for line in self.lines if line['event'] == event]

    def take(self, count: int) -> None:
        """Has agents take SYNs as they are sent, `count` at most."""
        for _ in range(count):
            if not self.bench.output.sent:
                return
            ip, message = self.bench.output.sent.pop(0)
            report = AgentReport(FrameKind.HELD, message.packet[12:24])
            self.bench.core.on_report(ip, report, self.bench.now_s)

    def play(self, seconds: float, sent: int, taken: int) -> None:
        """Plays steps of 20 ms: `sent` usual SYNs come, `taken` find room."""
        end_s = self.bench.now_s + seconds
        while self.bench.now_s < end_s:
            for _ in range(sent):
                self.send()
            self.take(taken)
            self.bench.refuse_all()
            self.bench.pass_time(0.02)
