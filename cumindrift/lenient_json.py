"""Parses JSON whose parts come from several writers.

One writer's odd value must not make the values of all others unreadable.
"""

import json
import re
from typing import Any

# Deeper values are replaced; Python's parser fails at about a thousand levels.
DEPTH_MAX = 64
# Longer integers are replaced; Python's parser fails at some thousand digits.
DIGITS_MAX = 30
_NULL = b'null'
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = frozenset((b'[', b'{'))
_CLOSING = frozenset((b']', b'}'))


def parse_json(octets: bytes) -> Any:
    """Parses JSON; a value that Python cannot represent becomes None.

    Such values are nested too deep, or integers with too many digits.
    Raises ValueError if the octets are not JSON.

    Example: ``parse_json(b'[1, ' + b'[' * 5000 + b']' * 5000 + b']')`` gives
    ``[1, ...]``, whose second item ends in None at DEPTH_MAX.
    """
    try:
        return json.loads(octets)
    except (RecursionError, ValueError):
        return json.loads(_cut_deep_values(octets), parse_int=_parse_integer)


def _parse_integer(text: str) -> int | None:
    return int(text) if len(text) <= DIGITS_MAX else None


def _cut_deep_values(octets: bytes) -> bytes:
    """Replaces each value below DEPTH_MAX levels by null."""
    kept = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(octets):
        if token.group() in _OPENING:
            depth += 1
            if depth == DEPTH_MAX + 1:
                kept.extend((octets[kept_until : token.start()], _NULL))
        elif token.group() in _CLOSING:
            if depth == DEPTH_MAX + 1:
                kept_until = token.end()
            depth -= 1
    kept.append(octets[kept_until:] if depth <= DEPTH_MAX else b'')
    return b''.join(kept)
