"""Candidates of a flow: targets ranked by rendezvous hashing."""

from heapq import nlargest

from xxhash import xxh3_64_intdigest

from cumindrift.membership.member import Member
from cumindrift.membership.view import ServiceName, View
from cumindrift.traffic.message import Candidate

CANDIDATE_COUNT = 4


def rendezvous_score(flow_key: bytes, member_id: int) -> int:
    """Returns a member's score; the flow's home has the highest one."""
    return xxh3_64_intdigest(flow_key, member_id)


def rank(
    flow_key: bytes,
    targets: tuple[Member, ...],
    count: int = CANDIDATE_COUNT,
) -> list[Member]:
    """Returns the `count` best targets, from two data centres if possible.

    The order depends on membership alone. If all of the best `count` are in
    one data centre, the best target of any other data centre replaces the
    last one.
    """
    ordered = nlargest(
        count,
        targets,
        key=lambda member: rendezvous_score(flow_key, member.member_id),
    )
    if len(ordered) < count:
        return ordered
    first_centre = ordered[0].data_centre
    if any(member.data_centre != first_centre for member in ordered):
        return ordered
    elsewhere = [
        member for member in targets if member.data_centre != first_centre
    ]
    if elsewhere:
        ordered[-1] = max(
            elsewhere,
            key=lambda member: rendezvous_score(flow_key, member.member_id),
        )
    return ordered


def candidate_of(member: Member) -> Candidate:
    """Returns a member as it is encoded in messages."""
    return Candidate(
        member.member_id,
        member.endpoint.ip,
        member.endpoint.port,
    )


def candidates_in(
    view: View,
    name: ServiceName,
    flow_key: bytes,
) -> tuple[Candidate, ...]:
    """Returns the flow's candidates in `view`, home first."""
    ranked = rank(flow_key, view.targets(name))
    return tuple(candidate_of(member) for member in ranked)
