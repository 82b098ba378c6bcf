"""Invariants of the product, asserted inside the program."""

from typing import Any

from attrs import define

from cumindrift.lazy_logger import logger
from cumindrift.metric import VIOLATIONS


class InvariantError(AssertionError):
    """Tells that an invariant is violated; raised in strict mode only."""


@define(slots=True)
class _Mode:
    is_strict: bool = False


_MODE = _Mode()


def enable_strict_mode() -> None:
    """Makes violations fatal, as tests and randomised runs want them."""
    _MODE.is_strict = True


def require(holds: bool, invariant: str, **trace: Any) -> None:
    """Counts and logs a violated invariant with its trace.

    `invariant` is a short fixed name, since it labels a metric. Raises
    InvariantError in strict mode; a process that serves goes on.
    """
    if holds:
        return
    VIOLATIONS.labels(invariant).inc()
    logger.error('invariant {} is violated: {}', invariant, trace)
    if _MODE.is_strict:
        raise InvariantError(f'{invariant}: {trace}')
