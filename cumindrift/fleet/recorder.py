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
from cumindrift.platform.documents import check_number

WRITE_PERIOD_S = 4.0
# A client accepts a reset whose sequence number is this close to its
# acknowledgement.
RESET_WINDOW = 76_800
_ENTRY = Struct('>12sI')
# Results that tell whether the store holds a record.
_ANSWERED = frozenset((AnswerTag.DONE, AnswerTag.CONFLICT, AnswerTag.ABSENT))


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
        incarnation = check_number(content['incarnation'], 'incarnation')
        return Done(FlowRecord(int(incarnation), flows))
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
    # Whether the store may hold a record, for all that is known.
    _may_be_stored: bool = field(init=False)
    _written: FlowRecord = field(factory=lambda: FlowRecord(0))
    _sent: FlowRecord | None = None
    _due_s: float = 0.0
    # The operation of the running call, if any.
    _running: CallVerb | None = None

    def __attrs_post_init__(self) -> None:
        """Assumes an earlier record until the store says that there is none."""
        self._may_be_stored = not self.has_read

    @property
    def is_removed(self) -> bool:
        """Tells whether removal was requested and no record is stored."""
        return self._is_removing and not self._may_be_stored

    def request_removal(self) -> None:
        """Requests removal of the record; its target has ended."""
        self._is_removing = True
        self._due_s = 0.0

    def next_call(self, now_s: float) -> StoreCall | None:
        """Returns the call that is due now, if any."""
        if self._running is not None or now_s < self._due_s:
            return None
        if self._is_removing:
            is_needed = self._may_be_stored
            return self._start(CallVerb.REMOVE) if is_needed else None
        if not self.has_read:
            return self._start(CallVerb.READ)
        self._due_s = now_s + WRITE_PERIOD_S * (1 + self.random.random() / 4)
        record = self.build_record()
        if record.is_close_to(self._written):
            return None
        self._sent = record
        verb = CallVerb.REPLACE if self._may_be_stored else CallVerb.CREATE
        # Without an answer the record may have been written all the same.
        self._may_be_stored = True
        return self._start(verb, record.encode())

    def on_answer(self, answer: StoreAnswer, now_s: float) -> None:
        """Handles the result of the last call."""
        verb = self._running
        self._running = None
        if answer.tag not in _ANSWERED:
            self.failure_count += 1
            self._due_s = now_s + BACKOFF_MAX_S * (1 + self.random.random())
            return
        self.failure_count = 0
        is_absent = answer.tag is AnswerTag.ABSENT
        self._may_be_stored = not (is_absent or verb is CallVerb.REMOVE)
        if is_absent:
            # The first record, or one whose last write was lost, is due now.
            self._due_s = now_s
        if verb is CallVerb.READ:
            self.has_read = True
            if answer.items:
                self.on_record(answer.items[0].content)
        elif self._sent is not None and answer.tag is AnswerTag.DONE:
            self._written = self._sent

    def _start(self, verb: CallVerb, content: Any = None) -> StoreCall:
        self._running = verb
        return StoreCall(verb, self.kind, self.name, content=content)
