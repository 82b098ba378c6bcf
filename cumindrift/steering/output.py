"""What the cores have done for them by their ports."""

from typing import Protocol

from cumindrift.steering.frame import AgentReport, ForwardedPacket


class CoreOutput(Protocol):
    """What every core needs."""

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Resets a flow, near what its client acknowledged last."""

    def forward(self, ip: str, forwarded: ForwardedPacket) -> None:
        """Sends a carried packet to an agent."""


class AgentOutput(CoreOutput, Protocol):
    """What an agent's core needs besides."""

    def deliver(self, octets: bytes) -> None:
        """Hands a packet to the target."""

    def answer(self, flow_key: bytes, octets: bytes) -> None:
        """Sends a packet to the flow's client."""

    def send_report(self, ip: str, report: AgentReport) -> None:
        """Sends news to a balancer."""

    def check_target(self) -> None:
        """Finds out whether the target's process still listens."""

    def check_entry(self) -> None:
        """Makes sure that the store still holds this agent's entry."""


class BalancerOutput(CoreOutput, Protocol):
    """What a balancer's core needs besides."""

    def remove_agent(self, name: str) -> None:
        """Takes the entry of an agent out of the store."""

    def verify_agents(self) -> None:
        """Asks the store for the list of agents as it is now."""

    def verify_manifest(self, version: int) -> None:
        """Asks for the manifest, of which that version is in force."""
