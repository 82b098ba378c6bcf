"""Hooks of behave: quiet logs, and a fresh scenario state."""

from loguru import logger


def before_all(context):
    """Silences logs; failures are told by steps."""
    logger.remove()
