"""What a balancer watches in the store, and how it applies changes."""

from ipaddress import IPv4Address
from typing import Any

from cumindrift.code import ResultCode
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.kind import AGENT_KIND, RECORD_KIND, log_unreadable
from cumindrift.fleet.peer_reader import PeerReader
from cumindrift.fleet.remover import Remover
from cumindrift.fleet.settings import NodeBounds
from cumindrift.fleet.watched_kind import CheckPlan, watch_kinds, watches
from cumindrift.fleet.watcher import Objects
from cumindrift.outcome import Refused
from cumindrift.platform.documents import (
    EVACUATION_KIND,
    MANIFEST_KIND,
    MANIFEST_NAME,
    read_manifest,
)
from cumindrift.supervision import ChildSpec

MANIFEST_BATCH_DELAY_S = 0.3
AGENT_BATCH_DELAY_S = 0.5
EVACUATION_BATCH_DELAY_S = 0.3
# The part of the time to apply an evacuation after which its watch is checked;
# the rest is for a list that is some seconds old.
EVACUATION_CHECK_SHARE = 0.4
# The same for a manifest; the rest is also for a call that has to be repeated.
MANIFEST_CHECK_SHARE = 0.6
# How many checks of the manifest in each period are not stale, over all
# balancers, if there are as many balancers as agents. One of them is enough: a
# balancer that knows a manifest tells the others.
FRESH_CHECKS_PER_PERIOD = 16
# For deployments with far fewer balancers than agents.
FRESH_SHARE_MIN = 0.1
# No bound says when an agent has to be known. Its target serves nobody before.
AGENT_CHECK_PERIOD_S = 4.0


def evacuation_check_s(bounds: NodeBounds) -> float:
    """Returns the longest time between two checks of the evacuations."""
    return bounds.evacuation_delay_s * EVACUATION_CHECK_SHARE


def manifest_check_s(bounds: NodeBounds) -> float:
    """Returns the longest time between two checks of the manifest."""
    return bounds.manifest_delay_s * MANIFEST_CHECK_SHARE


def manifest_fresh_share(context: NodeContext) -> float:
    """Returns the share of the checks of the manifest that are not stale.

    Each of them costs the store ten stale ones, and counts against its rate.
    """
    agents = max(len(context.directory.agents), FRESH_CHECKS_PER_PERIOD)
    return max(FRESH_CHECKS_PER_PERIOD / agents, FRESH_SHARE_MIN)


def agent_check_s(_bounds: NodeBounds) -> float:
    """Returns the longest time between two checks of the agents' entries."""
    return AGENT_CHECK_PERIOD_S


def watch_store(context: NodeContext) -> None:
    """Makes a balancer watch manifest, agents and evacuations."""
    context.directory = Directory()
    context.fleet_children.append(
        ChildSpec('peer-reader', lambda: PeerReader(context)),
    )
    watch_kinds(context)
    directory = context.directory
    directory.manifest_copy_version = context.watchers[MANIFEST_KIND].version
    directory.evacuations_version = context.watchers[EVACUATION_KIND].version
    context.remover = Remover()


def remove_agent(context: NodeContext, name: str) -> None:
    """Removes the entry and flow record of an agent that has ended."""
    item = context.watchers[AGENT_KIND].objects.get(name)
    if item is not None:
        context.remover.remove(AGENT_KIND, name, item.revision)
        context.remover.remove(RECORD_KIND, name, 0)


@watches(
    MANIFEST_KIND,
    batch_delay_s=MANIFEST_BATCH_DELAY_S,
    check=CheckPlan('changes', manifest_check_s, manifest_fresh_share),
)
def apply_manifest(context: NodeContext, objects: Objects) -> None:
    """Applies the manifest unless a newer one is in force."""
    item = objects.get(MANIFEST_NAME)
    if item is None:
        return
    outcome = read_manifest(item.content)
    if isinstance(outcome, Refused):
        log_unreadable(context, MANIFEST_KIND, item.name, outcome)
        return
    directory = context.directory
    known = directory.manifest.version
    if directory.apply_manifest(outcome.content, item.revision):
        context.events.note_urgently(
            'manifest-taken',
            manifest=outcome.content.version,
            known=known,
            revision=item.revision,
            routes=len(outcome.content.routes),
        )


@watches(
    AGENT_KIND,
    batch_delay_s=AGENT_BATCH_DELAY_S,
    check=CheckPlan('changes', agent_check_s),
)
def apply_agents(context: NodeContext, objects: Objects) -> None:
    """Applies the entries of all agents; unreadable ones are left out."""
    agents = {}
    for item in objects.values():
        entry = parse_agent_entry(item.name, item.content)
        if isinstance(entry, Refused):
            log_unreadable(context, AGENT_KIND, item.name, entry)
        else:
            agents[item.name] = entry
    known = context.directory.agents
    context.directory.apply_agents(agents)
    for name in sorted(agents.keys() | known.keys()):
        if agents.get(name) != known.get(name):
            _log_agent(context, name, agents.get(name))


@watches(
    EVACUATION_KIND,
    batch_delay_s=EVACUATION_BATCH_DELAY_S,
    check=CheckPlan('list', evacuation_check_s),
)
def apply_evacuations(context: NodeContext, objects: Objects) -> None:
    """Applies the names of the data centres that get no new flows."""
    data_centres = frozenset(objects)
    if data_centres != context.directory.evacuated:
        context.events.note_urgently(
            'evacuations-taken',
            data_centres=sorted(data_centres),
            revisions=[objects[name].revision for name in sorted(objects)],
        )
    context.directory.apply_evacuations(data_centres)


def parse_agent_entry(name: str, content: Any) -> AgentEntry | Refused:
    """Parses an entry, which any client of the store may have written."""
    if not isinstance(content, dict):
        return Refused(ResultCode.WRONG_TYPE, name, 'expected a JSON object')
    found = [content.get(key) for key in ('ip', 'data_centre', 'service')]
    if not all(isinstance(text, str) and text for text in found):
        return Refused(
            ResultCode.WRONG_TYPE,
            name,
            'ip, data_centre and service must be non-empty strings',
        )
    try:
        IPv4Address(found[0])
    except ValueError as error:
        return Refused(ResultCode.WRONG_TYPE, name, str(error))
    return AgentEntry(name, *found)


def _log_agent(
    context: NodeContext,
    name: str,
    entry: AgentEntry | None,
) -> None:
    context.events.note(
        'agent-entry',
        agent=name,
        is_there=entry is not None,
        ip=entry.ip if entry else '',
        service=entry.service if entry else '',
        data_centre=entry.data_centre if entry else '',
    )
