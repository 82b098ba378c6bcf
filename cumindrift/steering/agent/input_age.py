"""How long a frame may have waited before the agent read it."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

from attrs import define, field


def boot_time_s() -> float:
    """Returns the time since the machine started.

    Unlike the steady clock, it counts the time while the machine was suspended.
    """
    return clock_gettime(CLOCK_BOOTTIME)


@define(slots=True, eq=False, repr=False)
class InputAge:
    """Knows when all input had last been read.

    A frame that is read later arrived after that moment, so its wait has a
    bound even though frames carry no time. A process that was stopped,
    suspended or kept busy reads frames whose senders have long given up.
    """

    clock: Callable[[], float] = boot_time_s
    _read_all_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Takes the start of the process for the moment of the last read."""
        self.mark_read()

    def mark_read(self) -> None:
        """Records that no input waits now."""
        self._read_all_s = self.clock()

    def max_wait_s(self) -> float:
        """Returns how long a frame that is read now can have waited."""
        return self.clock() - self._read_all_s
