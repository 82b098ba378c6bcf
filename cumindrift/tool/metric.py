"""The command that plots the histograms of a process as text."""

from attrs import define, field
from plotext import figure, uncolorize
from prometheus_client.parser import text_string_to_metric_families

from cumindrift.outcome import Done, Outcome
from cumindrift.tool.session import Report, Session, commands

_HISTOGRAM = 'histogram'
_BUCKET = '_bucket'
_BOUND = 'le'
_WIDTH_CHARACTERS = 78
_HEIGHT_LINES = 12


@define(slots=True)
class Series:
    """One histogram of one label set, with a count for each bucket."""

    name: str
    labels: dict[str, str]
    bounds: list[str] = field(factory=list)
    counts: list[int] = field(factory=list)

    @property
    def title(self) -> str:
        """The metric name with the labels."""
        labels = ', '.join(f'{key}={text}' for key, text in self.labels.items())
        return f'{self.name} {{{labels}}}' if labels else self.name


def read_series(exposition: str) -> list[Series]:
    """Parses an exposition page; returns the histograms with samples."""
    found: dict[str, Series] = {}
    for family in text_string_to_metric_families(exposition):
        if family.type != _HISTOGRAM:
            continue
        for sample in family.samples:
            if not sample.name.endswith(_BUCKET):
                continue
            labels = dict(sample.labels)
            bound = labels.pop(_BOUND)
            series = Series(family.name, labels)
            series = found.setdefault(series.title, series)
            before = sum(series.counts)
            series.bounds.append(bound)
            series.counts.append(int(sample.value) - before)
    return [series for series in found.values() if sum(series.counts)]


def plot(series: Series) -> str:
    """Plots one histogram as text, without empty buckets at both ends."""
    filled = [index for index, count in enumerate(series.counts) if count]
    shown = slice(filled[0], filled[-1] + 1)
    figure.clear()
    figure.theme('colorless')
    figure.plot_size(_WIDTH_CHARACTERS, _HEIGHT_LINES)
    labels = [f'<={bound}' for bound in series.bounds[shown]]
    figure.draw(figure.bar(labels, series.counts[shown]))
    bars = uncolorize(str(figure.build()))
    return f'{series.title}\n{bars.rstrip()}'


@commands.register('metrics')
def show_metrics(session: Session, arguments: list[str]) -> Outcome:
    """Plots the histograms of the first reachable process, or one of them.

    Usage: metrics [NAME]
    """
    found = session.client.get_text('/metrics')
    if not isinstance(found, Done):
        return found
    listed = [
        series
        for series in read_series(found.content)
        if not arguments or series.name == arguments[0]
    ]
    data = [
        {
            'name': series.name,
            'labels': series.labels,
            'bounds': series.bounds,
            'counts': series.counts,
        }
        for series in listed
    ]
    text = '\n\n'.join(plot(series) for series in listed)
    return Done(Report(data, text or 'No histogram has samples yet.'))
