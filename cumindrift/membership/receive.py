"""What each membership message does, filed by its class name."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from attrs import evolve

from cumindrift.code import ResultCode
from cumindrift.membership.exchange import (
    ANSWER_MESSAGES_MAX,
    answer_digest,
    differing_buckets,
    newer_here,
    records_of,
    unpack_sums,
)
from cumindrift.membership.member import Claim, Member
from cumindrift.membership.message import (
    Ack,
    Digest,
    Gossip,
    Listing,
    News,
    Ping,
    PingRequest,
    Records,
    Sender,
    Want,
)
from cumindrift.membership.rumour import NEWS_COUNT_MAX
from cumindrift.membership.table import BUCKET_COUNT
from cumindrift.metric import DROPS
from cumindrift.registry import Registry
from cumindrift.traffic.action import SendMessage

if TYPE_CHECKING:
    from cumindrift.membership.gossip import MembershipCore

Handle = Callable[['MembershipCore', Any, float], list[SendMessage]]

# Who differs from a peer in at most this many buckets has joined.
JOINED_BUCKETS_MAX = 1

receivers: Registry[Handle] = Registry('membership message')


@receivers.register('Ping')
def on_ping(
    core: MembershipCore,
    ping: Ping,
    now_s: float,
) -> list[SendMessage]:
    """Answers, and announces this process anew when it is doubted."""
    if ping.target_id != core.me.member_id:
        return _drop(ResultCode.MESSAGE_MISDIRECTED)
    actions = take_news(core, ping.sender, ping.news, now_s)
    if ping.is_doubted:
        core.beliefs.refute(now_s)
    if core.me.is_gone:
        return actions
    ack = Ack(
        core.sender,
        ping.origin,
        ping.sequence,
        core.beliefs.me.claim(),
        core.beliefs.rumours.take(now_s),
    )
    return [*actions, core.send(ping.sender.endpoint, ack)]


@receivers.register('Ack')
def on_ack(core: MembershipCore, ack: Ack, now_s: float) -> list[SendMessage]:
    """Ends a probe, or passes the answer on to the prober."""
    claims = (*ack.news.claims, ack.subject)
    news = News(claims, ack.news.suspicions)
    actions = take_news(core, ack.sender, news, now_s)
    if ack.origin != core.me.endpoint:
        onward = evolve(ack, sender=core.sender, news=News())
        return [*actions, core.send(ack.origin, onward)]
    member_id = ack.subject.member_id
    if not core.detector.on_ack(member_id, ack.sequence, now_s):
        DROPS.labels(ResultCode.MESSAGE_STALE.name).inc()
    return actions


@receivers.register('PingRequest')
def on_ping_request(
    core: MembershipCore,
    request: PingRequest,
    now_s: float,
) -> list[SendMessage]:
    """Pings a member for a prober that gets no answer from it."""
    ping = Ping(
        core.sender,
        request.sender.endpoint,
        request.sequence,
        request.target_id,
        request.is_doubted,
        core.beliefs.rumours.take(now_s),
    )
    actions = take_news(core, request.sender, News(), now_s)
    return [*actions, core.send(request.target, ping)]


@receivers.register('Gossip')
def on_gossip(
    core: MembershipCore,
    gossip: Gossip,
    now_s: float,
) -> list[SendMessage]:
    """Takes the news."""
    return take_news(core, gossip.sender, gossip.news, now_s)


@receivers.register('Digest')
def on_digest(
    core: MembershipCore,
    digest: Digest,
    now_s: float,
) -> list[SendMessage]:
    """Sends what the peer lacks, in bounded slices."""
    actions = take_news(core, digest.sender, News(), now_s)
    sums = unpack_sums(digest.sums)
    if not sums:
        return _drop(ResultCode.MESSAGE_MALFORMED)
    differing = len(differing_buckets(core.beliefs.table, sums))
    if differing <= JOINED_BUCKETS_MAX:
        core.is_joined = True
    start = core.random.randrange(BUCKET_COUNT)
    answers: list[Any] = answer_digest(
        core.beliefs.table,
        core.sender,
        sums,
        start,
    )
    if digest.wants_digest:
        answers.append(core.digest(wants_digest=False))
    peer = digest.sender.endpoint
    return [*actions, *(core.send(peer, answer) for answer in answers)]


@receivers.register('Listing')
def on_listing(
    core: MembershipCore,
    listing: Listing,
    now_s: float,
) -> list[SendMessage]:
    """Takes what is newer there, and sends what is newer here."""
    news = News(listing.claims)
    actions = take_news(core, listing.sender, news, now_s)
    records, deaths = newer_here(core.beliefs.table, listing)
    peer = listing.sender.endpoint
    answers: list[Any] = records_of(core.sender, records)
    if deaths:
        answers.append(Gossip(core.sender, News(tuple(deaths))))
    actions += [
        core.send(peer, answer) for answer in answers[:ANSWER_MESSAGES_MAX]
    ]
    return actions


@receivers.register('Want')
def on_want(
    core: MembershipCore,
    want: Want,
    now_s: float,
) -> list[SendMessage]:
    """Sends the records that were asked for."""
    actions = take_news(core, want.sender, News(), now_s)
    table = core.beliefs.table
    wanted = want.member_ids[:NEWS_COUNT_MAX]
    known = [
        table.known(member_id)
        for member_id in wanted
        if table.known(member_id) is not None
    ]
    peer = want.sender.endpoint
    actions += [
        core.send(peer, records) for records in records_of(core.sender, known)
    ]
    return actions


@receivers.register('Records')
def on_records(
    core: MembershipCore,
    records: Records,
    now_s: float,
) -> list[SendMessage]:
    """Takes whole records."""
    for member in records.members:
        core.beliefs.take_record(member, now_s)
    return take_news(core, records.sender, News(), now_s)


def take_news(
    core: MembershipCore,
    sender: Sender,
    news: News,
    now_s: float,
) -> list[SendMessage]:
    """Takes the news and the sender's own state; asks for what is missing.

    A sender whose record is newer here is told so: it was declared dead,
    or is a process of an old incarnation.
    """
    beliefs = core.beliefs
    claims = (sender.claim, *news.claims)
    missing = beliefs.take_news(News(claims, news.suspicions), now_s)
    actions: list[SendMessage] = []
    if missing:
        want = Want(core.sender, tuple(missing[:NEWS_COUNT_MAX]))
        actions.append(core.send(sender.endpoint, want))
    known = beliefs.table.known(sender.claim.member_id)
    if known is not None and _is_stale(known, sender.claim):
        DROPS.labels(ResultCode.MESSAGE_STALE.name).inc()
        gossip = Gossip(core.sender, News((known.claim(),)))
        actions.append(core.send(sender.endpoint, gossip))
    return actions


def _is_stale(known: Member, claim: Claim) -> bool:
    is_other = known.is_gone or known.incarnation != claim.incarnation
    return is_other and known.rank > claim.rank


def _drop(code: ResultCode) -> list[SendMessage]:
    DROPS.labels(code.name).inc()
    return []
