"""Structured logs: one JSON object per line, rate-limited, non-blocking."""

import json
import os
from collections import Counter, deque
from collections.abc import Callable
from time import time
from typing import Any

from attrs import define, field

from cumindrift.metric import LOG_LINES_DROPPED

# Length of the queue; further lines are dropped and counted.
QUEUED_LINES_MAX = 4096
# Token bucket: lines per second, and lines in a burst.
LINES_PER_S = 200.0
LINES_BURST = 1000.0
# While less than this part of the burst is left, an event that repeats is
# sampled, so that a storm of one kind leaves room for the others.
SAMPLED_BELOW = 0.5
# Lines of one event and reason per second that are written while sampled.
SAMPLE_LINES_PER_S = 10
# Writes to a pipe up to this size are atomic (PIPE_BUF).
WRITE_BYTES_MAX = 4096
# Least time between lines that report dropped lines.
DROPPED_PERIOD_S = 1.0
# Such a line names the events with the most dropped lines, up to this many.
DROPPED_NAMED_MAX = 12
# What is counted for lines whose reader has closed its end.
_UNREAD = 'not read'


@define(slots=True, eq=False, repr=False)
class EventLog:
    """Queues events until `flush` writes them; used by every part of a node.

    `note` formats nothing and makes no system call, so that it is cheap on
    the packet path. If the reader of the log stalls, lines are lost, but no
    packets.

    Lines that are not written are counted by event and reason; a line
    `lines-dropped` reports the counts.

    Example::

        events = EventLog('side-1', clock)
        events.note('flow-opened', flow='...', code=100)
    """

    node: str
    clock: Callable[[], float]
    # Returns how many octets it wrote; raises BlockingIOError if it would
    # block.
    write: Callable[[bytes], int] | None = None
    dropped: Counter[str] = field(factory=Counter)
    _sampled: Counter[str] = field(factory=Counter)
    _sampled_since_s: float = 0.0
    _queue: deque[tuple[float, float, str, dict[str, Any]]] = field(
        factory=deque
    )
    _unsent: bytes = b''
    _tokens: float = LINES_BURST
    _refilled_s: float = 0.0
    _drop_report_s: float = 0.0

    def note(self, event: str, **fields: Any) -> None:
        """Queues an event for the next flush, within the rate limit."""
        name = _sample_name(event, fields)
        if self._allow(name):
            self._enqueue(event, fields)
        else:
            self._count_drop(name)

    @property
    def dropped_count(self) -> int:
        """Returns the number of lines dropped since the last report."""
        return self.dropped.total()

    @property
    def queued_count(self) -> int:
        """Returns the number of queued lines."""
        return len(self._queue)

    def flush(self) -> None:
        """Writes queued lines until the write would block."""
        while self._unsent or self._queue:
            if not self._unsent:
                self._unsent = self._next_lines()
            if not self._write_unsent():
                return

    def note_urgently(self, event: str, **fields: Any) -> None:
        """Queues an important event, such as a stop, despite the rate limit."""
        if len(self._queue) < QUEUED_LINES_MAX:
            self._enqueue(event, fields)
        else:
            self._count_drop(event)

    def _allow(self, name: str) -> bool:
        now_s = self.clock()
        gained = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(LINES_BURST, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1 or len(self._queue) >= QUEUED_LINES_MAX:
            return False
        is_scarce = self._tokens < LINES_BURST * SAMPLED_BELOW
        if is_scarce and not self._is_sampled(name, now_s):
            return False
        self._tokens -= 1
        return True

    def _is_sampled(self, name: str, now_s: float) -> bool:
        """Returns whether a line is among the first of its kind this second."""
        if now_s - self._sampled_since_s >= 1:
            self._sampled_since_s = now_s
            self._sampled.clear()
        self._sampled[name] += 1
        return self._sampled[name] <= SAMPLE_LINES_PER_S

    def _enqueue(self, event: str, fields: dict[str, Any]) -> None:
        # The monotonic clock as well, since the time of day may jump.
        self._queue.append((time(), self.clock(), event, fields))

    def _count_drop(self, name: str, line_count: int = 1) -> None:
        self.dropped[name] += line_count
        LOG_LINES_DROPPED.inc(line_count)

    def _next_lines(self) -> bytes:
        now_s = self.clock()
        if self.dropped and now_s >= self._drop_report_s:
            self._drop_report_s = now_s + DROPPED_PERIOD_S
            fields = {
                'count': self.dropped_count,
                'events': dict(self.dropped.most_common(DROPPED_NAMED_MAX)),
            }
            self.dropped.clear()
            self._enqueue('lines-dropped', fields)
        octets = b''
        while self._queue:
            line = self._line_of(*self._queue[0])
            if octets and len(octets) + len(line) > WRITE_BYTES_MAX:
                break
            self._queue.popleft()
            octets += line
        return octets

    def _line_of(
        self,
        at_s: float,
        up_s: float,
        event: str,
        fields: dict[str, Any],
    ) -> bytes:
        line = {
            'time': round(at_s, 4),
            'up_s': round(up_s, 4),
            'node': self.node,
            'event': event,
            **fields,
        }
        return f'{json.dumps(line, default=str)}\n'.encode()

    def _write_unsent(self) -> bool:
        write = self.write or write_to_stdout
        try:
            sent = write(self._unsent)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end, so nothing can be logged.
            self._count_drop(_UNREAD, self._unsent.count(b'\n'))
            self._unsent = b''
            return False
        self._unsent = self._unsent[sent:]
        return not self._unsent


def _sample_name(event: str, fields: dict[str, Any]) -> str:
    """Returns the name under which an event is sampled and counted."""
    reason = fields.get('reason')
    return f'{event}: {reason}' if reason else event


def write_to_stdout(octets: bytes) -> int:
    """Writes to standard output; raises BlockingIOError if it is full."""
    return os.write(1, octets)
