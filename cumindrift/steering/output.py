"""Protocols of the I/O that cores request from their ports."""

from typing import Protocol

from cumindrift.steering.frame import AgentReport, ForwardedPacket


class CoreOutput(Protocol):
    """I/O that the cores of both roles request."""

    def reset(self, flow_key: bytes, acknowledged: int) -> None:
        """Sends the client a reset that it accepts.

        A client accepts a reset whose sequence number is near the one that
        it `acknowledged` last.
        """

    def forward(self, ip: str, forwarded: ForwardedPacket) -> None:
        """Sends a forwarded packet to an agent."""


class AgentOutput(CoreOutput, Protocol):
    """I/O that only an agent's core requests."""

    def deliver(self, octets: bytes) -> None:
        """Sends a packet to the target."""

    def answer(self, flow_key: bytes, octets: bytes) -> None:
        """Sends a packet to the flow's client."""

    def send_report(self, ip: str, report: AgentReport) -> None:
        """Sends a report to a balancer or another agent."""

    def check_target(self) -> None:
        """Checks whether the target's process still listens."""

    def check_entry(self) -> None:
        """Checks that the store still holds this agent's entry."""


class BalancerOutput(CoreOutput, Protocol):
    """I/O that only a balancer's core requests."""

    def remove_agent(self, name: str) -> None:
        """Removes an agent's entry from the store."""

    def request_agents(self) -> None:
        """Requests the current list of agents from the store."""

    def request_evacuations(self) -> None:
        """Requests the current evacuations from the store."""

    def request_manifest(self, version: int) -> None:
        """Requests the manifest; an agent reported that `version` exists."""
