"""Outcomes of a call, distinguished by their type."""

from dataclasses import dataclass
from typing import Any

from cumindrift.code import ResultCode


@dataclass(frozen=True)
class Done:
    """The call succeeded; `content` is its result."""

    content: Any = None
    code: ResultCode = ResultCode.DONE


@dataclass(frozen=True)
class NotRun:
    """The call had no effect and will have none; it may be retried."""

    code: ResultCode
    detail: str = ''


@dataclass(frozen=True)
class Unknown:
    """The call may or may not have taken effect."""

    code: ResultCode
    detail: str = ''


@dataclass(frozen=True)
class Refused:
    """Input was refused; `path` is the place in the document."""

    code: ResultCode
    path: str = ''
    detail: str = ''

    def summary(self) -> str:
        """Returns one line with code, path and detail."""
        return f'{self.code:d} {self.code.name} at {self.path}: {self.detail}'


@dataclass(frozen=True)
class Dropped:
    """A packet or message was dropped and counted."""

    code: ResultCode


Outcome = Done | NotRun | Unknown | Refused | Dropped
