"""Builds clusters of membership cores and records for tests."""

from random import Random

from attrs import evolve

from cumindrift.membership.gossip import MembershipCore
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import Gossip, News, Ping, Sender
from cumindrift.membership.view import View
from lab.member_cluster import MemberCluster, make_member
from lab.network import VirtualNetwork


def joined_cluster(count: int, seed: int, loss_share: float = 0.0):
    """Returns a cluster whose members know each other already."""
    network = VirtualNetwork(Random(seed), loss_share=loss_share)
    cluster = MemberCluster(network)
    cluster.start_joined(count)
    cluster.run(3.0)
    return cluster


def fresh_cluster(
    count: int,
    seed: int,
    *,
    is_encoded: bool = False,
) -> MemberCluster:
    """Returns a cluster whose members know the seeds only."""
    cluster = MemberCluster(VirtualNetwork(Random(seed)), is_encoded)
    for number in range(count):
        cluster.start(number)
    return cluster


def view_changes(count: int, seed: int) -> list[tuple[dict, frozenset]]:
    """Returns random changes of members, with the data centres out."""
    random = Random(seed)
    changes = []
    for _ in range(count):
        number = random.randrange(60)
        state = random.choice(list(MemberState))
        member = evolve(make_member(number), state=state)
        gone = None if member.is_gone else member
        out = frozenset(('dc-1',)) if random.random() < 0.3 else frozenset()
        changes.append(({member.member_id: gone}, out))
    return changes


def answers_of(view: View) -> list[tuple]:
    """Returns all that a view answers, in a form that can be compared."""
    names = sorted(view.services, key=str)
    return [
        (name, view.targets(name), view.service_version(name)) for name in names
    ]


def lone_core() -> MembershipCore:
    """Returns the core of member 0, which knows member 1."""
    core = MembershipCore(make_member(0), (), Random(1), lambda _view: None)
    core.merge([make_member(1)], 0.0)
    core.tick(0.0)
    return core


def record_like(what: str) -> Member:
    """Returns a record of member 1 that differs in the way named."""
    member = make_member(1)
    changes = {
        'the same record': {},
        'a higher revision': {'revision': 1, 'state': MemberState.DRAINING},
        'an older incarnation': {'incarnation': 0, 'revision': 9},
        'a newer incarnation': {'incarnation': 2},
        'a dead record': {'revision': 5, 'state': MemberState.DEAD},
    }
    return evolve(member, **changes[what])


def gossip_of(member: Member, sender: Member | None = None) -> Gossip:
    """Returns gossip with one claim, from member 1 unless said."""
    sender = sender or make_member(1)
    claims = (member.claim(),)
    return Gossip(Sender(sender.claim(), sender.endpoint), News(claims))


def ping_to(target: Member) -> Ping:
    """Returns a ping from member 1."""
    member = make_member(1)
    sender = Sender(member.claim(), member.endpoint)
    return Ping(sender, member.endpoint, 1, target.member_id, False)
