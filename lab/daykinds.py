"""Writes day files with the faults and planned changes of a site.

Each day holds one of them twice, or two that overlap.

Example::

    python -m lab.daykinds SITE.toml /tmp/days            # each kind twice
    python -m lab.daykinds SITE.toml /tmp/days --pairs=20 --seed=3
"""

import json
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

from absl import app, flags

_PAIRS = flags.DEFINE_integer('pairs', 0, 'Write this many pairs instead.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the choice of pairs.')
_ARGUMENT_COUNT = 3
PLANNED = frozenset(
    (
        'add_nodes',
        'big_config',
        'config_change',
        'config_storm',
        'evacuate',
        'hup',
        'release',
        'roll_term',
        'scale_in',
        'scale_out',
    ),
)
# Kinds that can occur at any site, but that a site's own list may lack.
COMMON_EVENTS = (
    {'kind': 'hup', 'share': 1.0, 'gap_s': 2.0},
    {'kind': 'reset_conns', 'share': 0.5, 'x': 1.0},
    {'kind': 'zone_loss', 'zone': '@z0', 'for_s': 2.0},
    {'kind': 'zone_cut', 'zone': '@z0', 'for_s': 4.0},
    {'kind': 'node_freeze', 'share': 0.3, 'for_s': 3.0},
    {'kind': 'clock_step', 'share': 0.5, 'x': -2500.0, 'for_s': 5.0},
)
FIRST_AT_S, SECOND_AT_S = 4.0, 19.0
PAIR_GAP_S = 1.0

# A fault or a planned change, with the fields of its line in a site file.
SiteEvent = dict[str, Any]


def format_event(event: SiteEvent, at_s: float) -> str:
    """Returns the line of a day file for one event."""
    fields = {'at': at_s, **event}
    pairs = (f'{name} = {json.dumps(value)}' for name, value in fields.items())
    return f'  {{ {", ".join(pairs)} }},'


def format_day(name: str, entries: list[tuple[float, SiteEvent]]) -> str:
    """Returns a day file with the given events and their times."""
    lines = ['[[day]]', f'name = "{name}"']
    for list_name, is_planned in (('plan', True), ('faults', False)):
        lines.append(f'{list_name} = [')
        lines.extend(
            format_event(event, at_s)
            for at_s, event in entries
            if (event['kind'] in PLANNED) is is_planned
        )
        lines.append(']')
    lines.append('')
    return '\n'.join(lines)


def each_twice(events: list[SiteEvent]) -> Iterator[tuple[str, str]]:
    """Yields a day for each event, with that event twice."""
    for number, event in enumerate(events):
        name = f'twice-{number:02}-{event["kind"]}'
        yield (
            name,
            format_day(name, [(FIRST_AT_S, event), (SECOND_AT_S, event)]),
        )


def random_pairs(events: list[SiteEvent]) -> Iterator[tuple[str, str]]:
    """Yields days with two random events that overlap, in both orders."""
    random = Random(_SEED.value)
    for number in range(_PAIRS.value):
        first, second = random.sample(events, 2)
        name = f'pair-{number:02}-{first["kind"]}-{second["kind"]}'
        entries = [
            (FIRST_AT_S, first),
            (FIRST_AT_S + PAIR_GAP_S, second),
            (SECOND_AT_S, second),
            (SECOND_AT_S + PAIR_GAP_S, first),
        ]
        yield name, format_day(name, entries)


def _run(arguments: list[str]) -> int:
    if len(arguments) != _ARGUMENT_COUNT:
        sys.stderr.write('give a site file and a folder for the day files\n')
        return 2
    site = tomllib.loads(Path(arguments[1]).read_text('utf-8'))
    folder = Path(arguments[2])
    folder.mkdir(parents=True, exist_ok=True)
    events = [*site['troubles'], *COMMON_EVENTS]
    days = random_pairs(events) if _PAIRS.value else each_twice(events)
    for name, text in days:
        (folder / f'{name}.toml').write_text(text, 'utf-8')
    return 0


if __name__ == '__main__':
    app.run(_run)
