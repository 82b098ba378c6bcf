"""Placement policies: choose the candidate that accepts a new flow."""

from collections.abc import Callable, Sequence
from enum import Enum, unique
from random import Random

from attrs import define

from cumindrift.registry import Registry
from cumindrift.traffic.message import LoadReport


@unique
class Choice(Enum):
    """What an agent does with an opening packet that it received."""

    TAKE = 'take'
    PASS = 'pass'  # noqa: S105
    ASSIGN = 'assign'
    REFUSE = 'refuse'


@define(frozen=True, slots=True)
class Decision:
    """A choice; for ASSIGN, with the id of the chosen member."""

    choice: Choice
    member_id: int = 0


LoadProbe = Callable[[int], LoadReport]
# Arguments: the load reports from the flow's home to the deciding agent, whose
# own is the last; the number of candidates left; a random generator.
Policy = Callable[[Sequence[LoadReport], int, Random], Decision]

policies: Registry[Policy] = Registry('placement policy')


@policies.register('home-only')
def place_home_only(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Takes the flow at its home or refuses it: a baseline to compare with."""
    if reports[-1].can_take:
        return Decision(Choice.TAKE)
    return Decision(Choice.REFUSE)


@policies.register('first-with-room')
def place_first(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Takes the flow at the first candidate with free capacity."""
    if reports[-1].can_take:
        return Decision(Choice.TAKE)
    return Decision(Choice.PASS if left else Choice.REFUSE)


@policies.register('random')
def place_random(
    reports: Sequence[LoadReport],
    left: int,
    random: Random,
) -> Decision:
    """Asks every candidate, then picks a random one with free capacity."""
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
    """Picks the lighter of two candidates; asks more if both are full."""
    if len(reports) < 2 and left:
        return Decision(Choice.PASS)
    return _lightest(reports, left)


@policies.register('lightest')
def place_lightest(
    reports: Sequence[LoadReport],
    left: int,
    _random: Random,
) -> Decision:
    """Asks every candidate, then picks the least loaded one."""
    if left:
        return Decision(Choice.PASS)
    return _lightest(reports, 0)


def assign_lightest(reports: Sequence[LoadReport]) -> Decision:
    """Assigns the least loaded of the agents that reported free capacity."""
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
    # The flow count breaks ties.
    return (report.load_ppm, report.flow_count)
