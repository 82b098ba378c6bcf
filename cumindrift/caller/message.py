"""Messages between callers and agents, carried in flows."""

from attrs import define

from cumindrift.wire import Family

caller_messages = Family(3, 'caller.capnp', 'CallerMessage')
# Open messages have their own family, so that balancers recognise them by
# the first octet.
opening_messages = Family(4, 'caller.capnp', 'CallerMessage')

PART_BODY_BYTES = 1100
REQUEST_ID_BYTES = 16
# An agent sends this many parts before the caller asks for more.
INITIAL_WINDOW_PARTS = 16
MS_PER_S = 1000


@opening_messages.message('open')
@define(frozen=True, slots=True)
class Open:
    """Opens the flow that carries it."""


@caller_messages.message('openReply')
@define(frozen=True, slots=True)
class OpenReply:
    """Names the incarnation of the agent that holds the flow.

    `clock_ms` is the agent's monotonic clock. Callers convert creation times
    (`born_ms`) to it, so that hosts need no synchronised time of day.
    """

    code: int
    incarnation: int
    agent: str
    clock_ms: int = 0


@caller_messages.message('request')
@define(frozen=True, slots=True)
class Request:
    """One request; `remaining_ms` is the time left to its deadline.

    `attempt` counts the agents that were tried, `transmission` the copies
    sent to the current one. `born_ms` is the creation time on the agent's
    clock: when the first copy was sent or slightly earlier, never later.
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
    """A numbered part of a response, counted from 0."""

    request_id: bytes
    number: int
    is_last: bool
    status: int
    body: bytes


@caller_messages.message('partAsk')
@define(frozen=True, slots=True)
class PartAsk:
    """Asks for parts of a response."""

    request_id: bytes
    incarnation: int
    first_number: int
    part_count: int


@caller_messages.message('verdict')
@define(frozen=True, slots=True)
class Verdict:
    """Reports the state or outcome of a request without a response to send.

    With ANSWER_DROPPED, `part_number` is the first part still buffered.
    """

    request_id: bytes
    code: int
    retry_after_ms: int = 0
    part_number: int = 0


@caller_messages.message('cancel')
@define(frozen=True, slots=True)
class Cancel:
    """Cancels a request; the reply is a verdict or the response."""

    request_id: bytes
    incarnation: int
    born_ms: int = 0


@caller_messages.message('acknowledge')
@define(frozen=True, slots=True)
class Acknowledge:
    """Acknowledges a complete response, whose parts may be dropped."""

    request_id: bytes
    incarnation: int


@caller_messages.message('closeFlow')
@define(frozen=True, slots=True)
class CloseFlow:
    """Closes the flow that carries it."""
