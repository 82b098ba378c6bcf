"""Pending requests of a session: their outcome is not known yet."""

from attrs import define, evolve, field

from cumindrift.caller.message import (
    INITIAL_WINDOW_PARTS,
    MS_PER_S,
    Acknowledge,
    Cancel,
    PartAsk,
    Request,
)
from cumindrift.caller.response import ResponseAssembler
from cumindrift.code import ResultCode
from cumindrift.outcome import NotRun, Outcome, Unknown

# The parts that one message asks for.
WINDOW_PARTS = 32
# FLOW_LOST for this many transmissions means that the flow is lost; fewer
# can come from processes that got a misrouted copy.
FLOW_LOST_MAX = 3


@define(slots=True)
class PendingRequest:
    """A request with the state of its transmissions and its response."""

    request: Request
    deadline_s: float
    next_send_s: float
    is_sent: bool = False
    is_cancelled: bool = False
    assembler: ResponseAssembler = field(factory=ResponseAssembler)
    asked_until: int = INITIAL_WINDOW_PARTS
    # Transmissions that got the reply FLOW_LOST.
    lost_transmissions: set[int] = field(factory=set)

    def next_transmission(
        self,
        incarnation: int,
        born_ms: int,
        now_s: float,
    ) -> Request:
        """Returns the next copy to send.

        All copies have the incarnation and creation time of the first one.
        """
        if not self.is_sent:
            self.is_sent = True
            self.request = evolve(
                self.request,
                incarnation=incarnation,
                born_ms=born_ms,
                transmission=0,
            )
        remaining_s = max(0.0, self.deadline_s - now_s)
        self.request = evolve(
            self.request,
            remaining_ms=int(remaining_s * MS_PER_S),
            transmission=self.request.transmission + 1,
        )
        return self.request

    def make_cancel(self) -> Cancel:
        """Builds the message that cancels the request."""
        request = self.request
        return Cancel(request.request_id, request.incarnation, request.born_ms)

    def make_part_ask(self) -> PartAsk:
        """Builds the message that asks for the next missing parts."""
        first = self.assembler.next_number
        self.asked_until = first + WINDOW_PARTS
        return PartAsk(
            self.request.request_id,
            self.request.incarnation,
            first,
            WINDOW_PARTS,
        )

    def make_acknowledge(self) -> Acknowledge:
        """Builds the message that acknowledges the response."""
        return Acknowledge(self.request.request_id, self.request.incarnation)

    def is_window_low(self) -> bool:
        """Returns whether half of the window is used up."""
        remaining = self.asked_until - self.assembler.next_number
        return remaining <= min(WINDOW_PARTS, self.asked_until) // 2

    def timeout_outcome(self) -> Outcome:
        """Returns the outcome of a request that passed its deadline."""
        if self.is_sent:
            return Unknown(ResultCode.DEADLINE_PASSED)
        return NotRun(ResultCode.TOO_LATE)

    def record_flow_lost(self) -> bool:
        """Records a FLOW_LOST reply; returns whether the flow is lost."""
        self.lost_transmissions.add(self.request.transmission)
        return len(self.lost_transmissions) >= FLOW_LOST_MAX
