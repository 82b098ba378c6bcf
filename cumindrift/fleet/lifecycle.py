"""The lifecycle of a node: signals, settings reload, graceful stop."""

from collections.abc import Callable
from signal import SIGHUP, signal

from circuits import handler

from cumindrift.fleet.context import NodeContext
from cumindrift.supervision import Child
from cumindrift.ticker import Ticker

TICK_PERIOD_S = 0.1
# The settings file is polled, since it may change without a SIGHUP.
SETTINGS_PERIOD_S = 2.0


class Lifecycle(Child):
    """Stops the node gracefully on SIGTERM, reloads settings on SIGHUP."""

    def __init__(
        self,
        context: NodeContext,
        reload: Callable[[], None],
    ) -> None:
        """Takes the function that reloads the settings file."""
        super().__init__(channel='lifecycle')
        self._context = context
        self._reload = reload
        self._reload_s = context.clock() + SETTINGS_PERIOD_S
        self._until_s = 0.0
        signal(SIGHUP, self._on_hangup)
        Ticker('lifecycle', TICK_PERIOD_S, self._tick).register(self)

    @handler('signal', channel='*')
    def _on_signal(self, number: int, _frame: object) -> None:
        context = self._context
        if context.is_stopping:
            return
        context.is_stopping = True
        now_s = context.clock()
        # Exits earlier, since the platform kills the process after
        # `stop_within_s`.
        self._until_s = now_s + context.settings.bounds.stop_within_s * 3 / 4
        context.events.note_urgently('node-stopping', signal=int(number))
        context.begin_shutdown()
        if context.may_exit(now_s):
            self._leave()

    def _on_hangup(self, _number: int, _frame: object) -> None:
        self._reload_s = 0.0

    def _tick(self) -> None:
        context = self._context
        now_s = context.clock()
        if context.is_stopping:
            if context.may_exit(now_s) or now_s >= self._until_s:
                self._leave()
        elif now_s >= self._reload_s:
            self._reload_s = now_s + SETTINGS_PERIOD_S
            self._reload()
        context.events.flush()

    def _leave(self) -> None:
        self._context.events.note_urgently('node-stopped')
        self.root.stop()
