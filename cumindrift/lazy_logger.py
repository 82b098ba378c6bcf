"""The logger, loaded when it is first used: start time is service."""

from importlib import import_module
from typing import Any


class LazyLogger:
    """Stands for loguru's logger and imports it on the first call."""

    def __getattr__(self, name: str) -> Any:
        """Returns the method of loguru's logger."""
        return getattr(import_module('loguru').logger, name)


logger = LazyLogger()
