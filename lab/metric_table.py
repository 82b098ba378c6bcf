"""Prints the table of metrics that docs/METRICS.md holds."""

import sys

from tabulate import tabulate

from cumindrift.exposition import family_of
from cumindrift.metric import metrics

_HEADERS = ('metric', 'kind', 'labels', 'meaning')


def metric_rows() -> list[tuple[str, str, str, str]]:
    """Returns name, kind, labels and meaning of every metric, by name."""
    rows = []
    for instrument in metrics:
        family = family_of(instrument)
        suffix = '_total' if family.type == 'counter' else ''
        rows.append(
            (
                f'`{family.name}{suffix}`',
                family.type,
                ', '.join(instrument.label_names),
                family.documentation,
            )
        )
    return sorted(rows)


def metric_table() -> str:
    """Returns the table in the form of the page."""
    return tabulate(metric_rows(), _HEADERS, tablefmt='github')


if __name__ == '__main__':
    sys.stdout.write(f'{metric_table()}\n')
