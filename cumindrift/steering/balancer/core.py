"""The balancer's decisions on the users' fabric, without I/O."""

from collections.abc import Callable
from random import Random

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.registry import Registry
from cumindrift.steering.balancer.hint import Hint
from cumindrift.steering.balancer.placer import Placer
from cumindrift.steering.balancer.roll import AgentRoll
from cumindrift.steering.balancer.seeker import Seeker
from cumindrift.steering.balancer.station import BalancerStation
from cumindrift.steering.frame import News
from cumindrift.steering.packet import FlowPacket

EXPIRE_PERIOD_S = 5.0


@define(slots=True, eq=False, repr=False)
class Director:
    """Sends each packet of a client to an agent.

    Used by the balancer's ports. It keeps hints only: a flow without one
    is searched for among all agents, and whatever a hint names wrongly
    comes back.
    """

    station: BalancerStation
    read_packet: Callable[[bytes], FlowPacket | None]
    service_endpoint: Callable[[bytes], Endpoint]
    random: Random = field(factory=Random)
    roll: AgentRoll = field(init=False)
    placer: Placer = field(init=False)
    seeker: Seeker = field(init=False)
    _expire_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Builds the parts, which share the station."""
        self.roll = AgentRoll(self.station)
        self.placer = Placer(
            self.station,
            self.roll,
            self.service_endpoint,
            self.random,
        )
        self.seeker = Seeker(self.station, self.roll)

    def on_packet(self, octets: bytes, now_s: float) -> None:
        """Takes a packet that a router sent here."""
        packet = self.read_packet(octets)
        if packet is None:
            self.station.count(ResultCode.PACKET_MALFORMED)
            return
        if packet.is_open:
            self.placer.take(packet, now_s)
            return
        hint = self.station.hints.get(packet.flow_key)
        if hint is None or not hint.is_confirmed:
            self.seeker.search(packet, now_s)
            return
        hint.seen_s = now_s
        self.station.carry_known(packet, hint)

    def on_news(self, ip: str, news: News, now_s: float) -> None:
        """Takes what the agent at `ip` tells."""
        self.roll.on_heard(ip, news.load, now_s)
        station = self.station
        if news.manifest_version > station.directory.manifest.version:
            station.outlet.verify_manifest(news.manifest_version)
        takers.get(news.kind.name)(self, ip, news, now_s)

    def tick(self, now_s: float) -> bool:
        """Lets time pass; True while an open waits for an answer."""
        self.roll.tick(now_s)
        if now_s >= self._expire_s:
            self._expire_s = now_s + EXPIRE_PERIOD_S
            self._expire(now_s)
        is_placing = self.placer.tick(now_s)
        return self.seeker.tick(now_s) or is_placing

    def _expire(self, now_s: float) -> None:
        station = self.station
        idle_s = station.directory.manifest.idle_timeout_s
        station.hints.expire(now_s, idle_s * 2)
        self.roll.expire()
        self.seeker.expire(now_s)


NewsTaker = Callable[[Director, str, News, float], None]
takers: Registry[NewsTaker] = Registry('news of an agent')


@takers.register('PONG')
def _take_pong(core: Director, ip: str, news: News, now_s: float) -> None:
    """The load and the sign of life were taken already."""


@takers.register('HELD')
def _take_held(core: Director, ip: str, news: News, now_s: float) -> None:
    key = news.flow_key
    hints = core.station.hints
    core.placer.on_held(key)
    hint = hints.get(key)
    if hint is None:
        hint = hints.keep(key, Hint(ip, now_s))
    elif hint.is_confirmed and not news.is_sure:
        # It may be a guess; the agent that was believed returns the next
        # packet if it holds the flow no more.
        return
    hint.agent_ip = ip
    hint.incarnation = news.incarnation
    hint.is_confirmed = True
    hint.opening = None
    core.seeker.on_held(key, hint, now_s)


@takers.register('ABSENT')
def _take_absent(core: Director, ip: str, news: News, now_s: float) -> None:
    core.placer.on_passed(ip, news.flow_key, now_s)


@takers.register('NOWHERE')
def _take_nowhere(core: Director, ip: str, news: News, now_s: float) -> None:
    core.seeker.on_nowhere(news.flow_key)


@takers.register('RETURNED')
def _take_returned(core: Director, ip: str, news: News, now_s: float) -> None:
    hints = core.station.hints
    hint = hints.get(news.flow_key)
    if hint is not None and hint.agent_ip == ip:
        hints.drop(news.flow_key)
    packet = core.read_packet(news.packet)
    if packet is not None:
        core.seeker.search(packet, now_s)


@takers.register('REFUSED')
def _take_refused(core: Director, ip: str, news: News, now_s: float) -> None:
    packet = core.read_packet(news.packet)
    core.placer.on_refused(ip, news.flow_key, packet, now_s)


@takers.register('ENDED')
def _take_ended(core: Director, ip: str, news: News, now_s: float) -> None:
    core.station.hints.drop(news.flow_key)
    core.seeker.on_ended(news.flow_key)
