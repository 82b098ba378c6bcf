"""The shift handover report: can the deployment run unattended?

Supervisors read it when their shift changes. It has nothing to do with the
handover of flows between agents.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from attrs import define

from cumindrift.administration.deployment import DeploymentState
from cumindrift.membership.view import ServiceName
from cumindrift.registry import Registry
from cumindrift.settings.tree import Service

_NAMES_SHOWN_MAX = 5


@define(frozen=True, slots=True)
class Finding:
    """One result of a handover check; False `holds` requires action."""

    check: str
    subject: str
    holds: bool
    detail: str


HandoverCheck = Callable[[DeploymentState], Iterator[Finding]]
# Checks run in the order of their names.
handover_checks: Registry[HandoverCheck] = Registry('handover check')


def run_handover_checks(deployment: DeploymentState) -> list[Finding]:
    """Runs every check; returns failed findings first."""
    findings = [
        finding for _, check in handover_checks for finding in check(deployment)
    ]
    return sorted(findings, key=lambda finding: finding.holds)


@handover_checks.register('in-force')
def check_in_force(deployment: DeploymentState) -> Iterator[Finding]:
    """Checks that every member runs the newest settings version."""
    newest = deployment.newest_version
    outdated = sorted(member.name for member in deployment.outdated_members())
    detail = (
        f'version {newest} is in force on {len(deployment.members)} members'
    )
    if outdated:
        shown = ', '.join(outdated[:_NAMES_SHOWN_MAX])
        detail = f'{len(outdated)} members lack version {newest}: {shown}'
    yield Finding('in-force', f'version {newest}', not outdated, detail)


@handover_checks.register('platform')
def check_platform(deployment: DeploymentState) -> Iterator[Finding]:
    """Checks that the platform is reachable.

    While it is not, no settings can be written, and those in force stay.
    """
    is_reached = deployment.stored_version is not None
    detail = 'reachable'
    if not is_reached:
        detail = 'not reachable: settings stay in force, none can be written'
    yield Finding('platform', 'store', is_reached, detail)


@handover_checks.register('planned')
def check_planned(deployment: DeploymentState) -> Iterator[Finding]:
    """Checks that each data centre has its planned number of targets."""
    for name, service in _services(deployment):
        found = Counter(
            member.data_centre for member in deployment.available_targets(name)
        )
        for place, planned in service.endpoints.items():
            if deployment.tree.data_centres[place].state == 'in':
                yield Finding(
                    'planned',
                    f'{name} in {place}',
                    found[place] >= planned,
                    f'{found[place]} of {planned} targets',
                )


@handover_checks.register('data-centre-lost')
def check_data_centre_lost(deployment: DeploymentState) -> Iterator[Finding]:
    """Checks that each service survives the loss of any one data centre."""
    places = sorted(
        name
        for name, place in deployment.tree.data_centres.items()
        if place.state == 'in'
    )
    for name, service in _services(deployment):
        found = Counter(
            member.data_centre for member in deployment.available_targets(name)
        )
        for lost in places:
            left = found.total() - found[lost]
            yield _check_loss(service, f'{name} without {lost}', left)


def _check_loss(service: Service, subject: str, left: int) -> Finding:
    slots = left * service.slots
    detail = f'{left} targets with {slots} slots remain'
    holds = left > 0 and slots >= service.peak_slots
    if service.peak_slots:
        detail = f'{detail}, {service.peak_slots} needed'
    return Finding('data-centre-lost', subject, holds, detail)


def _services(
    deployment: DeploymentState,
) -> Iterator[tuple[ServiceName, Service]]:
    for team_name, team in deployment.tree.teams.items():
        for name, service in team.services.items():
            yield ServiceName(team_name, name), service
