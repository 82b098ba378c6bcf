"""Writes a variant of a site file, to test deployments of other shapes.

Example::

    python -m lab.sitevariant SITE.toml /tmp/two.toml --drop=van-c \
        --sides=kaynti=1,asiakirja=1 --hash=mod --bounds=drain_ms=1500
"""

import re
import shutil
import sys
from pathlib import Path

from absl import app, flags

_HASH = flags.DEFINE_string(
    'hash', '', "The routers' hash, if it is to change."
)
_DROP = flags.DEFINE_list('drop', [], 'Data centres to leave out.')
_SIDES = flags.DEFINE_list(
    'sides', [], 'SERVICE=COUNT: targets per data centre.'
)
_BOUNDS = flags.DEFINE_list('bounds', [], 'NAME=VALUE: other bounds.')
_ARGUMENT_COUNT = 3
_WIRE = 'wire.json'


def drop_zone(text: str, name: str) -> str:
    """Removes a data centre; its faults and planned changes go to another."""
    names = re.findall('name = "([^"]+)", region', text)
    other = next(zone for zone in names if zone != name)
    zone_entry = f'zone = "{name}"'
    lines = []
    for line in text.splitlines():
        is_listed = f'name = "{name}", region' in line
        is_placed = (
            zone_entry in line and 'kind = "' not in line.split('shape')[0]
        )
        if not is_listed and not is_placed:
            lines.append(line.replace(zone_entry, f'zone = "{other}"'))
    return '\n'.join(lines)


def set_sides(text: str, service: str, count: str) -> str:
    """Sets the number of a service's targets in each data centre."""
    pattern = rf'(class = "side".*count = )\d+(, app = "{service}")'
    return re.sub(pattern, rf'\g<1>{count}\2', text)


def make_variant(text: str) -> str:
    """Returns the site file changed as the flags say."""
    for name in _DROP.value:
        text = drop_zone(text, name)
    for pair in _SIDES.value:
        text = set_sides(text, *pair.split('='))
    if _HASH.value:
        text = re.sub('(?m)^hash = .*$', f'hash = "{_HASH.value}"', text)
    for pair in _BOUNDS.value:
        name, amount = pair.split('=')
        text = re.sub(f'(?m)^{name} = .*$', f'{name} = {amount}', text)
    return text


def _run(arguments: list[str]) -> int:
    if len(arguments) != _ARGUMENT_COUNT:
        sys.stderr.write('give a site file and the path of its variant\n')
        return 2
    source, destination = Path(arguments[1]), Path(arguments[2])
    text = make_variant(source.read_text('utf-8'))
    name = re.search('(?m)^name = "([^"]+)"', text)[1]
    text = text.replace(f'name = "{name}"', f'name = "{destination.stem}"', 1)
    destination.write_text(text, 'utf-8')
    shutil.copy(source.with_name(_WIRE), destination.with_name(_WIRE))
    return 0


if __name__ == '__main__':
    app.run(_run)
