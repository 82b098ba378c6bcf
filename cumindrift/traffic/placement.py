"""Placement policies: which candidate takes a new flow."""

from collections.abc import Callable, Sequence
from enum import Enum, unique

from attrs import define

from cumindrift.registry import Registry
from cumindrift.traffic.message import LoadReport


@unique
class Choice(Enum):
    """What an agent does with an open that has come to it."""

    TAKE = 'take'
    PASS = 'pass'  # noqa: S105
    ASSIGN = 'assign'
    REFUSE = 'refuse'


@define(frozen=True, slots=True)
class Decision:
    """A choice, with the member that an assigned open goes to."""

    choice: Choice
    member_id: int = 0


# Reports run from home to the deciding agent, whose own is the last.
Policy = Callable[[Sequence[LoadReport], int], Decision]

policies: Registry[Policy] = Registry('placement policy')


@policies.register('home-only')
def place_home_only(reports: Sequence[LoadReport], left: int) -> Decision:
    """Takes the flow at its home or refuses it: the simplest baseline."""
    if reports[-1].can_take:
        return Decision(Choice.TAKE)
    return Decision(Choice.REFUSE)


@policies.register('first-with-room')
def place_first(reports: Sequence[LoadReport], left: int) -> Decision:
    """Takes the flow at the first candidate that can bear it."""
    if reports[-1].can_take:
        return Decision(Choice.TAKE)
    return Decision(Choice.PASS if left else Choice.REFUSE)


@policies.register('lighter-of-two')
def place_lighter(reports: Sequence[LoadReport], left: int) -> Decision:
    """Compares home and second, and passes on only when both are full."""
    if len(reports) < 2 and left:
        return Decision(Choice.PASS)
    return _lightest(reports, left)


@policies.register('lightest')
def place_lightest(reports: Sequence[LoadReport], left: int) -> Decision:
    """Asks every candidate, then assigns the least loaded."""
    if left:
        return Decision(Choice.PASS)
    return _lightest(reports, 0)


def _lightest(reports: Sequence[LoadReport], left: int) -> Decision:
    able = [report for report in reports if report.can_take]
    if not able:
        return Decision(Choice.PASS if left else Choice.REFUSE)
    best = min(able, key=lambda report: report.load_permille)
    if best is reports[-1]:
        return Decision(Choice.TAKE)
    return Decision(Choice.ASSIGN, best.member_id)
