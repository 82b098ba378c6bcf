"""Test data of the membership: clusters, cores, records and messages."""

from random import Random

from attrs import evolve

from cumindrift.address import Endpoint
from cumindrift.keyring import Keyring
from cumindrift.membership.anti_entropy import batch_records, pack_bucket_sums
from cumindrift.membership.core import MembershipCore
from cumindrift.membership.dissemination import UPDATE_COUNT_MAX
from cumindrift.membership.member import Member, MemberState
from cumindrift.membership.message import (
    Ack,
    Digest,
    Gossip,
    Listing,
    Ping,
    Sender,
    Updates,
    membership,
)
from cumindrift.membership.table import MemberTable
from cumindrift.membership.view import View
from cumindrift.wire import encode_frame
from lab.member_cluster import MemberCluster, make_member
from lab.network import VirtualNetwork


def joined_cluster(count: int, seed: int, loss_share: float = 0.0):
    """Returns a cluster whose members already know each other."""
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
    """Returns a cluster whose members know only the seeds."""
    cluster = MemberCluster(VirtualNetwork(Random(seed)), is_encoded)
    for number in range(count):
        cluster.start(number)
    return cluster


def view_changes(count: int, seed: int) -> list[tuple[dict, frozenset]]:
    """Returns random changes of members, each with the data centres out."""
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


def view_contents(view: View) -> list[tuple]:
    """Returns the services of a view, in a form that can be compared."""
    names = sorted(view.services, key=str)
    return [
        (name, view.targets(name), view.service_version(name)) for name in names
    ]


def unticked_core() -> MembershipCore:
    """Returns the core of member 0, which has not ticked yet."""
    core = MembershipCore(make_member(0), (), Random(1), lambda _view: None)
    core.merge([make_member(1)], 0.0)
    return core


def core_knowing_member_1() -> MembershipCore:
    """Returns the core of member 0 after a first tick; it knows member 1."""
    core = unticked_core()
    core.tick(0.0)
    return core


def changed_record(what: str) -> Member:
    """Returns a record of member 1 with the change that a scenario names."""
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
    """Returns gossip with one claim; its default sender is member 1."""
    sender = sender or make_member(1)
    claims = (member.claim(),)
    return Gossip(Sender(sender.claim(), sender.endpoint), Updates(claims))


def gossip_about_core(
    core: MembershipCore, claimed: str, revision: int
) -> Gossip:
    """Returns gossip from member 1 about the core's own process."""
    member = make_member(1)
    state = MemberState.DRAINING if claimed == 'draining' else MemberState.DEAD
    claim = evolve(core.me.claim(), revision=revision, state=state)
    news = Updates((claim,))
    if claimed == 'suspected':
        claim = evolve(claim, state=MemberState.SERVING)
        news = Updates((), (claim,))
    return Gossip(Sender(member.claim(), member.endpoint), news)


def ack_to(actions: list) -> Ack | None:
    """Returns the ack of member 1 if one of the actions pings it."""
    member = make_member(1)
    for action in actions:
        ping = action.message
        if isinstance(ping, Ping) and ping.target_id == member.member_id:
            sender = Sender(member.claim(), member.endpoint)
            return Ack(sender, ping.origin, ping.sequence, member.claim())
    return None


def largest_message(kind: str) -> bytes:
    """Returns the signed datagram of the largest message of a kind."""
    members = [
        evolve(
            make_member(number),
            name=f'agent-of-a-service-with-a-long-name-{number:05d}',
            member_id=0,
            incarnation=2**63,
        )
        for number in range(UPDATE_COUNT_MAX)
    ]
    sender = Sender(members[0].claim(), Endpoint('255.255.255.255', 65535))
    claims = tuple(member.claim() for member in members)
    news = Updates(claims)
    messages = {
        'Ping': Ping(sender, sender.endpoint, 1, 1, True, news),
        'Ack': Ack(sender, sender.endpoint, 1, claims[0], news),
        'Gossip': Gossip(sender, news),
        'Digest': Digest(sender, pack_bucket_sums(MemberTable()), True),
        'Listing': Listing(sender, 0, 2**64 - 1, claims),
        'Records': next(iter(batch_records(sender, members))),
    }
    frame = encode_frame(membership, messages[kind])
    return Keyring((b'k' * 16,)).sign(frame)


def ping_to(target: Member) -> Ping:
    """Returns a ping from member 1."""
    member = make_member(1)
    sender = Sender(member.claim(), member.endpoint)
    return Ping(sender, member.endpoint, 1, target.member_id, False)
