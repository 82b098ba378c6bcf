"""Logs: one line an event, as text or JSON, at a bounded rate."""

import sys

from loguru import logger

_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process]} {message}'
)


def set_up_logs(process: str, log_format: str, level: str) -> None:
    """Sends logs to standard error; `log_format` is text or json."""
    logger.remove()
    logger.configure(extra={'process': process})
    logger.add(
        sys.stderr,
        format=_TEXT_FORMAT,
        level=level,
        serialize=log_format == 'json',
        backtrace=False,
        diagnose=False,
    )
