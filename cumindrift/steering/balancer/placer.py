"""New flows at a balancer: which agent a SYN goes to, and the next."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.fleet.directory import AgentEntry
from cumindrift.fleet.manifest import pick_service
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.load import (
    CANDIDATES_MAX,
    OpenPolicy,
    order_by_load,
)
from cumindrift.steering.balancer.roll import AgentRoll
from cumindrift.steering.balancer.station import BalancerStation
from cumindrift.steering.frame import Carried, FrameKind, service_digest
from cumindrift.steering.packet import FlowPacket

# An agent that lives answers an open within this, wherever it stands.
OPEN_WITHIN_S = 0.06
# How long an open looks for an agent, and how often when all refuse.
OPEN_GIVEN_UP_S = 1.0
OPEN_AGAIN_S = 0.1


@define(slots=True, eq=False, repr=False)
class Placer:
    """Sends each SYN to one agent after the other until one takes it."""

    station: BalancerStation
    roll: AgentRoll
    service_endpoint: Callable[[bytes], Endpoint]
    random: Random = field(factory=Random)
    policy: OpenPolicy = order_by_load
    # The SYNs that wait for an agent's answer, by the flow's key.
    waiting: dict[bytes, Hint] = field(factory=dict)

    def take(self, packet: FlowPacket, now_s: float) -> None:
        """Takes a SYN or a copy of one."""
        key = packet.flow_key
        hint = self.station.hints.get(key)
        if hint is not None and hint.is_confirmed:
            if not self.roll.is_silent(hint.agent_ip):
                # A copy of the SYN follows the first.
                hint.seen_s = now_s
                self._carry(packet, hint, ())
                return
            hint.is_confirmed = False
        if hint is not None and hint.opening is not None:
            self._retry(key, hint, now_s)
            return
        hint = Hint('', now_s, opening=packet, first_sent_s=now_s)
        self.station.hints.keep(key, hint)
        self._place(packet, hint, now_s)

    def on_held(self, key: bytes) -> None:
        """Takes note that the SYN has been answered."""
        self.waiting.pop(key, None)

    def on_passed(self, ip: str, key: bytes, now_s: float) -> None:
        """Takes note that an agent passed a SYN on."""
        hint = self.waiting.get(key)
        if hint is not None:
            # The next agent has as long again.
            self.roll.avoid(ip, now_s)
            hint.tried.add(ip)
            hint.sent_s = now_s

    def on_refused(
        self,
        ip: str,
        key: bytes,
        packet: FlowPacket | None,
        now_s: float,
    ) -> None:
        """Tries the agents that are left after the candidates refused."""
        self.roll.avoid(ip, now_s)
        hint = self.waiting.get(key)
        if hint is None or packet is None:
            return
        hint.tried.add(ip)
        hint.agent_ip = ip
        self._place(packet, hint, now_s)

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while a SYN waits for an answer."""
        for key, hint in list(self.waiting.items()):
            if now_s - hint.first_sent_s > OPEN_GIVEN_UP_S:
                self.waiting.pop(key)
            elif now_s - hint.sent_s >= OPEN_WITHIN_S:
                self._retry(key, hint, now_s)
        return bool(self.waiting)

    def _place(self, packet: FlowPacket, hint: Hint, now_s: float) -> None:
        """Sends a SYN to the best agent that has not had it yet."""
        key = packet.flow_key
        manifest = self.station.directory.manifest
        shares = manifest.services_at(self.service_endpoint(key))
        if not shares:
            self._refuse(packet, ResultCode.PACKET_NO_SERVICE)
            return
        if not hint.service:
            draw = self.random.random()
            hint.service = pick_service(shares, draw) or shares[0].service
        agents = self._agents(hint, now_s)
        if not agents:
            self._wait_for_room(packet, hint, now_s)
            return
        first = agents[0]
        hint.agent_ip = first.ip
        hint.sent_s = now_s
        hint.seen_s = now_s
        hint.tried.add(first.ip)
        self.waiting[key] = hint
        load = self.roll.load_of(first.ip)
        self.station.note(
            'open-sent',
            key,
            service=hint.service,
            agent=first.name,
            tried=len(hint.tried),
            manifest=manifest.version,
            cost=round(load.cost(), 1),
            load_age_s=round(now_s - load.reported_s, 3),
        )
        load.sent_count += 1
        others = tuple(entry.ip for entry in agents[1:CANDIDATES_MAX])
        self._carry(packet, hint, others)

    def _wait_for_room(
        self,
        packet: FlowPacket,
        hint: Hint,
        now_s: float,
    ) -> None:
        """Lets a SYN that nobody took wait a little, then refuses it.

        Targets that start or drain are back or replaced within moments.
        """
        if now_s - hint.first_sent_s >= OPEN_GIVEN_UP_S - OPEN_AGAIN_S:
            self._refuse(packet, ResultCode.NO_ROOM)
            return
        hint.tried.clear()
        hint.agent_ip = ''
        hint.sent_s = now_s + OPEN_AGAIN_S - OPEN_WITHIN_S
        self.waiting[packet.flow_key] = hint

    def _agents(self, hint: Hint, now_s: float) -> list[AgentEntry]:
        """Returns the agents to try, best first."""
        untried = [
            entry
            for entry in self.station.directory.agents_of(hint.service)
            if entry.ip not in hint.tried
        ]
        ordered = self.policy(
            untried,
            self.roll.loads,
            self.station.data_centre,
            self.random,
        )
        return sorted(ordered, key=lambda entry: self.roll.doubt(entry, now_s))

    def _refuse(self, packet: FlowPacket, code: ResultCode) -> None:
        """Answers a SYN that cannot be placed: its request has not run."""
        station = self.station
        key = packet.flow_key
        hint = station.hints.get(key)
        self.waiting.pop(key, None)
        station.hints.drop(key)
        if not station.directory.is_complete:
            return
        station.note(
            'open-reset',
            key,
            code=int(code),
            reason=code.name,
            tried=len(hint.tried) if hint else 0,
            manifest=station.directory.manifest.version,
        )
        station.outlet.reset(packet.flow_key, packet.acknowledged)

    def _retry(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Tries the next agent: the last one has left a SYN unanswered."""
        if hint.agent_ip and now_s - hint.sent_s >= OPEN_WITHIN_S:
            self.roll.on_unanswered(hint.agent_ip, key, now_s)
        if hint.opening is not None:
            self._place(hint.opening, hint, now_s)

    def _carry(
        self,
        packet: FlowPacket,
        hint: Hint,
        candidate_ips: tuple[str, ...],
    ) -> None:
        manifest = self.station.directory.manifest
        carried = Carried(
            FrameKind.OPEN,
            self.station.ip,
            packet.octets,
            manifest_version=manifest.version,
            service_digest=service_digest(hint.service),
            cold_rate=manifest.cold_rates.get(hint.service, 0.0),
            candidate_ips=candidate_ips,
            home_ips=self.station.directory.homes_of(packet.flow_key),
        )
        self.station.outlet.carry(hint.agent_ip, carried)
