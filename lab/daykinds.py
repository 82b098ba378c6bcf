"""Writes day files with the faults and planned changes of a site.

Each day holds one of them twice, two that overlap, or two of one kind with
random other ones around each.

Example::

    python -m lab.daykinds SITE.toml /tmp/days            # each kind twice
    python -m lab.daykinds SITE.toml /tmp/days --pairs=20 --seed=3
    python -m lab.daykinds SITE.toml /tmp/days --around=evacuate --days=60
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
_AROUND = flags.DEFINE_string('around', '', 'Put others around this kind.')
_DAYS = flags.DEFINE_integer('days', 40, 'Days to write with --around.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of all random choices.')
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
    {'kind': 'platform_down', 'how': 'silent', 'for_s': 4.0},
    {'kind': 'node_freeze', 'share': 0.3, 'for_s': 3.0},
    {'kind': 'clock_step', 'share': 0.5, 'x': -2500.0, 'for_s': 5.0},
)
FIRST_AT_S, SECOND_AT_S = 4.0, 19.0
PAIR_GAP_S = 1.0
# Other events start this long before the one in question until this long after.
AROUND_BEFORE_S, AROUND_AFTER_S = 6.5, 1.5
AROUND_COUNT_MAX = 4
# The two events of the kind in question come at most this much later.
AROUND_SHIFT_S = 3.0

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


def days_around(
    kind: str, events: list[SiteEvent]
) -> Iterator[tuple[str, str]]:
    """Yields days with two events of a kind and random others around each."""
    random = Random(_SEED.value)
    chosen = [event for event in events if event['kind'] == kind]
    others = [event for event in events if event['kind'] != kind]
    for number in range(_DAYS.value):
        entries: list[tuple[float, SiteEvent]] = []
        for first_s in (FIRST_AT_S, SECOND_AT_S):
            at_s = first_s + AROUND_SHIFT_S * random.random()
            entries.append((round(at_s, 2), random.choice(chosen)))
            count = random.randint(2, AROUND_COUNT_MAX)
            entries.extend(
                (_time_around(at_s, random), event)
                for event in random.sample(others, count)
            )
        name = f'around-{kind}-{number:02}'
        yield name, format_day(name, entries)


def _time_around(at_s: float, random: Random) -> float:
    earliest_s = max(0.0, at_s - AROUND_BEFORE_S)
    return round(random.uniform(earliest_s, at_s + AROUND_AFTER_S), 2)


def chosen_days(events: list[SiteEvent]) -> Iterator[tuple[str, str]]:
    """Yields the names and texts of the days that the flags ask for."""
    if _AROUND.value:
        return days_around(_AROUND.value, events)
    return random_pairs(events) if _PAIRS.value else each_twice(events)


def _run(arguments: list[str]) -> int:
    if len(arguments) != _ARGUMENT_COUNT:
        sys.stderr.write('give a site file and a folder for the day files\n')
        return 2
    site = tomllib.loads(Path(arguments[1]).read_text('utf-8'))
    folder = Path(arguments[2])
    folder.mkdir(parents=True, exist_ok=True)
    events = [*site['troubles'], *COMMON_EVENTS]
    for name, text in chosen_days(events):
        (folder / f'{name}.toml').write_text(text, 'utf-8')
    return 0


if __name__ == '__main__':
    app.run(_run)
