"""Responses and their assembly from numbered parts."""

from attrs import define, field

from cumindrift.caller.message import Part


@define(frozen=True, slots=True)
class Response:
    """A complete response, as callers get it."""

    status: int
    body: bytes


@define(slots=True)
class ResponseAssembler:
    """Reassembles one response from its parts; used by the session."""

    status: int = 0
    last_number: int | None = None
    _parts: dict[int, bytes] = field(factory=dict)
    _body: bytearray = field(factory=bytearray)
    next_number: int = 0

    def add(self, part: Part) -> bool:
        """Adds a part; returns False for a duplicate."""
        if part.number < self.next_number or part.number in self._parts:
            return False
        self.status = part.status
        if part.is_last:
            self.last_number = part.number
        self._parts[part.number] = part.body
        while self.next_number in self._parts:
            self._body += self._parts.pop(self.next_number)
            self.next_number += 1
        return True

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return (
            self.last_number is not None and self.next_number > self.last_number
        )

    def response(self) -> Response:
        """Returns the response; valid only when it is complete."""
        return Response(self.status, bytes(self._body))
