"""Keeps a record of an agent's flows in the store, to survive a power loss."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from random import Random
from struct import Struct
from typing import Any

from attrs import define, field

from cumindrift.code import ResultCode
from cumindrift.fleet.backoff import BACKOFF_MAX_S
from cumindrift.fleet.call import AnswerTag, CallVerb, StoreAnswer, StoreCall
from cumindrift.outcome import Done, Refused

WRITE_PERIOD_S = 4.0
# A client accepts a reset whose sequence number is this close to its
# acknowledgement.
RESET_WINDOW = 76_800
_ENTRY = Struct('>12sI')


@define(frozen=True, slots=True, repr=False)
class FlowRecord:
    """The long-lived flows of one incarnation of a target.

    `flows` maps a flow key to the client's last acknowledgement number.
    """

    incarnation: int
    flows: dict[bytes, int] = field(factory=dict)

    def encode(self) -> dict[str, Any]:
        """Returns the content of the store object."""
        octets = b''.join(_ENTRY.pack(*entry) for entry in self.flows.items())
        return {
            'incarnation': self.incarnation,
            'flows': b64encode(octets).decode('ascii'),
        }

    def is_close_to(self, other: 'FlowRecord') -> bool:
        """Tells whether resets built from `other` would still be accepted."""
        if self.incarnation != other.incarnation:
            return False
        if self.flows.keys() != other.flows.keys():
            return False
        return all(
            abs(acknowledged - other.flows[key]) < RESET_WINDOW / 4
            for key, acknowledged in self.flows.items()
        )


def decode_record(content: Any) -> Done | Refused:
    """Parses a record, which any client of the store may have written."""
    try:
        octets = b64decode(content['flows'], validate=True)
        complete = len(octets) // _ENTRY.size * _ENTRY.size
        flows = dict(_ENTRY.iter_unpack(octets[:complete]))
        return Done(FlowRecord(int(content['incarnation']), flows))
    except (KeyError, TypeError, ValueError) as error:
        return Refused(ResultCode.WRONG_TYPE, 'flows', repr(error))


@define(slots=True, eq=False, repr=False)
class FlowRecorder:
    """Reads the record of an earlier process, then writes the current one.

    Run by the agent's store link. A record is written only if it differs
    enough from the last one, and never before the earlier one was read.
    """

    kind: str
    name: str
    random: Random
    on_record: Callable[[Any], None]
    build_record: Callable[[], FlowRecord]
    failure_count: int = 0
    # True from the start if the whole system starts for the first time: then
    # there is no earlier record.
    has_read: bool = False
    _is_removing: bool = False
    _is_stored: bool = False
    _written: FlowRecord = field(factory=lambda: FlowRecord(0))
    _sent: FlowRecord | None = None
    _due_s: float = 0.0
    _is_running: bool = False

    @property
    def is_removed(self) -> bool:
        """Tells whether removal was requested and no record is stored."""
        return self._is_removing and not self._is_stored

    def request_removal(self) -> None:
        """Requests removal of the record; its target has ended."""
        self._is_removing = True
        self._due_s = 0.0

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        if self._is_running or now_s < self._due_s:
            return None
        if self._is_removing:
            return self._start(CallVerb.REMOVE) if self._is_stored else None
        if not self.has_read:
            return self._start(CallVerb.READ)
        self._due_s = now_s + WRITE_PERIOD_S * (1 + self.random.random() / 4)
        record = self.build_record()
        if record.is_close_to(self._written):
            return None
        self._sent = record
        verb = CallVerb.REPLACE if self._is_stored else CallVerb.CREATE
        return self._start(verb, record.encode())

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last call."""
        self._is_running = False
        if answer.tag in {AnswerTag.DONE, AnswerTag.CONFLICT}:
            self.failure_count = 0
            self._is_stored = not self._is_removing
            self._apply_answer(answer)
        elif answer.tag is AnswerTag.ABSENT:
            self.failure_count = 0
            self._is_stored = False
            self.has_read = True
        else:
            self.failure_count += 1
            self._due_s = now_s + BACKOFF_MAX_S * (1 + self.random.random())

    def _apply_answer(self, answer: StoreAnswer) -> None:
        if not self.has_read:
            self.has_read = True
            if answer.items:
                self.on_record(answer.items[0].content)
        elif self._sent is not None and answer.tag is AnswerTag.DONE:
            self._written = self._sent

    def _start(self, verb: CallVerb, content: Any = None) -> StoreCall:
        self._is_running = True
        return StoreCall(verb, self.kind, self.name, content=content)
