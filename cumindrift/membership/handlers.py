"""Handlers of the membership messages, registered by class name."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING, Any

from attrs import evolve

from cumindrift.code import ResultCode
from cumindrift.membership.anti_entropy import (
    ANSWER_MESSAGES_MAX,
    answer_digest,
    batch_records,
    differing_buckets,
    missing_at_peer,
    unpack_bucket_sums,
)
from cumindrift.membership.dissemination import UPDATE_COUNT_MAX
from cumindrift.membership.member import Claim, Member
from cumindrift.membership.message import (
    Ack,
    Digest,
    Gossip,
    Listing,
    Ping,
    PingRequest,
    RecordRequest,
    Records,
    Sender,
    Updates,
)
from cumindrift.membership.table import BUCKET_COUNT
from cumindrift.metric import DROPS
from cumindrift.registry import Registry
from cumindrift.traffic.action import SendMessage

if TYPE_CHECKING:
    from cumindrift.membership.core import MembershipCore

MessageHandler = Callable[['MembershipCore', Any, float], list[SendMessage]]

# A process has joined once it differs from a peer in at most so many buckets.
JOINED_BUCKETS_MAX = 1

message_handlers: Registry[MessageHandler] = Registry('membership message')


@message_handlers.register('Ping')
def on_ping(
    core: MembershipCore,
    ping: Ping,
    now_s: float,
) -> list[SendMessage]:
    """Sends an ack; also refutes the suspicion if there is one."""
    if ping.target_id != core.me.member_id:
        return _drop(ResultCode.MESSAGE_MISDIRECTED)
    actions = apply_updates(core, ping.sender, ping.news, now_s)
    if ping.is_doubted:
        core.local_state.refute(now_s)
    if core.me.is_gone:
        return actions
    ack = Ack(
        core.sender,
        ping.origin,
        ping.sequence,
        core.local_state.me.claim(),
        core.local_state.dissemination.next_updates(now_s),
    )
    return [*actions, SendMessage(ping.sender.endpoint, ack)]


@message_handlers.register('Ack')
def on_ack(core: MembershipCore, ack: Ack, now_s: float) -> list[SendMessage]:
    """Ends a probe, or forwards the ack to the member that started it."""
    claims = (*ack.news.claims, ack.subject)
    updates = Updates(claims, ack.news.suspicions)
    actions = apply_updates(core, ack.sender, updates, now_s)
    if ack.origin != core.me.endpoint:
        forwarded = evolve(ack, sender=core.sender, news=Updates())
        return [*actions, SendMessage(ack.origin, forwarded)]
    member_id = ack.subject.member_id
    if not core.detector.on_ack(member_id, ack.sequence, now_s):
        DROPS.labels(ResultCode.MESSAGE_STALE.name).inc()
    return actions


@message_handlers.register('PingRequest')
def on_ping_request(
    core: MembershipCore,
    request: PingRequest,
    now_s: float,
) -> list[SendMessage]:
    """Pings a member on behalf of one that gets no answer from it."""
    ping = Ping(
        core.sender,
        request.sender.endpoint,
        request.sequence,
        request.target_id,
        request.is_doubted,
        core.local_state.dissemination.next_updates(now_s),
    )
    actions = apply_updates(core, request.sender, Updates(), now_s)
    return [*actions, SendMessage(request.target, ping)]


@message_handlers.register('Gossip')
def on_gossip(
    core: MembershipCore,
    gossip: Gossip,
    now_s: float,
) -> list[SendMessage]:
    """Applies the updates."""
    return apply_updates(core, gossip.sender, gossip.news, now_s)


@message_handlers.register('Digest')
def on_digest(
    core: MembershipCore,
    digest: Digest,
    now_s: float,
) -> list[SendMessage]:
    """Sends the records and listings that the peer needs.

    Marks this process as joined if the tables differ in at most
    JOINED_BUCKETS_MAX buckets.
    """
    actions = apply_updates(core, digest.sender, Updates(), now_s)
    sums = unpack_bucket_sums(digest.sums)
    if not sums:
        return _drop(ResultCode.MESSAGE_MALFORMED)
    differing = len(differing_buckets(core.local_state.table, sums))
    if differing <= JOINED_BUCKETS_MAX:
        core.is_joined = True
    start = core.random.randrange(BUCKET_COUNT)
    answers: list[Any] = answer_digest(
        core.local_state.table,
        core.sender,
        sums,
        start,
    )
    if digest.wants_digest:
        answers.append(core.digest(wants_digest=False))
    peer = digest.sender.endpoint
    return [*actions, *(SendMessage(peer, answer) for answer in answers)]


@message_handlers.register('Listing')
def on_listing(
    core: MembershipCore,
    listing: Listing,
    now_s: float,
) -> list[SendMessage]:
    """Applies what is newer at the peer; sends what is newer here."""
    updates = Updates(listing.claims)
    actions = apply_updates(core, listing.sender, updates, now_s)
    records, deaths = missing_at_peer(core.local_state.table, listing)
    peer = listing.sender.endpoint
    answers = islice(batch_records(core.sender, records), ANSWER_MESSAGES_MAX)
    actions += [SendMessage(peer, answer) for answer in answers]
    if deaths:
        gossip = Gossip(core.sender, Updates(tuple(deaths)))
        actions.append(SendMessage(peer, gossip))
    return actions


@message_handlers.register('RecordRequest')
def on_record_request(
    core: MembershipCore,
    request: RecordRequest,
    now_s: float,
) -> list[SendMessage]:
    """Sends the requested records."""
    actions = apply_updates(core, request.sender, Updates(), now_s)
    table = core.local_state.table
    wanted = map(table.known, request.member_ids[:UPDATE_COUNT_MAX])
    known = [member for member in wanted if member is not None]
    peer = request.sender.endpoint
    actions += [
        SendMessage(peer, records)
        for records in batch_records(core.sender, known)
    ]
    return actions


@message_handlers.register('Records')
def on_records(
    core: MembershipCore,
    records: Records,
    now_s: float,
) -> list[SendMessage]:
    """Applies whole records."""
    for member in records.members:
        core.local_state.apply_record(member, now_s)
    return apply_updates(core, records.sender, Updates(), now_s)


def apply_updates(
    core: MembershipCore,
    sender: Sender,
    updates: Updates,
    now_s: float,
) -> list[SendMessage]:
    """Applies updates and the sender's state; requests missing records.

    A sender that was declared dead, or has an old incarnation, is sent the
    newer claim on itself: it then refutes it or is superseded.
    """
    local_state = core.local_state
    claims = (sender.claim, *updates.claims)
    missing = local_state.apply_updates(
        Updates(claims, updates.suspicions),
        now_s,
    )
    actions: list[SendMessage] = []
    if missing:
        request = RecordRequest(core.sender, tuple(missing[:UPDATE_COUNT_MAX]))
        actions.append(SendMessage(sender.endpoint, request))
    known = local_state.table.known(sender.claim.member_id)
    if known is not None and _is_stale(known, sender.claim):
        DROPS.labels(ResultCode.MESSAGE_STALE.name).inc()
        gossip = Gossip(core.sender, Updates((known.claim(),)))
        actions.append(SendMessage(sender.endpoint, gossip))
    return actions


def _is_stale(known: Member, claim: Claim) -> bool:
    is_other = known.is_gone or known.incarnation != claim.incarnation
    return is_other and known.rank > claim.rank


def _drop(code: ResultCode) -> list[SendMessage]:
    DROPS.labels(code.name).inc()
    return []
