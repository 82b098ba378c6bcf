"""Clusters of membership cores on a virtual network."""

from random import Random
from time import thread_time_ns
from typing import Any

from attrs import define, field

from cumindrift.address import Endpoint
from cumindrift.keyring import Keyring
from cumindrift.membership.core import MembershipCore
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import membership
from cumindrift.membership.supervisor import (
    IDLE_TICK_PERIOD_S,
    TICK_PERIOD_S,
)
from cumindrift.membership.view import View
from cumindrift.traffic.action import SendMessage
from cumindrift.wire import decode_frame, encode_frame
from lab.network import VirtualNetwork

HEADER_BYTES = 28
TARGETS_PER_SERVICE = 8

# Two regions of two data centres each.
REGION_COUNT = 2
CENTRE_COUNT = 4


def make_member(number: int, incarnation: int = 1) -> Member:
    """Returns the record of member `number`."""
    centre = number % CENTRE_COUNT
    return Member(
        name=f'agent-{number:05d}',
        role='agent',
        region=f'region-{centre % REGION_COUNT}',
        data_centre=f'dc-{centre}',
        endpoint=Endpoint(f'10.{centre}.{number >> 8}.{number & 255}', 7000),
        incarnation=incarnation,
        state=MemberState.SERVING,
        team='studio',
        service=f'service-{number // TARGETS_PER_SERVICE}',
    )


@define(slots=True, eq=False)
class Meter:
    """Traffic and processor time of all members.

    Traffic is counted only in clusters that encode messages.
    """

    sent_bytes: int = 0
    sent_count: int = 0
    largest_bytes: int = 0
    cpu_ns: int = 0


@define(slots=True, eq=False)
class MemberCluster:
    """Runs real membership cores in virtual time.

    With `is_encoded` each message goes through the wire encoding and the
    keyed digest, and the meter counts its bytes and processor time.
    """

    network: VirtualNetwork
    is_encoded: bool = False
    cores: dict[int, MembershipCore] = field(factory=dict)
    stopped: set[int] = field(factory=set)
    meter: Meter = field(factory=Meter)
    views_count: int = 0
    _keyring: Keyring = field(factory=lambda: Keyring((b'k' * 16,)))

    def start(
        self,
        number: int,
        incarnation: int = 1,
        seeds: tuple[int, ...] = (0, 1, 2),
    ) -> MembershipCore:
        """Starts one member that knows only the seeds."""
        return self.start_as(number, make_member(number, incarnation), seeds)

    def start_as(
        self,
        number: int,
        me: Member,
        seeds: tuple[int, ...] = (0, 1, 2),
    ) -> MembershipCore:
        """Starts a member with the given record."""
        core = MembershipCore(
            me,
            tuple(make_member(seed).endpoint for seed in seeds),
            Random(self.network.random.random()),
            self._count_view,
        )
        self.cores[number] = core
        self.stopped.discard(number)
        self.network.receivers[me.endpoint] = lambda message, now_s: (
            self._receive(number, core, message, now_s)
        )
        self.network.at(
            self.network.now_s + self.network.random.random() * TICK_PERIOD_S,
            lambda: self._tick(number, core),
        )
        return core

    def start_joined(self, count: int) -> None:
        """Starts members that know each other already."""
        cores = [self.start(number) for number in range(count)]
        records = [core.me for core in cores]
        for core in cores:
            core.merge(records, self.network.now_s)
            core.is_joined = True
        # All members have these records already: nothing to disseminate.
        for core in cores:
            core.local_state.dissemination.clear()

    def stop(self, number: int) -> None:
        """Stops a member without notice; it may be resumed."""
        self.stopped.add(number)

    def resume(self, number: int) -> None:
        """Resumes a stopped member with its old state."""
        self.stopped.discard(number)

    def run(self, seconds: float) -> None:
        """Runs the cluster for some virtual time."""
        self.network.run(self.network.now_s + seconds)

    def running(self) -> list[MembershipCore]:
        """Returns the cores that are not stopped."""
        return [
            core
            for number, core in self.cores.items()
            if number not in self.stopped
        ]

    def count_seeing(self, number: int) -> int:
        """Returns how many running members have `number` in their view."""
        member_id = make_member(number).member_id
        return sum(member_id in core.view.members for core in self.running())

    def send_all(
        self, core: MembershipCore, actions: list[SendMessage]
    ) -> None:
        """Sends all messages that a core returned."""
        sender = core.me.endpoint
        for action in actions:
            self.send(sender, action.endpoint, action.message)

    def send(self, sender: Endpoint, peer: Endpoint, message: Any) -> None:
        """Sends one message, encoded if the cluster encodes."""
        if self.is_encoded:
            message = self._encode(message)
        self.network.send(sender, peer, message)

    def decode(self, message: Any) -> Any:
        """Returns a received message, decoded if it was encoded."""
        if not isinstance(message, bytes):
            return message
        return decode_frame(self._keyring.verify(message) or b'')

    def _encode(self, message: object) -> bytes:
        datagram = self._keyring.sign(encode_frame(membership, message))
        self.meter.sent_count += 1
        self.meter.sent_bytes += len(datagram) + HEADER_BYTES
        self.meter.largest_bytes = max(
            self.meter.largest_bytes,
            len(datagram),
        )
        return datagram

    def _receive(
        self,
        number: int,
        core: MembershipCore,
        message: object,
        now_s: float,
    ) -> None:
        if number in self.stopped or self.cores.get(number) is not core:
            return
        start_ns = thread_time_ns()
        self.send_all(core, core.receive(self.decode(message), now_s))
        self.meter.cpu_ns += thread_time_ns() - start_ns

    def _tick(self, number: int, core: MembershipCore) -> None:
        if self.cores.get(number) is not core:
            return
        if number not in self.stopped:
            start_ns = thread_time_ns()
            self.send_all(core, core.tick(self.network.now_s))
            self.meter.cpu_ns += thread_time_ns() - start_ns
        period_s = TICK_PERIOD_S if core.is_busy else IDLE_TICK_PERIOD_S
        self.network.at(
            self.network.now_s + period_s,
            lambda: self._tick(number, core),
        )

    def _count_view(self, _view: View) -> None:
        self.views_count += 1
