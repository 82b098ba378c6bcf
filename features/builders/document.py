"""Builds process settings, valid and invalid."""

from typing import Any

KEY_HEX = '00' * 32


def process_fields(**changes: Any) -> dict[str, Any]:
    """Returns the fields of an agent's settings, with `changes`."""
    fields: dict[str, Any] = {
        'role': 'agent',
        'name': 'kaynti-hel-a-1',
        'region': 'fi-south',
        'data_centre': 'hel-a',
        'peer': '127.0.2.1:7100',
        'admin': '127.0.2.1:7200',
        'keys': [KEY_HEX],
        'target': {
            'team': 'todistajat',
            'service': 'kaynti',
            'http': '127.0.2.1:8080',
            'packets': '127.0.2.1:7400',
        },
    }
    fields.update(changes)
    return fields
