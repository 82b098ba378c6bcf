"""Tagged outcomes: what a call came to, told apart by their type."""

from dataclasses import dataclass
from typing import Any

from cumindrift.code import ResultCode


@dataclass(frozen=True)
class Done:
    """The call did what was asked; `content` is what it gave."""

    content: Any = None
    code: ResultCode = ResultCode.DONE


@dataclass(frozen=True)
class NotRun:
    """Nothing happened, and nothing will: the call may be tried again."""

    code: ResultCode
    detail: str = ''


@dataclass(frozen=True)
class Unknown:
    """The call may or may not have taken effect."""

    code: ResultCode
    detail: str = ''


@dataclass(frozen=True)
class Refused:
    """Settings were refused; `path` names the place in the document."""

    code: ResultCode
    path: str = ''
    detail: str = ''

    def summary(self) -> str:
        """Returns one line for a person: code, path and detail."""
        return f'{self.code:d} {self.code.name} at {self.path}: {self.detail}'


@dataclass(frozen=True)
class Dropped:
    """A packet or message was dropped and counted."""

    code: ResultCode


Outcome = Done | NotRun | Unknown | Refused | Dropped
