"""Measures the processor time and memory of running processes.

Run as ``python -m lab.idle PID...``.
"""

import os
import sys
from pathlib import Path
from time import monotonic, sleep

from absl import app, flags
from attrs import define
from tabulate import tabulate

_SECONDS = flags.DEFINE_float('seconds', 5.0, 'How long to watch.')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_BYTES_PER_MB = 1_000_000
# Indexes in /proc/PID/stat after the command's closing parenthesis.
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_RESIDENT_PAGES_FIELD = 21


@define(frozen=True, slots=True)
class Usage:
    """Processor time and resident memory of one process."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Reads the usage of a process; raises OSError if it has ended."""
    text = Path(f'/proc/{pid}/stat').read_text('ascii')
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    resident_bytes = int(fields[_RESIDENT_PAGES_FIELD]) * _PAGE_BYTES
    return Usage(ticks / _TICKS_PER_S, resident_bytes)


def _row(pid: int, before: Usage, elapsed_s: float) -> tuple[str, ...]:
    usage = read_usage(pid)
    share = (usage.cpu_s - before.cpu_s) / elapsed_s
    words = Path(f'/proc/{pid}/cmdline').read_bytes().split(b'\0')
    return (
        str(pid),
        Path(words[-2].decode()).name,
        f'{share:.2%}',
        f'{usage.resident_bytes / _BYTES_PER_MB:.0f}',
    )


def _run(arguments: list[str]) -> int:
    pids = [int(text) for text in arguments[1:]]
    before = {pid: read_usage(pid) for pid in pids}
    start_s = monotonic()
    sleep(_SECONDS.value)
    elapsed_s = monotonic() - start_s
    rows = [_row(pid, before[pid], elapsed_s) for pid in pids]
    headers = ('pid', 'process', 'of a core', 'MB')
    sys.stdout.write(f'{tabulate(rows, headers)}\n')
    return 0


if __name__ == '__main__':
    app.run(_run)
