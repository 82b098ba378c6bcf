"""Structured logs: one JSON object a line, bounded, and never waited for."""

import json
import os
from collections import deque
from collections.abc import Callable
from time import time
from typing import Any

from attrs import define, field

from cumindrift.metric import LOG_LINES_DROPPED

# Lines that wait for the reader; more are dropped and counted.
QUEUED_LINES_MAX = 4096
# Lines that a process writes in a second, and in a burst.
LINES_PER_S = 200.0
LINES_BURST = 1000.0
# A pipe takes this much as a whole or not at all.
WRITE_BYTES_MAX = 4096
# How often a line tells how many others were dropped.
DROPPED_PERIOD_S = 1.0


@define(slots=True, eq=False, repr=False)
class EventLog:
    """Keeps events until `flush` writes them; used by every part of a node.

    `note` formats nothing and makes no system call, so that it costs the
    path of a packet little. A reader that stops loses lines, not packets.

    Example::

        events = EventLog('side-1', clock)
        events.note('flow-opened', flow='...', code=100)
    """

    node: str
    clock: Callable[[], float]
    # Writes octets and returns how many it took; raises BlockingIOError.
    write: Callable[[bytes], int] | None = None
    dropped_count: int = 0
    _queue: deque[tuple[float, float, str, dict[str, Any]]] = field(
        factory=deque
    )
    _unsent: bytes = b''
    _tokens: float = LINES_BURST
    _refilled_s: float = 0.0
    _drop_report_s: float = 0.0

    def note(self, event: str, **fields: Any) -> None:
        """Keeps one event for the next flush."""
        if not self._allow():
            self._count_drop()
            return
        self._enqueue(event, fields)

    @property
    def queued_count(self) -> int:
        """Returns how many lines wait for the reader."""
        return len(self._queue)

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it."""
        while self._unsent or self._queue:
            if not self._unsent:
                self._unsent = self._next_lines()
            if not self._write_unsent():
                return

    def note_urgently(self, event: str, **fields: Any) -> None:
        """Keeps an event whatever the allowance: starts, stops, losses."""
        if len(self._queue) < QUEUED_LINES_MAX:
            self._enqueue(event, fields)
        else:
            self._count_drop()

    def _allow(self) -> bool:
        now_s = self.clock()
        gained = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(LINES_BURST, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1 or len(self._queue) >= QUEUED_LINES_MAX:
            return False
        self._tokens -= 1
        return True

    def _enqueue(self, event: str, fields: dict[str, Any]) -> None:
        # The steady clock beside the time of day, which may jump.
        self._queue.append((time(), self.clock(), event, fields))

    def _count_drop(self) -> None:
        self.dropped_count += 1
        LOG_LINES_DROPPED.inc()

    def _next_lines(self) -> bytes:
        now_s = self.clock()
        if self.dropped_count and now_s >= self._drop_report_s:
            self._drop_report_s = now_s + DROPPED_PERIOD_S
            fields = {'count': self.dropped_count}
            self.dropped_count = 0
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
        bare = {
            'time': round(at_s, 4),
            'up_s': round(up_s, 4),
            'node': self.node,
            'event': event,
            **fields,
        }
        return f'{json.dumps(bare, default=str)}\n'.encode()

    def _write_unsent(self) -> bool:
        write = self.write or write_to_stdout
        try:
            sent = write(self._unsent)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone for good: nobody can be told.
            self._unsent = b''
            self._count_drop()
            return False
        self._unsent = self._unsent[sent:]
        return not self._unsent


def write_to_stdout(octets: bytes) -> int:
    """Writes to standard output; raises BlockingIOError when it is full."""
    return os.write(1, octets)
