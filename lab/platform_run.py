"""Runs random settings writes and faults; any broken invariant is fatal."""

import sys

from absl import app, flags
from loguru import logger

from cumindrift.invariant import enable_strict_mode
from lab.platform_faults import fault_run

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the run.')
_STEPS = flags.DEFINE_integer('steps', 400, 'Faults and writes in the run.')
_MEMBERS = flags.DEFINE_integer('members', 24, 'Processes at the start.')
_LOSS = flags.DEFINE_float('loss', 0.1, 'Share of messages lost.')


def _run(_arguments: list[str]) -> int:
    enable_strict_mode()
    logger.remove()
    run = fault_run(_SEED.value, _MEMBERS.value, _LOSS.value)
    for _ in range(_STEPS.value):
        run.step()
    for process in run.fleet.processes:
        process.is_paused = False
    run.finish()
    for name, times in sorted(run.counts.items()):
        sys.stdout.write(f'{name}: {times}\n')
    sys.stdout.write(
        f'accepted version {run.accepted_version} in force at all '
        f'{len(run.fleet.alive())}; {run.fleet.network.now_s:.0f} s\n',
    )
    return 0


if __name__ == '__main__':
    app.run(_run)
