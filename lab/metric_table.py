"""Prints the table of metrics that docs/METRICS.md holds."""

import sys
from inspect import getmembers

from prometheus_client.metrics import MetricWrapperBase
from tabulate import tabulate

from cumindrift import metric

_HEADERS = ('metric', 'kind', 'labels', 'meaning')


def metric_rows() -> list[tuple[str, str, str, str]]:
    """Returns name, kind, labels and meaning of every metric, by name."""
    rows = []
    for _, wrapper in getmembers(metric):
        if isinstance(wrapper, MetricWrapperBase):
            family = wrapper.describe()[0]
            suffix = '_total' if family.type == 'counter' else ''
            labels = ', '.join(wrapper._labelnames)  # noqa: WPS437
            rows.append(
                (
                    f'`{family.name}{suffix}`',
                    family.type,
                    labels,
                    family.documentation,
                )
            )
    return sorted(rows)


def metric_table() -> str:
    """Returns the table in the form of the page."""
    return tabulate(metric_rows(), _HEADERS, tablefmt='github')


if __name__ == '__main__':
    sys.stdout.write(f'{metric_table()}\n')
