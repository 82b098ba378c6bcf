"""Timers by the steady clock."""

from time import monotonic

from circuits import BaseComponent, Event, handler
from circuits.core.events import generate_events


class SteadyTimer(BaseComponent):
    """Fires an event after a delay, once or again and again.

    Timers of circuits wait for a time of day, so they stand still for as long
    as the time of day was set back. These do not notice it.
    """

    def __init__(
        self,
        delay_s: float,
        event: Event,
        channel: str,
        *,
        is_periodic: bool = False,
    ) -> None:
        """Starts waiting; fires while the event loop runs.

        `channel` is where the event goes.
        """
        super().__init__(channel=f'timer-{channel}')
        self._event = event
        self._target_channel = channel
        self._is_periodic = is_periodic
        self._is_over = False
        self.restart(delay_s)

    def restart(self, delay_s: float) -> None:
        """Fires after `delay_s` from now; later times follow at that period."""
        self._delay_s = delay_s
        self._due_s = monotonic() + delay_s

    @handler('generate_events', channel='*')
    def _on_idle(self, event: generate_events) -> None:
        """Fires if the time has come, else bounds the wait of the loop."""
        if self._is_over:
            return
        left_s = self._due_s - monotonic()
        if left_s > 0:
            event.reduce_time_left(left_s)
            return
        self.fire(self._event, self._target_channel)
        if self._is_periodic:
            self.restart(self._delay_s)
        else:
            self._is_over = True
            self.unregister()
        event.reduce_time_left(0)
