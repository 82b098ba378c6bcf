"""API pages about teams, services and the state of the deployment."""

from typing import Any

from attrs import asdict

from cumindrift.administration.deployment import (
    DeploymentState,
    collect_deployment_state,
)
from cumindrift.administration.handover import run_handover_checks
from cumindrift.administration.routing import (
    DeferredResponse,
    HttpRequest,
    HttpResponse,
    Responder,
    done_response,
    error_response,
    operator_routes,
)
from cumindrift.administration.settings import make_writer, no_platform_response
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.membership.member import MemberState
from cumindrift.membership.view import ServiceName
from cumindrift.outcome import Done, Outcome, Refused
from cumindrift.settings.record import SettingsRecord
from cumindrift.settings.tree import Service

_FINDINGS_MAX = 200
# How long a handover report waits for the versions of members: a base, plus
# one second for every SURVEYED_PER_S members, up to a bound.
SURVEY_WAIT_S = 1.5
SURVEYED_PER_S = 1000
SURVEY_WAIT_MAX_S = 30.0


@operator_routes.register('GET /teams')
def show_teams(context: Context, request: HttpRequest) -> HttpResponse:
    """Lists the teams with the numbers of their services and targets."""
    deployment = _deployment_state(context)
    teams = [
        {
            'team': name,
            'services': len(team.services),
            'targets': sum(
                len(deployment.targets.get(ServiceName(name, service), ()))
                for service in team.services
            ),
        }
        for name, team in deployment.tree.teams.items()
    ]
    return done_response(
        ResultCode.DONE, version=deployment.version, teams=teams
    )


@operator_routes.register('GET /services')
def show_services(context: Context, request: HttpRequest) -> HttpResponse:
    """Lists the services of all teams or of one, with their targets."""
    deployment = _deployment_state(context)
    wanted = request.subpath.strip('/')
    if wanted and wanted not in deployment.tree.teams:
        refused = Refused(
            ResultCode.NO_SUCH_PATH, f'/teams/{wanted}', 'no such team'
        )
        return error_response(refused)
    services = [
        _service_to_json(deployment, ServiceName(team_name, name), service)
        for team_name, team in deployment.tree.teams.items()
        for name, service in team.services.items()
        if wanted in {'', team_name}
    ]
    return done_response(
        ResultCode.DONE,
        version=deployment.version,
        services=services,
    )


@operator_routes.register('GET /status')
def show_status(context: Context, request: HttpRequest) -> HttpResponse:
    """Returns this balancer's view of members, version and data centres."""
    deployment = _deployment_state(context)
    states: dict[str, int] = {}
    for member in deployment.members:
        key = f'{member.role} {MemberState(member.state).name.lower()}'
        states[key] = states.get(key, 0) + 1
    return done_response(
        ResultCode.DONE,
        version=deployment.version,
        process=context.settings.name,
        data_centre=context.settings.data_centre,
        data_centres={
            name: place.state
            for name, place in deployment.tree.data_centres.items()
        },
        members=states,
    )


@operator_routes.register('GET /handover')
def show_handover(
    context: Context,
    request: HttpRequest,
) -> HttpResponse | DeferredResponse:
    """Returns the handover report with the finding of every check."""
    writer = make_writer(context)
    if writer is None:
        return no_platform_response()
    return DeferredResponse(
        lambda responder: writer.read_record(
            lambda outcome: _survey_and_respond(context, responder, outcome),
        ),
    )


def _survey_and_respond(
    context: Context,
    responder: Responder,
    outcome: Outcome,
) -> None:
    """Replies at once if every member is known to be up to date.

    Otherwise it asks the members for their versions and replies later.
    """
    stored_version = None
    if isinstance(outcome, Done):
        record: SettingsRecord = outcome.content
        stored_version = record.version
    deployment = _deployment_state(context, stored_version)
    if not deployment.outdated_members():
        responder.reply(_handover_response(deployment))
        return
    context.distribution.survey()
    wait_s = SURVEY_WAIT_S + len(deployment.members) / SURVEYED_PER_S
    responder.call_after(
        min(wait_s, SURVEY_WAIT_MAX_S),
        lambda: responder.reply(
            _handover_response(_deployment_state(context, stored_version)),
        ),
    )


def _handover_response(deployment: DeploymentState) -> HttpResponse:
    findings = run_handover_checks(deployment)
    return done_response(
        ResultCode.DONE,
        version=deployment.version,
        stored_version=deployment.stored_version,
        holds=all(finding.holds for finding in findings),
        findings=[asdict(finding) for finding in findings[:_FINDINGS_MAX]],
    )


def _deployment_state(
    context: Context, stored_version: int | None = None
) -> DeploymentState:
    snapshot = context.snapshots.snapshot
    versions = context.distribution.versions(context.clock())
    versions = {**versions, context.me.endpoint: snapshot.version}
    return collect_deployment_state(
        snapshot,
        context.membership.view.members.values(),
        versions,
        stored_version,
    )


def _service_to_json(
    deployment: DeploymentState,
    name: ServiceName,
    service: Service,
) -> dict[str, Any]:
    places: dict[str, dict[str, int]] = {}
    for member in deployment.targets.get(name, ()):
        states = places.setdefault(member.data_centre, {})
        state = MemberState(member.state).name.lower()
        states[state] = states.get(state, 0) + 1
    return {
        'team': name.team,
        'service': name.service,
        'address': f'{service.ip}:{service.port}/{service.protocol}',
        'front': service.front,
        'placement': service.placement,
        'planned': service.endpoints,
        'targets': places,
    }
