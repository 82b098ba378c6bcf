"""Pages that show teams, services and whether the deployment holds."""

from typing import Any

from attrs import asdict

from cumindrift.administration.answer import (
    HttpAnswer,
    HttpRequest,
    Later,
    Responder,
    answer_done,
    answer_refusal,
    operator_routes,
)
from cumindrift.administration.fact import Facts, gather_facts
from cumindrift.administration.handover import judge_handover
from cumindrift.administration.settings import no_platform, writer_of
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.membership.member import MemberState
from cumindrift.membership.view import ServiceName
from cumindrift.outcome import Done, Outcome, Refused
from cumindrift.settings.record import SettingsRecord
from cumindrift.settings.tree import Service

_FINDINGS_MAX = 200
# How long a handover report waits for members that have not reported.
SURVEY_WAIT_S = 1.5
SURVEYED_EACH_S = 1000
SURVEY_WAIT_MAX_S = 30.0


@operator_routes.register('GET /teams')
def show_teams(context: Context, request: HttpRequest) -> HttpAnswer:
    """Lists the teams with their services' numbers."""
    facts = _facts(context)
    teams = [
        {
            'team': name,
            'services': len(team.services),
            'targets': sum(
                len(facts.targets.get(ServiceName(name, service), ()))
                for service in team.services
            ),
        }
        for name, team in facts.tree.teams.items()
    ]
    return answer_done(ResultCode.DONE, version=facts.version, teams=teams)


@operator_routes.register('GET /services')
def show_services(context: Context, request: HttpRequest) -> HttpAnswer:
    """Lists services with their targets, of all teams or of one."""
    facts = _facts(context)
    wanted = request.rest.strip('/')
    if wanted and wanted not in facts.tree.teams:
        refused = Refused(
            ResultCode.NO_SUCH_PATH, f'/teams/{wanted}', 'no team'
        )
        return answer_refusal(refused)
    services = [
        _bare_service(facts, ServiceName(team_name, name), service)
        for team_name, team in facts.tree.teams.items()
        for name, service in team.services.items()
        if wanted in {'', team_name}
    ]
    return answer_done(
        ResultCode.DONE,
        version=facts.version,
        services=services,
    )


@operator_routes.register('GET /status')
def show_status(context: Context, request: HttpRequest) -> HttpAnswer:
    """Tells what this balancer believes: members, versions, places."""
    facts = _facts(context)
    states: dict[str, int] = {}
    for member in facts.members:
        key = f'{member.role} {MemberState(member.state).name.lower()}'
        states[key] = states.get(key, 0) + 1
    return answer_done(
        ResultCode.DONE,
        version=facts.version,
        process=context.settings.name,
        data_centre=context.settings.data_centre,
        data_centres={
            name: place.state for name, place in facts.tree.data_centres.items()
        },
        members=states,
    )


@operator_routes.register('GET /handover')
def show_handover(
    context: Context,
    request: HttpRequest,
) -> HttpAnswer | Later:
    """Tells whether the deployment holds unattended, and what would not."""
    writer = writer_of(context)
    if writer is None:
        return no_platform()
    return Later(
        lambda responder: writer.read_record(
            lambda outcome: _survey_and_answer(context, responder, outcome),
        ),
    )


def _survey_and_answer(
    context: Context,
    responder: Responder,
    outcome: Outcome,
) -> None:
    """Answers at once when every member is known to be up to date.

    Else all are asked for their versions, and the answer waits for them.
    """
    stored_version = None
    if isinstance(outcome, Done):
        record: SettingsRecord = outcome.content
        stored_version = record.version
    facts = _facts(context, stored_version)
    if not facts.lagging():
        responder.reply(_answer_handover(facts))
        return
    context.distribution.survey()
    wait_s = SURVEY_WAIT_S + len(facts.members) / SURVEYED_EACH_S
    responder.call_after(
        min(wait_s, SURVEY_WAIT_MAX_S),
        lambda: responder.reply(
            _answer_handover(_facts(context, stored_version)),
        ),
    )


def _answer_handover(facts: Facts) -> HttpAnswer:
    findings = judge_handover(facts)
    return answer_done(
        ResultCode.DONE,
        version=facts.version,
        stored_version=facts.stored_version,
        holds=all(finding.holds for finding in findings),
        findings=[asdict(finding) for finding in findings[:_FINDINGS_MAX]],
    )


def _facts(context: Context, stored_version: int | None = None) -> Facts:
    snapshot = context.snapshots.snapshot
    versions = context.distribution.versions(context.clock())
    versions = {**versions, context.me.endpoint: snapshot.version}
    return gather_facts(
        snapshot,
        context.membership.view.members.values(),
        versions,
        stored_version,
    )


def _bare_service(
    facts: Facts,
    name: ServiceName,
    service: Service,
) -> dict[str, Any]:
    places: dict[str, dict[str, int]] = {}
    for member in facts.targets.get(name, ()):
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
