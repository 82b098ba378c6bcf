"""The balancer's decisions on the users' fabric, without I/O."""

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.event import EventLog
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.manifest import pick_service
from cumindrift.metric import FLOW_DECISIONS
from cumindrift.registry import Registry
from cumindrift.steering.frame import (
    Carried,
    FrameKind,
    News,
    service_digest,
)
from cumindrift.steering.hint import Hint, HintTable
from cumindrift.steering.load import (
    AVOIDED_S,
    CANDIDATES_MAX,
    AgentLoad,
    OpenPolicy,
    order_by_load,
)
from cumindrift.steering.packet import FlowPacket
from cumindrift.steering.search import SEARCHES_MAX, Search

# An agent that lives answers an open within this, wherever it stands.
OPEN_WITHIN_S = 0.06
# How long an open looks for an agent, and how often when all refuse.
OPEN_GIVEN_UP_S = 1.0
OPEN_AGAIN_S = 0.1
PING_PERIOD_S = 0.3
# A balancer that hears nobody for this long, though it asks, is cut off.
CUT_OFF_S = 0.5
CUT_OFF_AGENTS_MIN = 2
# An agent that answered nothing for this long has no machine any more. It
# enters itself again should it come back.
GONE_AFTER_S = 20.0
EXPIRE_PERIOD_S = 5.0


