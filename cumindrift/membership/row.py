"""Claims and records as flat tuples, which are sent column by column."""

from collections.abc import Iterator
from sys import intern
from typing import Any

from cumindrift.address import Endpoint
from cumindrift.membership.member import Claim, Member, MemberState


def claim_row(claim: Claim) -> tuple[int, int, int, int]:
    """Returns the fields of a claim."""
    return (
        claim.member_id,
        claim.incarnation,
        claim.revision,
        int(claim.state),
    )


def claim_from_row(
    member_id: int,
    incarnation: int,
    revision: int,
    state: int,
) -> Claim:
    """Returns the claim; raises ValueError for an unknown state."""
    return Claim(member_id, incarnation, revision, MemberState(state))


def member_row(member: Member) -> tuple[Any, ...]:
    """Returns the fields of a record; its id is derived from the name."""
    return (*_identity_fields(member), *_state_fields(member))


def member_from_row(name: str, *row: Any) -> Member:
    """Returns the record; raises ValueError for an unknown state.

    Strings that many members share are interned, since a view holds
    thousands of records.
    """
    role, region, data_centre, team, service = map(intern, row[:5])
    return Member(
        name=name,
        role=role,
        region=region,
        data_centre=data_centre,
        endpoint=Endpoint(*row[5:7]),
        incarnation=row[7],
        revision=row[8],
        state=MemberState(row[9]),
        team=team,
        service=service,
    )


def _identity_fields(member: Member) -> Iterator[str]:
    yield member.name
    yield member.role
    yield member.region
    yield member.data_centre
    yield member.team
    yield member.service


def _state_fields(member: Member) -> Iterator[Any]:
    yield member.endpoint.ip
    yield member.endpoint.port
    yield member.incarnation
    yield member.revision
    yield int(member.state)


claim_columns = (
    ('memberIds', 'incarnations', 'revisions', 'states'),
    claim_row,
    claim_from_row,
)

member_columns = (
    (
        'names',
        'roles',
        'regions',
        'dataCentres',
        'teams',
        'services',
        'ips',
        'ports',
        'incarnations',
        'revisions',
        'states',
    ),
    member_row,
    member_from_row,
)
