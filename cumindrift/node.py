"""The daemon for the users' platform; runs one balancer or agent."""

from cumindrift import quickstart as _quickstart  # isort: split

import gc
import os
import sys
from time import monotonic

from attrs import define, field
from circuits.core.pollers import EPoll

from cumindrift.code import ResultCode
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.lifecycle import Lifecycle
from cumindrift.fleet.supervisor import build_fleet
from cumindrift.outcome import Done, Refused
from cumindrift.platform.node_file import PATH_VARIABLE, read_node_file
from cumindrift.steering.page import serve_pages
from cumindrift.steering.role import load_role
from cumindrift.supervision import ChildSpec, Supervisor

EXIT_DONE = 0
EXIT_SETTINGS = 2
EXIT_PORT = 3
EXIT_RESTARTS = 4
# Imported for its side effects, before circuits.
QUICKSTART = _quickstart


@define(slots=True, eq=False, repr=False)
class SettingsFile:
    """The settings file; `text` is the content read last."""

    path: str
    text: str = ''
    context: NodeContext | None = field(default=None)

    def read(self) -> Done | Refused:
        """Reads and parses the file; code 600 if it cannot be read."""
        try:
            with open(self.path, encoding='utf-8') as file:  # noqa: PTH123
                self.text = file.read()
        except (OSError, UnicodeDecodeError) as error:
            return Refused(ResultCode.SETTINGS_FILE, self.path, str(error))
        return read_node_file(self.text)

    def reload(self) -> None:
        """Applies the file if it has changed; a malformed one has no effect."""
        known = self.text
        outcome = self.read()
        events = self.context.events
        if isinstance(outcome, Refused):
            self.text = known
            events.note(
                'settings-refused',
                code=int(outcome.code),
                path=outcome.path,
                detail=outcome.detail,
            )
        elif self.text != known:
            is_taken = self.context.apply_settings(outcome.content.settings)
            events.note_urgently('settings-reloaded', is_taken=is_taken)


def build_node(context: NodeContext, file: SettingsFile) -> Supervisor:
    """Returns a node's root supervisor; restart strategy one-for-one."""
    build_steering = load_role(context.settings.role)(context)
    return Supervisor(
        'root',
        [
            ChildSpec('steering', build_steering),
            ChildSpec('fleet', lambda: build_fleet(context)),
            ChildSpec('pages', lambda: serve_pages(context)),
            ChildSpec('lifecycle', lambda: Lifecycle(context, file.reload)),
        ],
    )


def run_node(context: NodeContext, file: SettingsFile) -> int:
    """Runs one node until it is stopped; returns its exit code."""
    settings = context.settings
    file.context = context
    try:
        root = build_node(context, file)
    except OSError as error:
        context.events.note_urgently(
            'node-failed',
            code=int(ResultCode.PORT_IN_USE),
            detail=str(error),
        )
        context.events.flush()
        return EXIT_PORT
    EPoll().register(root)
    gc.freeze()
    gc.enable()
    context.events.note_urgently(
        'node-started',
        role=settings.role,
        ip=settings.ip,
        data_centre=settings.data_centre,
        is_first_start=context.is_first_start,
        took_s=round(monotonic() - STARTED_S, 3),
    )
    root.run()
    root.release()
    context.events.flush()
    return EXIT_RESTARTS if root.gave_up else EXIT_DONE


def main() -> int:
    """Runs the node that the settings file describes."""
    os.set_blocking(1, False)
    file = SettingsFile(os.environ.get(PATH_VARIABLE, ''))
    outcome = file.read()
    if isinstance(outcome, Refused):
        sys.stderr.write(f'{outcome.summary()}\n')
        return EXIT_SETTINGS
    start = outcome.content
    return run_node(NodeContext(start.settings, start.is_first), file)


STARTED_S = monotonic()

if __name__ == '__main__':
    sys.exit(main())