class BalancerOutlet(Protocol):
    """What a balancer's core has done for it."""

    def carry(self, ip: str, carried: Carried) -> None:
        """Sends a client's packet to an agent."""

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Resets a flow, near what its client acknowledged last."""

    def remove_agent(self, name: str) -> None:
        """Takes the entry of an agent out of the store."""

    def verify_agents(self) -> None:
        """Asks the store for the list of agents as it is now."""

    def verify_manifest(self, version: int) -> None:
        """Asks for the manifest, of which that version is in force."""


@define(slots=True, eq=False, repr=False)
class Director:
    """Sends each packet of a client to an agent.

    Used by the balancer's ports. It keeps hints only: a flow without one
    is searched for among all agents, and whatever a hint names wrongly
    comes back.
    """

    ip: str
    data_centre: str
    directory: Directory
    read_packet: Callable[[bytes], FlowPacket | None]
    name_flow: Callable[[bytes], str]
    service_endpoint: Callable[[bytes], Endpoint]
    events: EventLog
    random: Random = field(factory=Random)
    policy: OpenPolicy = order_by_load
    outlet: Any = None
    hints: HintTable = field(factory=HintTable)
    loads: dict[str, AgentLoad] = field(factory=dict)
    openings: dict[bytes, Hint] = field(factory=dict)
    searches: dict[bytes, Search] = field(factory=dict)
    unproved: dict[bytes, Search] = field(factory=dict)
    _ping_s: float = 0.0
    _expire_s: float = 0.0

    def on_packet(self, octets: bytes, now_s: float) -> None:
        """Takes a packet that a router sent here."""
        packet = self.read_packet(octets)
        if packet is None:
            FLOW_DECISIONS.labels(ResultCode.PACKET_MALFORMED.name, '').inc()
            return
        if packet.is_open:
            self._take_open(packet, now_s)
            return
        hint = self.hints.get(packet.flow_key)
        if hint is None or not hint.is_confirmed:
            self.search(packet, now_s)
            return
        hint.seen_s = now_s
        self.carry_within(FrameKind.KNOWN, hint.agent_ip, packet, hint)

    def on_news(self, ip: str, news: News, now_s: float) -> None:
        """Takes what the agent at `ip` tells."""
        load = self.load_of(ip)
        if load.silent_since_s:
            self.events.note(
                'agent-heard',
                agent=ip,
                silent_s=round(now_s - load.silent_since_s, 3),
            )
        load.take(news.load, now_s)
        if news.manifest_version > self.directory.manifest.version:
            self.outlet.verify_manifest(news.manifest_version)
        takers.get(news.kind.name)(self, ip, news, now_s)

    def is_cut_off(self, now_s: float) -> bool:
        """Tells whether this balancer reaches no agent any more.

        Routers that stop sending here let others serve meanwhile.
        """
        silent_count = sum(
            0 < load.silent_since_s <= now_s - CUT_OFF_S
            for load in self.loads.values()
        )
        heard_s = max(
            (load.reported_s for load in self.loads.values()),
            default=0.0,
        )
        is_unheard = now_s - heard_s >= CUT_OFF_S
        return silent_count >= CUT_OFF_AGENTS_MIN and is_unheard

    def on_agents_verified(self, asked_s: float) -> None:
        """Takes the news that the list of agents is as of `asked_s`.

        An agent takes no flow before it stands in the list, so a flow that
        every agent of the list denies has no holder.
        """
        agent_ips = self.directory.agent_ips()
        for key, search in list(self.unproved.items()):
            if search.started_s > asked_s:
                continue
            self.unproved.pop(key)
            if search.is_absent_at(agent_ips):
                self.note(
                    'flow-reset',
                    key,
                    reason='no-holder',
                    agents=len(agent_ips),
                    code=int(ResultCode.NO_SUCH_FLOW),
                )
                self.outlet.reset(key, search.packet.acknowledged)

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while an open waits for an answer."""
        for key, hint in list(self.openings.items()):
            if now_s - hint.first_sent_s > OPEN_GIVEN_UP_S:
                self.openings.pop(key)
            elif now_s - hint.sent_s >= OPEN_WITHIN_S:
                self._retry_open(key, hint, now_s)
        if now_s >= self._ping_s:
            self._ping_s = now_s + PING_PERIOD_S
            self._ping_silent(now_s)
        if now_s >= self._expire_s:
            self._expire_s = now_s + EXPIRE_PERIOD_S
            self._expire(now_s)
        return bool(self.openings)

    def _take_open(self, packet: FlowPacket, now_s: float) -> None:
        key = packet.flow_key
        hint = self.hints.get(key)
        if hint is not None and hint.is_confirmed:
            if not self.load_of(hint.agent_ip).silent_since_s:
                # A copy of the SYN follows the first.
                hint.seen_s = now_s
                self._carry_open(packet, hint, (), now_s)
                return
            hint.is_confirmed = False
        if hint is not None and hint.opening is not None:
            self._retry_open(key, hint, now_s)
            return
        hint = Hint('', now_s, opening=packet, first_sent_s=now_s)
        self.hints.keep(key, hint)
        self.place(packet, hint, now_s)

    def place(self, packet: FlowPacket, hint: Hint, now_s: float) -> None:
        """Sends a SYN to the best agent that has not had it yet."""
        key = packet.flow_key
        address = self.service_endpoint(key)
        directory = self.directory
        shares = directory.manifest.shares_of(address)
        if not shares:
            self._refuse_open(packet, ResultCode.PACKET_NO_SERVICE)
            return
        if not hint.service:
            draw = self.random.random()
            hint.service = pick_service(shares, draw) or shares[0].service
        agents = self._open_agents(hint, now_s)
        if not agents:
            self._wait_for_room(packet, hint, now_s)
            return
        first = agents[0]
        hint.agent_ip = first.ip
        hint.sent_s = now_s
        hint.seen_s = now_s
        hint.tried.add(first.ip)
        self.openings[key] = hint
        load = self.load_of(first.ip)
        self.note(
            'open-sent',
            key,
            service=hint.service,
            agent=first.name,
            tried=len(hint.tried),
            manifest=directory.manifest.version,
            cost=round(load.cost(), 1),
            load_age_s=round(now_s - load.reported_s, 3),
        )
        load.sent_count += 1
        others = tuple(entry.ip for entry in agents[1:CANDIDATES_MAX])
        self._carry_open(packet, hint, others, now_s)

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
            self._refuse_open(packet, ResultCode.NO_ROOM)
            return
        hint.tried.clear()
        hint.agent_ip = ''
        hint.sent_s = now_s + OPEN_AGAIN_S - OPEN_WITHIN_S
        self.openings[packet.flow_key] = hint

    def _open_agents(self, hint: Hint, now_s: float) -> list[AgentEntry]:
        """Returns the agents to try, best first."""
        untried = [
            entry
            for entry in self.directory.agents_of(hint.service)
            if entry.ip not in hint.tried
        ]
        ordered = self.policy(
            untried,
            self.loads,
            self.data_centre,
            self.random,
        )
        return sorted(ordered, key=lambda entry: self._doubt(entry, now_s))

    def _doubt(self, entry: AgentEntry, now_s: float) -> int:
        """Ranks agents that are silent or took no flows behind the others."""
        load = self.loads.get(entry.ip)
        if load is None:
            return 0
        if load.silent_since_s:
            return 2
        return int(load.avoided_until_s > now_s)

    def _refuse_open(self, packet: FlowPacket, code: ResultCode) -> None:
        """Answers a SYN that cannot be placed: its request has not run."""
        key = packet.flow_key
        hint = self.hints.get(key)
        self.openings.pop(key, None)
        self.hints.drop(key)
        if not self.directory.is_complete:
            return
        self.note(
            'open-reset',
            key,
            code=int(code),
            reason=code.name,
            tried=len(hint.tried) if hint else 0,
            manifest=self.directory.manifest.version,
        )
        self.outlet.reset(packet.flow_key, packet.acknowledged)

    def _retry_open(self, key: bytes, hint: Hint, now_s: float) -> None:
        """Tries the next agent: the last one has left a SYN unanswered."""
        if hint.agent_ip and now_s - hint.sent_s >= OPEN_WITHIN_S:
            load = self.load_of(hint.agent_ip)
            if not load.silent_since_s:
                load.silent_since_s = now_s
                self.note('agent-silent', key, agent=hint.agent_ip)
        if hint.opening is not None:
            self.place(hint.opening, hint, now_s)

    def search(self, packet: FlowPacket, now_s: float) -> None:
        """Asks every agent for the holder of a flow."""
        key = packet.flow_key
        search = self.searches.get(key)
        if search is not None and search.is_running(now_s):
            search.wait(packet)
            return
        agent_ips = self.directory.agent_ips()
        if not agent_ips or len(self.searches) >= SEARCHES_MAX:
            FLOW_DECISIONS.labels(ResultCode.PACKET_NO_TARGET.name, '').inc()
            return
        self.note('flow-searched', key, agents=len(agent_ips))
        self.searches[key] = Search(packet, now_s, agent_ips)
        for ip in agent_ips:
            self.carry_within(FrameKind.SEARCH, ip, packet, None)

    def carry_within(
        self,
        kind: FrameKind,
        ip: str,
        packet: FlowPacket,
        hint: Hint | None,
    ) -> None:
        """Sends a packet after the SYN to an agent."""
        carried = Carried(
            kind,
            self.ip,
            packet.octets,
            incarnation=hint.incarnation if hint else 0,
        )
        self.outlet.carry(ip, carried)

    def _carry_open(
        self,
        packet: FlowPacket,
        hint: Hint,
        candidate_ips: tuple[str, ...],
        now_s: float,
    ) -> None:
        manifest = self.directory.manifest
        carried = Carried(
            FrameKind.OPEN,
            self.ip,
            packet.octets,
            manifest_version=manifest.version,
            service_digest=service_digest(hint.service),
            cold_rate=manifest.cold_rates.get(hint.service, 0.0),
            candidate_ips=candidate_ips,
        )
        self.outlet.carry(hint.agent_ip, carried)

    def _ping_silent(self, now_s: float) -> None:
        ping = Carried(FrameKind.PING, self.ip, b'')
        for entry in self.directory.agents.values():
            load = self.loads.get(entry.ip)
            if load is None or not load.silent_since_s:
                continue
            self.outlet.carry(entry.ip, ping)
            if now_s - load.silent_since_s >= GONE_AFTER_S:
                load.silent_since_s = now_s
                self.events.note_urgently(
                    'agent-removed',
                    agent=entry.name,
                    silent_s=GONE_AFTER_S,
                )
                self.outlet.remove_agent(entry.name)

    def _expire(self, now_s: float) -> None:
        known_ips = self.directory.agent_ips()
        for ip in [ip for ip in self.loads if ip not in known_ips]:
            self.loads.pop(ip)
        self.hints.expire(now_s, self.directory.manifest.idle_timeout_s * 2)
        for searches in (self.searches, self.unproved):
            ended = [
                key
                for key, search in searches.items()
                if now_s - search.started_s > EXPIRE_PERIOD_S
            ]
            for key in ended:
                searches.pop(key)

    def load_of(self, ip: str) -> AgentLoad:
        """Returns what is known of an agent, made on first use."""
        found = self.loads.get(ip)
        if found is None:
            found = AgentLoad()
            self.loads[ip] = found
        return found

    def note(self, event: str, key: bytes, **fields: Any) -> None:
        """Counts and logs a decision about a flow."""
        FLOW_DECISIONS.labels(event, str(fields.get('service', ''))).inc()
        self.events.note(event, flow=self.name_flow(key), **fields)


