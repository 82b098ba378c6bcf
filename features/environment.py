"""Hooks of behave: quiet logs, and a fresh scenario state."""

from loguru import logger

from cumindrift.invariant import enable_strict_mode


def before_all(context):
    """Silences logs and makes violated invariants fatal."""
    logger.remove()
    enable_strict_mode()
