"""Actions that the traffic cores return for their caller to carry out."""

from typing import Any

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.code import ResultCode
from cumindrift.traffic.message import SteeredPacket


@define(frozen=True, slots=True)
class ForwardPacket:
    """Forward a packet to another agent."""

    endpoint: Endpoint
    steered: SteeredPacket


@define(frozen=True, slots=True)
class SendMessage:
    """Send a control message to another process."""

    endpoint: Endpoint
    message: Any


@define(frozen=True, slots=True)
class Deliver:
    """Deliver a packet of a held flow to the service's front end."""

    flow_key: bytes
    packet: bytes


@define(frozen=True, slots=True)
class Refuse:
    """Refuse a packet, with a reply to its caller if the protocol has one."""

    packet: bytes
    code: ResultCode


@define(frozen=True, slots=True)
class Drop:
    """Count a packet or message and discard it."""

    code: ResultCode


Action = ForwardPacket | SendMessage | Deliver | Refuse | Drop
