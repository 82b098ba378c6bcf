"""Tickers: components that call a core once a period."""

from collections.abc import Callable

from circuits import Event, Timer, handler

from cumindrift.supervision import Child


class tick(Event):  # noqa: N801 - circuits derives event names from classes
    """Fired once a period on the ticker's own channel."""


class Ticker(Child):
    """Calls `call` every `period_s` seconds; used by all supervisors."""

    def __init__(
        self,
        name: str,
        period_s: float,
        call: Callable[[], None],
    ) -> None:
        """Starts with the loop."""
        super().__init__(channel=f'ticker-{name}')
        self._call = call
        Timer(period_s, tick(), self.channel, persist=True).register(self)

    @handler('tick')
    def _on_tick(self) -> None:
        self._call()
