"""Placement policies: which candidate takes a new flow."""

from collections.abc import Callable, Sequence
from enum import Enum, unique
from random import Random

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


LoadProbe = Callable[[int], LoadReport]
# Reports run from home to the deciding agent, whose own is the last; then
# how many candidates are left, and the randomness to use.
Policy = Callable[[Sequence[LoadReport], int, Random], Decision]

policies: Registry[Policy] = Registry('placement policy')


@policies.register('home-only')
def place_home_only(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Takes the flow at its home or refuses it: the simplest baseline."""
    if reports[-1].can_take:
        return Decision(Choice.TAKE)
    return Decision(Choice.REFUSE)


@policies.register('first-with-room')
def place_first(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Takes the flow at the first candidate that can bear it."""
    if reports[-1].can_take:
        return Decision(Choice.TAKE)
    return Decision(Choice.PASS if left else Choice.REFUSE)


@policies.register('random')
def place_random(
    reports: Sequence[LoadReport],
    left: int,
    random: Random,
) -> Decision:
    """Asks every candidate, then takes one that has room at random."""
    if left:
        return Decision(Choice.PASS)
    able = [report for report in reports if report.can_take]
    if not able:
        return Decision(Choice.REFUSE)
    return _take_or_assign(random.choice(able), reports)


@policies.register('lighter-of-two')
def place_lighter(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Compares home and second, and passes on only when both are full."""
    if len(reports) < 2 and left:
        return Decision(Choice.PASS)
    return _lightest(reports, left)


@policies.register('lightest')
def place_lightest(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Asks every candidate, then assigns the least loaded."""
    if left:
        return Decision(Choice.PASS)
    return _lightest(reports, 0)


def assign_lightest(reports: Sequence[LoadReport]) -> Decision:
    """Assigns the least loaded of other agents that had room."""
    able = [report for report in reports if report.can_take]
    if not able:
        return Decision(Choice.REFUSE)
    return Decision(Choice.ASSIGN, min(able, key=_load).member_id)


def _lightest(reports: Sequence[LoadReport], left: int) -> Decision:
    able = [report for report in reports if report.can_take]
    if not able:
        return Decision(Choice.PASS if left else Choice.REFUSE)
    return _take_or_assign(min(able, key=_load), reports)


def _take_or_assign(
    chosen: LoadReport,
    reports: Sequence[LoadReport],
) -> Decision:
    if chosen is reports[-1]:
        return Decision(Choice.TAKE)
    return Decision(Choice.ASSIGN, chosen.member_id)


def _load(report: LoadReport) -> tuple[int, int]:
    # Equal loads are told apart by their flows.
    return (report.load_ppm, report.flow_count)
