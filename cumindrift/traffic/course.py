"""Courses: the response times of a target since it was found cold."""

from bisect import bisect_right

from attrs import define, field

SMOOTHING = 1 / 16
# Averages run over this share of the time since the cold start.
HOLD_SHARE = 0.25
# Times have settled when they fell by less than this from one such span
# to the next, and either fell much before or were watched for long.
SETTLED_RATIO = 1.12
FALL_RATIO = 2.5
TRUST_AFTER_S = 30.0
FIRST_SAMPLES = 4
SAMPLES_MIN = 24
MARK_STEP_SHARE = 1 / 64


@define(frozen=True, slots=True)
class Mark:
    """A moment of a course, with all response times until then."""

    moment_s: float
    total_s: float
    count: int


@define(frozen=True, slots=True)
class Mean:
    """A mean of response times and the number of them."""

    mean_s: float = 0.0
    count: int = 0


@define(slots=True)
class Course:
    """How response times went since the target was last found cold."""

    since_s: float
    first_s: float = 0.0
    recent_s: float = 0.0
    spread_s: float = 0.0
    # When steps up may count response times from.
    fresh_s: float = 0.0
    _total_s: float = 0.0
    _count: int = 0
    _marks: list[Mark] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Counts from the start."""
        self.fresh_s = self.since_s
        self._marks.append(Mark(self.since_s, 0.0, 0))

    def add(self, elapsed_s: float, now_s: float) -> None:
        """Takes one response time."""
        self._total_s += elapsed_s
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        deviation_s = abs(elapsed_s - self.recent_s)
        if self._count > 1:
            self.spread_s += weight * (deviation_s - self.spread_s)
        self.recent_s += weight * (elapsed_s - self.recent_s)
        if self._count <= FIRST_SAMPLES:
            self.first_s = self.recent_s
        step_s = (now_s - self.since_s) * MARK_STEP_SHARE
        if now_s - self._marks[-1].moment_s >= step_s:
            self._marks.append(Mark(now_s, self._total_s, self._count))

    def mean_since(self, moment_s: float) -> Mean:
        """Returns the mean of the response times after a moment."""
        mark = self._mark_at(moment_s)
        return _mean(mark, Mark(0.0, self._total_s, self._count))

    def hold_s(self, now_s: float) -> float:
        """Returns for how long a speed has to show before it counts."""
        return HOLD_SHARE * (now_s - self.since_s)

    def has_settled(self, now_s: float) -> bool:
        """Tells whether response times no longer fall, as in a warm-up."""
        hold_s = self.hold_s(now_s)
        middle = self._mark_at(now_s - hold_s)
        before = _mean(self._mark_at(now_s - 2 * hold_s), middle)
        latest = self.mean_since(now_s - hold_s)
        if min(before.count, latest.count) < SAMPLES_MIN:
            return False
        if before.mean_s > SETTLED_RATIO * latest.mean_s:
            return False
        return (
            now_s - self.since_s >= TRUST_AFTER_S
            or self.first_s >= FALL_RATIO * latest.mean_s
        )

    def _mark_at(self, moment_s: float) -> Mark:
        index = bisect_right(self._marks, moment_s, key=_moment_s)
        return self._marks[max(0, index - 1)]


def _moment_s(mark: Mark) -> float:
    return mark.moment_s


def _mean(first: Mark, last: Mark) -> Mean:
    count = last.count - first.count
    if not count:
        return Mean()
    return Mean((last.total_s - first.total_s) / count, count)
