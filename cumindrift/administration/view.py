"""Pages that show teams, services and whether the deployment holds."""

from typing import Any

from attrs import asdict

from cumindrift.administration.answer import (
    HttpAnswer,
    HttpRequest,
    Later,
    Reply,
    answer_done,
    answer_refusal,
    operator_routes,
)
from cumindrift.administration.fact import Facts, gather_facts
from cumindrift.administration.handover import Finding, judge_handover
from cumindrift.administration.settings import writer_of
from cumindrift.code import ResultCode
from cumindrift.context import Context
from cumindrift.membership.member import MemberState
from cumindrift.membership.view import ServiceName
from cumindrift.outcome import Done, NotRun, Outcome, Refused
from cumindrift.settings.record import Record
from cumindrift.settings.tree import Service

_FINDINGS_MAX = 200


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
        absent = NotRun(ResultCode.PLATFORM_DOWN)
        return _answer_handover(context, absent)

    def start(reply: Reply) -> None:
        writer.read_record(
            lambda outcome: reply(_answer_handover(context, outcome)),
        )

    return Later(start)


def _answer_handover(context: Context, outcome: Outcome) -> HttpAnswer:
    stored_version = None
    if isinstance(outcome, Done):
        record: Record = outcome.content
        stored_version = record.version
    facts = _facts(context, stored_version)
    findings = judge_handover(facts)
    return answer_done(
        ResultCode.DONE,
        version=facts.version,
        stored_version=stored_version,
        holds=all(finding.holds for finding in findings),
        findings=[_bare_finding(each) for each in findings[:_FINDINGS_MAX]],
    )


def _bare_finding(finding: Finding) -> dict[str, Any]:
    return asdict(finding)


def _facts(context: Context, stored_version: int | None = None) -> Facts:
    versions = context.publisher.versions() if context.publisher else {}
    return gather_facts(
        context.snapshots.snapshot,
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
