"""A balancer's copy of manifest, agents and evacuated data centres."""

from itertools import islice

from attrs import define, field

from cumindrift.fleet.copy_version import NOT_READ, CopyVersion
from cumindrift.fleet.manifest import Manifest
from cumindrift.fleet.ring import KeeperRing

# How many agents store who holds a flow; two, since one may have failed.
KEEPERS_PER_FLOW = 2


@define(frozen=True, slots=True)
class AgentEntry:
    """An agent's entry in the store."""

    name: str
    ip: str
    data_centre: str
    service: str


@define(slots=True, eq=False, repr=False)
class Directory:
    """The balancer's copy of the store's objects.

    Used by the balancer's core; updated by the fleet supervisor's children.
    """

    manifest: Manifest = field(factory=Manifest)
    manifest_revision: int = 0
    agents: dict[str, AgentEntry] = field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    evacuations_version: CopyVersion = field(factory=CopyVersion)
    manifest_copy_version: CopyVersion = field(factory=CopyVersion)
    # The revision up to which other balancers know the evacuations, while this
    # one is behind them.
    expected_evacuations_as_of: int = NOT_READ
    has_agents: bool = False
    has_evacuations: bool = False
    # The addresses of the agents in evacuated data centres.
    evacuated_ips: frozenset[str] = frozenset()
    ring: KeeperRing = field(factory=KeeperRing)
    _ips: frozenset[str] = frozenset()
    _by_service: dict[str, tuple[AgentEntry, ...]] = field(factory=dict)

    @property
    def is_complete(self) -> bool:
        """Tells whether every kind of object was read at least once."""
        return (
            self.manifest.version > 0
            and self.has_agents
            and self.has_evacuations
        )

    @property
    def has_outdated_evacuations(self) -> bool:
        """Tells whether other balancers know of a change that is missing."""
        known_as_of = self.evacuations_version.as_of
        return self.expected_evacuations_as_of > known_as_of

    def apply_manifest(self, manifest: Manifest, revision: int) -> bool:
        """Applies a manifest unless its revision is not newer."""
        if revision <= self.manifest_revision:
            return False
        self.manifest = manifest
        self.manifest_revision = revision
        return True

    def apply_agents(self, agents: dict[str, AgentEntry]) -> None:
        """Replaces the entries of all agents, by node name."""
        self.agents = agents
        self.has_agents = True
        self._ips = frozenset(entry.ip for entry in agents.values())
        self.ring = KeeperRing(self._ips)
        self._update_views()

    def apply_evacuations(self, data_centres: frozenset[str]) -> None:
        """Replaces the names of data centres that get no new flows."""
        self.evacuated = data_centres
        self.has_evacuations = True
        self._update_views()

    def agents_of(self, service: str) -> tuple[AgentEntry, ...]:
        """Returns the agents of a service outside evacuated data centres."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                entry
                for entry in self.agents.values()
                if entry.service == service
                and entry.data_centre not in self.evacuated
            )
            self._by_service[service] = found
        return found

    def keepers_of(self, flow_key: bytes) -> tuple[str, ...]:
        """Returns the record keepers of a flow, which store who holds it."""
        return tuple(islice(self.ring.order(flow_key), KEEPERS_PER_FLOW))

    def agent_ips(self) -> frozenset[str]:
        """Returns the addresses of the agents of all services."""
        return self._ips

    def has_agent_at(self, ip: str) -> bool:
        """Returns whether an agent with this address has an entry."""
        return ip in self._ips

    def _update_views(self) -> None:
        """Derives again what depends on agents and evacuations."""
        self._by_service.clear()
        self.evacuated_ips = frozenset(
            entry.ip
            for entry in self.agents.values()
            if entry.data_centre in self.evacuated
        )
