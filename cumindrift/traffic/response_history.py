"""Courses: the response times of a target since it was found cold."""

from bisect import bisect_right

from attrs import define, field

SMOOTHING = 1 / 16
# Averages run over this share of the time since the cold start.
WINDOW_SHARE = 0.25
# Times have settled when they fell by less than this from one such span
# to the next, and either fell much before or were watched for long.
SETTLED_RATIO = 1.12
FALL_RATIO = 2.5
SETTLED_AFTER_S = 30.0
FIRST_SAMPLES = 4
SAMPLES_MIN = 24
CHECKPOINT_STEP_SHARE = 1 / 64


@define(frozen=True, slots=True)
class Checkpoint:
    """A moment of a course, with all response times until then."""

    time_s: float
    total_s: float
    count: int


@define(frozen=True, slots=True)
class Mean:
    """A mean of response times and the number of them."""

    mean_s: float = 0.0
    count: int = 0


@define(slots=True)
class ResponseHistory:
    """How response times went since the target was last found cold."""

    started_s: float
    initial_s: float = 0.0
    smoothed_s: float = 0.0
    spread_s: float = 0.0
    # When steps up may count response times from.
    counted_from_s: float = 0.0
    _total_s: float = 0.0
    _count: int = 0
    _checkpoints: list[Checkpoint] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Counts from the start."""
        self.counted_from_s = self.started_s
        self._checkpoints.append(Checkpoint(self.started_s, 0.0, 0))

    def add(self, elapsed_s: float, now_s: float) -> None:
        """Takes one response time."""
        self._total_s += elapsed_s
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        deviation_s = abs(elapsed_s - self.smoothed_s)
        if self._count > 1:
            self.spread_s += weight * (deviation_s - self.spread_s)
        self.smoothed_s += weight * (elapsed_s - self.smoothed_s)
        if self._count <= FIRST_SAMPLES:
            self.initial_s = self.smoothed_s
        step_s = (now_s - self.started_s) * CHECKPOINT_STEP_SHARE
        if now_s - self._checkpoints[-1].time_s >= step_s:
            self._checkpoints.append(
                Checkpoint(now_s, self._total_s, self._count)
            )

    def mean_since(self, time_s: float) -> Mean:
        """Returns the mean of the response times after a moment."""
        checkpoint = self._checkpoint_at(time_s)
        return _mean(checkpoint, Checkpoint(0.0, self._total_s, self._count))

    def window_s(self, now_s: float) -> float:
        """Returns for how long a speed has to show before it counts."""
        return WINDOW_SHARE * (now_s - self.started_s)

    def has_settled(self, now_s: float) -> bool:
        """Tells whether response times no longer fall, as in a warm-up."""
        window_s = self.window_s(now_s)
        middle = self._checkpoint_at(now_s - window_s)
        before = _mean(self._checkpoint_at(now_s - 2 * window_s), middle)
        latest = self.mean_since(now_s - window_s)
        if min(before.count, latest.count) < SAMPLES_MIN:
            return False
        if before.mean_s > SETTLED_RATIO * latest.mean_s:
            return False
        return (
            now_s - self.started_s >= SETTLED_AFTER_S
            or self.initial_s >= FALL_RATIO * latest.mean_s
        )

    def _checkpoint_at(self, time_s: float) -> Checkpoint:
        index = bisect_right(self._checkpoints, time_s, key=_time_s)
        return self._checkpoints[max(0, index - 1)]


def _time_s(checkpoint: Checkpoint) -> float:
    return checkpoint.time_s


def _mean(first: Checkpoint, last: Checkpoint) -> Mean:
    count = last.count - first.count
    if not count:
        return Mean()
    return Mean((last.total_s - first.total_s) / count, count)
