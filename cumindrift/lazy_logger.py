"""A logger that imports loguru on first use, for a fast process start."""

from importlib import import_module
from typing import Any


class LazyLogger:
    """Proxy for loguru's logger, which is imported on the first use."""

    def __getattr__(self, name: str) -> Any:
        """Returns the method of loguru's logger."""
        return getattr(import_module('loguru').logger, name)


logger = LazyLogger()
