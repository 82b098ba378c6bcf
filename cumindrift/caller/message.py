"""Messages between callers and agents, carried in flows."""

from attrs import define

from cumindrift.wire import Family

caller_messages = Family(3, 'caller.capnp', 'CallerMessage')
# Opens have a family of their own: balancers tell them by the first octet.
opening_messages = Family(4, 'caller.capnp', 'CallerMessage')

PART_BODY_BYTES = 1100
REQUEST_ID_BYTES = 16
# An agent sends this many parts without being asked for them.
INITIAL_WINDOW_PARTS = 16
MS_PER_S = 1000


@opening_messages.message('open')
@define(frozen=True, slots=True)
class Open:
    """Opens the flow in which it travels."""


@caller_messages.message('openReply')
@define(frozen=True, slots=True)
class OpenReply:
    """Tells the caller which incarnation of an agent holds the flow.

    `clock_ms` is the agent's monotonic clock. Callers give birth times on
    it, so that no two hosts need the same time of day.
    """

    code: int
    incarnation: int
    agent: str
    clock_ms: int = 0


@caller_messages.message('request')
@define(frozen=True, slots=True)
class Request:
    """One request; `remaining_ms` counts down from hop to hop.

    `attempt` counts the agents that were tried, `transmission` the copies
    sent to one of them. `born_ms` is the first transmission's time on the
    clock of the agent; it never lies after the true time.
    """

    request_id: bytes
    incarnation: int
    is_idempotent: bool
    remaining_ms: int
    attempt: int
    method: str
    path: str
    body: bytes
    born_ms: int = 0
    transmission: int = 0


@caller_messages.message('part')
@define(frozen=True, slots=True)
class Part:
    """A numbered part of an answer, counted from 0."""

    request_id: bytes
    number: int
    is_last: bool
    status: int
    body: bytes


@caller_messages.message('partAsk')
@define(frozen=True, slots=True)
class PartAsk:
    """Asks for parts of an answer."""

    request_id: bytes
    incarnation: int
    first_number: int
    part_count: int


@caller_messages.message('verdict')
@define(frozen=True, slots=True)
class Verdict:
    """Tells what became of a request that has no answer to send.

    With ANSWER_DROPPED, `part_number` is the first part still kept.
    """

    request_id: bytes
    code: int
    retry_after_ms: int = 0
    part_number: int = 0


@caller_messages.message('cancel')
@define(frozen=True, slots=True)
class Cancel:
    """Asks to stop a request; answered by a verdict."""

    request_id: bytes
    incarnation: int
    born_ms: int = 0


@caller_messages.message('acknowledge')
@define(frozen=True, slots=True)
class Acknowledge:
    """Tells that the whole answer is there; its parts may be dropped."""

    request_id: bytes
    incarnation: int


@caller_messages.message('closeFlow')
@define(frozen=True, slots=True)
class CloseFlow:
    """Ends the flow in which it travels."""
