"""Writes day files with the troubles of a site, each twice or in pairs.

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
COMMON_TROUBLES = (
    {'kind': 'hup', 'share': 1.0, 'gap_s': 2.0},
    {'kind': 'reset_conns', 'share': 0.5, 'x': 1.0},
    {'kind': 'zone_loss', 'zone': '@z0', 'for_s': 2.0},
    {'kind': 'zone_cut', 'zone': '@z0', 'for_s': 4.0},
    {'kind': 'node_freeze', 'share': 0.3, 'for_s': 3.0},
    {'kind': 'clock_step', 'share': 0.5, 'x': -2500.0, 'for_s': 5.0},
)
FIRST_AT_S, SECOND_AT_S = 4.0, 19.0
PAIR_GAP_S = 1.0

Trouble = dict[str, Any]


def format_trouble(trouble: Trouble, at_s: float) -> str:
    """Returns the line of a day file for one trouble."""
    fields = {'at': at_s, **trouble}
    pairs = (f'{name} = {json.dumps(value)}' for name, value in fields.items())
    return f'  {{ {", ".join(pairs)} }},'


def format_day(name: str, entries: list[tuple[float, Trouble]]) -> str:
    """Returns a day file with the given troubles."""
    lines = ['[[day]]', f'name = "{name}"']
    for list_name, is_planned in (('plan', True), ('faults', False)):
        lines.append(f'{list_name} = [')
        lines.extend(
            format_trouble(trouble, at_s)
            for at_s, trouble in entries
            if (trouble['kind'] in PLANNED) is is_planned
        )
        lines.append(']')
    lines.append('')
    return '\n'.join(lines)


def each_twice(troubles: list[Trouble]) -> Iterator[tuple[str, str]]:
    """Yields a day for each trouble, with that trouble twice."""
    for number, trouble in enumerate(troubles):
        name = f'twice-{number:02}-{trouble["kind"]}'
        yield (
            name,
            format_day(name, [(FIRST_AT_S, trouble), (SECOND_AT_S, trouble)]),
        )


def random_pairs(troubles: list[Trouble]) -> Iterator[tuple[str, str]]:
    """Yields days with two random troubles that overlap, in both orders."""
    random = Random(_SEED.value)
    for number in range(_PAIRS.value):
        first, second = random.sample(troubles, 2)
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
    troubles = [*site['troubles'], *COMMON_TROUBLES]
    days = random_pairs(troubles) if _PAIRS.value else each_twice(troubles)
    for name, text in days:
        (folder / f'{name}.toml').write_text(text, 'utf-8')
    return 0


if __name__ == '__main__':
    app.run(_run)
