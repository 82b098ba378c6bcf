"""What a balancer follows in the store, and takes into force."""

from functools import partial
from typing import Any

from cumindrift.code import ResultCode
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.directory import AgentEntry, Directory
from cumindrift.fleet.follower import KindFollower, Objects
from cumindrift.fleet.kind import AGENT_KIND, RECORD_KIND, note_unreadable
from cumindrift.fleet.peering import PeerReader
from cumindrift.fleet.remover import Remover
from cumindrift.outcome import Refused
from cumindrift.platform.documents import (
    EVACUATION_KIND,
    MANIFEST_KIND,
    MANIFEST_NAME,
    read_manifest,
)
from cumindrift.supervision import ChildSpec

MANIFEST_GATHER_S = 0.3
AGENT_GATHER_S = 0.5
# A list to prove that a flow has no holder is asked this seldom.
VERIFY_PERIOD_S = 1.0


def follow_store(context: NodeContext) -> None:
    """Makes a balancer follow manifest, agents and evacuations."""
    context.directory = Directory()
    context.fleet_children.append(
        ChildSpec('peer-reader', lambda: PeerReader(context)),
    )
    for kind, take, gather_s in (
        (MANIFEST_KIND, take_manifest, MANIFEST_GATHER_S),
        (AGENT_KIND, take_agents, AGENT_GATHER_S),
        (EVACUATION_KIND, take_evacuations, 0.0),
    ):
        context.followers[kind] = KindFollower(
            kind,
            partial(take, context),
            context.random,
            gather_s,
        )
    context.remover = Remover()


def remove_agent(context: NodeContext, name: str) -> None:
    """Takes away the entry of an agent that is gone for good."""
    item = context.followers[AGENT_KIND].objects.get(name)
    if item is not None:
        context.remover.remove(AGENT_KIND, name, item.revision)
        context.remover.remove(RECORD_KIND, name, 0)


def verify_kind(context: NodeContext, kind: str) -> None:
    """Asks for the whole list of a kind, at most once a period."""
    follower = context.followers[kind]
    is_recent = context.clock() - follower.verified_s < VERIFY_PERIOD_S
    if is_recent or not follower.is_watching or context.link is None:
        return
    context.link.drop(follower)
    follower.list_again()
    context.link.run_due()


def take_manifest(context: NodeContext, objects: Objects) -> None:
    """Takes the manifest into force unless a newer one is."""
    item = objects.get(MANIFEST_NAME)
    if item is None:
        return
    outcome = read_manifest(item.content)
    if isinstance(outcome, Refused):
        note_unreadable(context, MANIFEST_KIND, item.name, outcome)
        return
    directory = context.directory
    known = directory.manifest.version
    if directory.take_manifest(outcome.content, item.revision):
        context.events.note_urgently(
            'manifest-taken',
            manifest=outcome.content.version,
            known=known,
            revision=item.revision,
            routes=len(outcome.content.routes),
        )


def take_agents(context: NodeContext, objects: Objects) -> None:
    """Takes the entries of all agents; strange ones are left out."""
    agents = {}
    for item in objects.values():
        entry = entry_of(item.name, item.content)
        if isinstance(entry, Refused):
            note_unreadable(context, AGENT_KIND, item.name, entry)
        else:
            agents[item.name] = entry
    known = context.directory.agents
    context.directory.take_agents(agents)
    for name in sorted(agents.keys() | known.keys()):
        if agents.get(name) != known.get(name):
            _note_agent(context, name, agents.get(name))


def take_evacuations(context: NodeContext, objects: Objects) -> None:
    """Takes the names of the data centres that get nothing new."""
    data_centres = frozenset(objects)
    if data_centres != context.directory.evacuated:
        context.events.note_urgently(
            'evacuations-taken',
            data_centres=sorted(data_centres),
            revisions=[item.revision for item in objects.values()],
        )
    context.directory.take_evacuations(data_centres)


def entry_of(name: str, content: Any) -> AgentEntry | Refused:
    """Reads an entry, which another writer may have left."""
    if not isinstance(content, dict):
        return Refused(ResultCode.WRONG_TYPE, name, 'an entry is an object')
    found = [content.get(key) for key in ('ip', 'data_centre', 'service')]
    if not all(isinstance(text, str) and text for text in found):
        return Refused(ResultCode.WRONG_TYPE, name, 'a field is missing')
    return AgentEntry(name, *found)


def _note_agent(
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
