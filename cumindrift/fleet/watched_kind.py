"""The kinds of store objects that a balancer watches, and how."""

from collections.abc import Callable
from functools import partial

from attrs import define

from cumindrift.fleet.check_method import check_methods
from cumindrift.fleet.context import NodeContext
from cumindrift.fleet.copy_check import CopyCheck
from cumindrift.fleet.settings import NodeBounds
from cumindrift.fleet.watcher import KindWatcher, Objects
from cumindrift.registry import Registry

# Least time between lists that are requested outside the watch, for example
# to prove that a flow has no holder.
FULL_LIST_PERIOD_S = 1.0

# Puts a new copy of the objects in force.
Apply = Callable[[NodeContext, Objects], None]


@define(frozen=True, slots=True, eq=False, repr=False)
class CheckPlan:
    """How the watch of a kind is checked.

    Attributes:
        method: A name of `check_methods`.
        period_s: Returns the longest time between two checks.
        fresh_share: Returns the share of the checks, from 0 to 1, whose
            answer may not be seconds old.
    """

    method: str
    period_s: Callable[[NodeBounds], float]
    fresh_share: Callable[[NodeContext], float] = lambda _context: 0.0


@define(frozen=True, slots=True, eq=False, repr=False)
class WatchedKind:
    """How a balancer follows one kind.

    Attributes:
        apply: Puts a new copy of the objects in force.
        batch_delay_s: The least pause before the watch goes on after a change.
        check: How the watch is checked.
    """

    apply: Apply
    batch_delay_s: float
    check: CheckPlan


watched_kinds: Registry[WatchedKind] = Registry('watched kind')


def watches(
    kind: str, *, batch_delay_s: float, check: CheckPlan
) -> Callable[[Apply], Apply]:
    """Returns a decorator of the function that applies a kind's new copies.

    Example::

        @watches('config', batch_delay_s=0.3, check=CheckPlan('list', period_s))
        def apply_manifest(context, objects): ...
    """

    def register(apply: Apply) -> Apply:
        watched = WatchedKind(apply, batch_delay_s, check)
        watched_kinds.register(kind)(watched)
        return apply

    return register


def watch_kinds(context: NodeContext) -> None:
    """Adds the watcher of each kind, and its check."""
    for kind, watched in watched_kinds:
        context.watchers[kind] = KindWatcher(
            kind,
            partial(watched.apply, context),
            context.random,
            watched.batch_delay_s,
        )
        context.copy_checks[kind] = build_check(context, kind, watched.check)


def build_check(context: NodeContext, kind: str, plan: CheckPlan) -> CopyCheck:
    """Returns the check of a kind that is watched."""
    return CopyCheck(
        context.watchers[kind],
        check_methods.get(plan.method)(),
        lambda: plan.period_s(context.settings.bounds),
        partial(restart_watches, context, kind),
        partial(request_full_list, context, kind),
        context.random,
        partial(plan.fresh_share, context),
    )


def restart_watches(context: NodeContext, missed_kind: str) -> None:
    """Starts all watches again, since one of them has missed a change."""
    context.events.note_urgently(
        'change-missed',
        kind=missed_kind,
        as_of=context.watchers[missed_kind].version.as_of,
    )
    if context.link is not None:
        context.link.restart_watches('change missed')


def request_full_list(context: NodeContext, kind: str) -> None:
    """Lists a kind again instead of watching, at most once per period."""
    watcher = context.watchers[kind]
    listed_ago_s = context.clock() - watcher.version.listed_s
    is_recent = listed_ago_s < FULL_LIST_PERIOD_S
    if is_recent or not watcher.is_watching or context.link is None:
        return
    context.link.cancel_call(watcher)
    watcher.list_again()
    context.link.run_due()
