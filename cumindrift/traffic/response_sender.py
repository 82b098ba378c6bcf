"""Responses on their way to callers: which parts are sent, and when."""

from attrs import define

from cumindrift.address import Endpoint
from cumindrift.caller.message import Acknowledge, PartAsk, Verdict
from cumindrift.code import ResultCode
from cumindrift.traffic.ledger import Entry, EntryState, Ledger
from cumindrift.traffic.request_action import (
    READ_AHEAD_PARTS,
    Pause,
    Reply,
    RequestAction,
    part_replies,
    repeat_reply,
    resume_if_drained,
    verdict_reply,
)


@define(slots=True)
class ResponseSender:
    """Sends the parts of responses that callers ask for; used by the core."""

    ledger: Ledger

    def on_part_ask(
        self,
        ask: PartAsk,
        caller: Endpoint,
        now_s: float,
    ) -> list[RequestAction]:
        """Sends the parts asked for; drops those before them as received."""
        entry = self.ledger.entries.get(ask.request_id)
        if self.ledger.is_exported:
            return []
        if entry is None:
            code = ResultCode.OUTCOME_UNKNOWN
            if ask.incarnation not in self.ledger.clock_offsets_s:
                code = ResultCode.OTHER_INCARNATION
            return [Reply(caller, Verdict(ask.request_id, code))]
        response = entry.response
        if response is None or ask.first_number < response.first_kept:
            return repeat_reply(entry, caller, ask.first_number)
        entry.caller = caller
        entry.asked_s = now_s
        until = ask.first_number + ask.part_count
        self.ledger.add_response_bytes(-response.drop_before(ask.first_number))
        response.asked_until = max(response.asked_until, until)
        actions = part_replies(entry, caller, response.sendable(0, until))
        return [*actions, *resume_if_drained(entry)] or [
            verdict_reply(entry, caller)
        ]

    def on_acknowledge(self, message: Acknowledge) -> None:
        """Drops a response that its caller has received completely."""
        entry = self.ledger.entries.get(message.request_id)
        if entry is not None and entry.state is EntryState.DONE:
            self.ledger.drop_response(entry)

    def on_body(self, entry: Entry, body: bytes) -> list[RequestAction]:
        """Buffers a piece of a response body and sends complete parts.

        Reading from the target pauses when too many parts wait for the
        caller.
        """
        response = entry.response
        numbers = response.append(body)
        self.ledger.add_response_bytes(len(body))
        actions = part_replies(
            entry,
            entry.caller,
            [number for number in numbers if number < response.asked_until],
        )
        is_ahead = (
            response.part_count >= response.asked_until + READ_AHEAD_PARTS
        )
        if is_ahead and not entry.is_paused:
            entry.is_paused = True
            actions.append(Pause(entry.request_id))
        return actions
