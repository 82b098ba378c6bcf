"""Renders the metrics in the Prometheus exposition format."""

from collections.abc import Iterator
from itertools import accumulate

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from cumindrift.metric import Counter, Histogram, Instrument, metrics

CONTENT_TYPE = CONTENT_TYPE_LATEST


class MetricCollector:
    """Passes the instruments of the process to `prometheus_client`."""

    def collect(self) -> Iterator[Metric]:
        """Yields one family for each instrument."""
        for instrument in metrics:
            yield family_of(instrument)


def family_of(instrument: Instrument) -> Metric:
    """Returns the family of one instrument with all its series."""
    arguments = (
        instrument.name,
        instrument.documentation,
    )
    if isinstance(instrument, Histogram):
        return _histogram_family(instrument)
    shape = GaugeMetricFamily
    if isinstance(instrument, Counter):
        shape = CounterMetricFamily
    family = shape(*arguments, labels=instrument.label_names)
    for label_values, sample in instrument.series.items():
        family.add_metric(label_values, sample.total)
    return family


def render_metrics() -> bytes:
    """Returns the response to a scrape."""
    return generate_latest(MetricCollector())


def _histogram_family(instrument: Histogram) -> Metric:
    family = HistogramMetricFamily(
        instrument.name,
        instrument.documentation,
        labels=instrument.label_names,
    )
    bounds = [*map(str, instrument.buckets), '+Inf']
    for label_values, series in instrument.series.items():
        family.add_metric(
            label_values,
            list(zip(bounds, accumulate(series.counts), strict=True)),
            series.total,
        )
    return family