NewsTaker = Callable[[Director, str, News, float], None]
takers: Registry[NewsTaker] = Registry('news of an agent')


@takers.register('PONG')
def _take_pong(core: Director, ip: str, news: News, now_s: float) -> None:
    """The load and the sign of life were taken already."""


@takers.register('HELD')
def _take_held(core: Director, ip: str, news: News, now_s: float) -> None:
    key = news.flow_key
    core.openings.pop(key, None)
    hint = core.hints.get(key)
    if hint is None:
        hint = core.hints.keep(key, Hint(ip, now_s))
    hint.agent_ip = ip
    hint.incarnation = news.incarnation
    hint.is_confirmed = True
    hint.opening = None
    core.unproved.pop(key, None)
    search = core.searches.pop(key, None)
    if search is None:
        return
    core.note(
        'flow-found',
        key,
        agent=ip,
        took_s=round(now_s - search.started_s, 4),
    )
    for packet in search.waiting:
        core.carry_within(FrameKind.KNOWN, ip, packet, hint)


@takers.register('ABSENT')
def _take_absent(core: Director, ip: str, news: News, now_s: float) -> None:
    key = news.flow_key
    hint = core.openings.get(key)
    if hint is not None:
        # The agent passed the SYN on; the next one has as long again.
        core.load_of(ip).avoided_until_s = now_s + AVOIDED_S
        hint.tried.add(ip)
        hint.sent_s = now_s
        return
    search = core.searches.get(key)
    if search is None or not news.is_sure:
        return
    search.absent.add(ip)
    if search.is_absent_at(core.directory.agent_ips()):
        core.searches.pop(key)
        core.unproved[key] = search
        core.outlet.verify_agents()


@takers.register('RETURNED')
def _take_returned(core: Director, ip: str, news: News, now_s: float) -> None:
    hint = core.hints.get(news.flow_key)
    if hint is not None and hint.agent_ip == ip:
        core.hints.drop(news.flow_key)
    packet = core.read_packet(news.packet)
    if packet is not None:
        core.search(packet, now_s)


@takers.register('REFUSED')
def _take_refused(core: Director, ip: str, news: News, now_s: float) -> None:
    core.load_of(ip).avoided_until_s = now_s + AVOIDED_S
    hint = core.openings.get(news.flow_key)
    packet = core.read_packet(news.packet)
    if hint is None or packet is None:
        return
    hint.tried.add(ip)
    hint.agent_ip = ip
    core.place(packet, hint, now_s)


@takers.register('ENDED')
def _take_ended(core: Director, ip: str, news: News, now_s: float) -> None:
    core.hints.drop(news.flow_key)
    core.searches.pop(news.flow_key, None)
