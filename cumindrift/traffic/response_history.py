"""Response times of a target since its last cold start."""

from bisect import bisect_right

from attrs import define, field

SMOOTHING = 1 / 16
# Length of the averaging window, as a share of the time since the cold
# start.
WINDOW_SHARE = 0.25
# Response times have settled once their mean falls by less than a factor of
# SETTLED_RATIO from one window to the next, and either it has fallen by a
# factor of FALL_RATIO since the start or SETTLED_AFTER_S has passed.
SETTLED_RATIO = 1.12
FALL_RATIO = 2.5
SETTLED_AFTER_S = 30.0
FIRST_SAMPLES = 4
SAMPLES_MIN = 24
CHECKPOINT_STEP_SHARE = 1 / 64


@define(frozen=True, slots=True)
class Checkpoint:
    """Cumulative sum and count of the response times up to a time."""

    time_s: float
    total_s: float
    count: int


@define(frozen=True, slots=True)
class Mean:
    """A mean response time and its number of samples."""

    mean_s: float = 0.0
    count: int = 0


@define(slots=True)
class ResponseHistory:
    """Response times since the target was last found to be cold.

    `smoothed_s` and `spread_s` are the exponentially smoothed response time
    and its mean absolute deviation.
    """

    started_s: float
    initial_s: float = 0.0
    smoothed_s: float = 0.0
    spread_s: float = 0.0
    # Samples before this time do not count for raising the limit.
    counted_from_s: float = 0.0
    _total_s: float = 0.0
    _count: int = 0
    _checkpoints: list[Checkpoint] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Starts the window and the checkpoints at the cold start."""
        self.counted_from_s = self.started_s
        self._checkpoints.append(Checkpoint(self.started_s, 0.0, 0))

    def add(self, elapsed_s: float, now_s: float) -> None:
        """Adds one response time."""
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
        """Returns the mean of the response times since a time."""
        checkpoint = self._checkpoint_at(time_s)
        return _mean(checkpoint, Checkpoint(0.0, self._total_s, self._count))

    def window_s(self, now_s: float) -> float:
        """Returns the averaging window; it hides shorter changes of speed."""
        return WINDOW_SHARE * (now_s - self.started_s)

    def has_settled(self, now_s: float) -> bool:
        """Returns whether response times no longer fall as in a warm-up."""
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
