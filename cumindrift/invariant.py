"""Checks of the system's invariants at run time."""

from typing import Any

from attrs import define

from cumindrift.lazy_logger import logger
from cumindrift.metric import VIOLATIONS


class InvariantError(AssertionError):
    """Raised for a violated invariant, in strict mode only."""


@define(slots=True)
class _Mode:
    is_strict: bool = False


_MODE = _Mode()


def enable_strict_mode() -> None:
    """Makes violations raise, for tests and randomised runs."""
    _MODE.is_strict = True


def require(holds: bool, invariant: str, **trace: Any) -> None:
    """Counts and logs an invariant that does not hold, with its context.

    `invariant` is a short constant name, since it is a metric label. In
    strict mode raises InvariantError; otherwise the process continues.
    """
    if holds:
        return
    VIOLATIONS.labels(invariant).inc()
    logger.error('invariant {} is violated: {}', invariant, trace)
    if _MODE.is_strict:
        raise InvariantError(f'{invariant}: {trace}')
