"""The daemon `cumindriftd`: one process of the system."""

import sys
from collections.abc import Callable

from absl import app, flags
from circuits import handler
from circuits.core.pollers import EPoll
from loguru import logger

from cumindrift.code import ResultCode
from cumindrift.context import Context, make_context
from cumindrift.log import set_up_logs
from cumindrift.membership.member import MemberState
from cumindrift.outcome import Refused
from cumindrift.registry import UnknownNameError
from cumindrift.role import RoleSettingsError
from cumindrift.settings.process import ProcessSettings, load_process_settings
from cumindrift.supervision import Child
from cumindrift.supervisor import build_root
from cumindrift.ticker import Ticker

EXIT_DONE = 0
EXIT_SETTINGS = 2
EXIT_PORT = 3
EXIT_RESTARTS = 4
STOP_TICK_S = 0.05

_SETTINGS = flags.DEFINE_string('settings', None, 'Path of the settings file.')
_CHECK = flags.DEFINE_bool('check_settings', False, 'Check them and exit.')


class SignalHandler(Child):
    """Stops the process gracefully on a signal; a child of the root."""

    def __init__(self, context: Context, stop: Callable[[], None]) -> None:
        """Takes the function that stops the event loop."""
        super().__init__(channel='signals')
        self._context = context
        self._stop = stop
        self._until_s = 0.0
        context.request_stop = self.begin_stop

    @handler('signal', channel='*')
    def _on_signal(self, number: int, _frame: object) -> None:
        if self._context.is_stopping:
            logger.warning('second signal ({}): stopping at once', number)
            self.root.stop()
            return
        logger.info('signal {}: stopping gracefully', number)
        self.begin_stop()

    def begin_stop(self) -> None:
        """Begins a graceful stop; further calls have no effect."""
        context = self._context
        if context.is_stopping:
            return
        context.is_stopping = True
        self._until_s = context.clock() + context.settings.stop_within_s
        Ticker('stop', STOP_TICK_S, self._run_stop_steps).register(self)

    def _run_stop_steps(self) -> None:
        context = self._context
        now_s = context.clock()
        context.stop_steps = [
            step for step in context.stop_steps if not step(now_s)
        ]
        if not context.stop_steps or now_s >= self._until_s:
            self._announce_leave()
            self._stop()

    def _announce_leave(self) -> None:
        """Announces LEFT, so that peers need not detect a failure."""
        membership = self._context.membership
        if membership.me.state < MemberState.LEFT:
            self._context.send_all(membership.change_state(MemberState.LEFT))


def run_process(settings: ProcessSettings) -> int:
    """Runs one process until it is stopped; returns its exit code."""
    context = make_context(settings)
    try:
        root = build_root(context)
    except (UnknownNameError, RoleSettingsError) as error:
        return _fail(ResultCode.SETTINGS_FILE, str(error), EXIT_SETTINGS)
    except OSError as error:
        return _fail(ResultCode.PORT_IN_USE, str(error), EXIT_PORT)
    EPoll().register(root)
    SignalHandler(context, root.stop).register(root)
    logger.info('{} {} has started', settings.role, settings.name)
    root.run()
    root.release()
    return EXIT_RESTARTS if root.gave_up else EXIT_DONE


def _fail(code: ResultCode, detail: str, exit_code: int) -> int:
    logger.error('{:d} {}: {}', code, code.name, detail)
    return exit_code


def _run(_arguments: list[str]) -> int:
    loaded = load_process_settings(_SETTINGS.value)
    if isinstance(loaded, Refused):
        sys.stderr.write(f'{_SETTINGS.value}: {loaded.summary()}\n')
        return EXIT_SETTINGS
    settings: ProcessSettings = loaded.content
    if _CHECK.value:
        sys.stdout.write(f'{_SETTINGS.value}: in order\n')
        return EXIT_DONE
    set_up_logs(settings.name, settings.log_format, settings.log_level)
    return run_process(settings)


def main() -> None:
    """Runs the daemon; the entry point of the installed program."""
    flags.mark_flag_as_required('settings')
    app.run(_run)


if __name__ == '__main__':
    main()
