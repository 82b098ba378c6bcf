"""Decides whether a balancer believes the load in an agent's report."""

from collections.abc import Callable
from enum import Enum, unique

from attrs import define

from cumindrift.fleet.directory import Directory
from cumindrift.registry import Registry
from cumindrift.steering.balancer.load import AgentLoad
from cumindrift.steering.frame import EJECTED_PERCENT, AgentReport

# A report of an earlier incarnation that comes within this time of one of a
# later incarnation was delayed. Later, the time of day may have been set back.
REORDERED_WITHIN_S = 2.0


@unique
class ReportRefusal(Enum):
    """Why the load in a report is left out."""

    UNKNOWN_SENDER = 'no entry'
    OUT_OF_RANGE = 'out of range'
    OUTDATED = 'earlier incarnation'


@define(frozen=True, slots=True, eq=False, repr=False)
class ReceivedReport:
    """A report, and what the balancer knows of its sender."""

    ip: str
    report: AgentReport
    directory: Directory
    # The sender's load so far, if any.
    known: AgentLoad | None
    now_s: float


# Each check returns whether a report passes it.
ReportCheck = Callable[[ReceivedReport], bool]
report_checks: Registry[ReportCheck] = Registry('report check')


def refusal_of(received: ReceivedReport) -> ReportRefusal | None:
    """Returns why the load in a report is left out; None if it is believed."""
    for name, passes in report_checks:
        if not passes(received):
            return ReportRefusal[name]
    return None


@report_checks.register('UNKNOWN_SENDER')
def has_entry(received: ReceivedReport) -> bool:
    """Checks that the sender has an entry, once all entries are known.

    An agent whose entry has just been removed is still known by its load.
    """
    directory = received.directory
    if not directory.has_agents or received.known is not None:
        return True
    return directory.has_agent_at(received.ip)


@report_checks.register('OUT_OF_RANGE')
def is_in_range(received: ReceivedReport) -> bool:
    """Checks that the penalty is one that an agent may send."""
    return received.report.load.failure_percent <= EJECTED_PERCENT


@report_checks.register('OUTDATED')
def is_current(received: ReceivedReport) -> bool:
    """Checks that the report is not of a target that has been replaced."""
    known = received.known
    incarnation = received.report.incarnation
    # An agent that has just started reports 0: it knows no target yet.
    if known is None or not incarnation or incarnation >= known.incarnation:
        return True
    return received.now_s - known.reported_s > REORDERED_WITHIN_S
