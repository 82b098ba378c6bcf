"""Shortens the start of a node by replacing unused modules with stubs.

Imported first by a node. A node is restarted while there is traffic, and
clients wait until it serves. circuits imports process and thread pools, a
bridge between processes and a debugger; a node uses none of them, and they
take longer to import than the rest of circuits. circuits, attrs and
dataclasses also import modules that inspect source code or the platform, of
which they need little.
"""

import gc
import os
import sys
from collections.abc import Callable
from importlib import import_module
from signal import SIG_IGN, SIGHUP, signal
from types import (
    CodeType,
    FunctionType,
    MethodType,
    ModuleType,
    SimpleNamespace,
)
from typing import Any

# No handler is installed yet, and SIGHUP would end the process. Ignoring it is
# safe, since the settings are read later anyway.
signal(SIGHUP, SIG_IGN)
# Loaded modules stay in memory, so garbage collection during the start is
# wasted time.
gc.disable()


# Names of the modules that are replaced by a stub.
stubbed: set[str] = set()


def install_stub(name: str, **members: Any) -> None:
    """Installs a stub with `members` in place of a module."""
    if name in sys.modules:
        return
    module = ModuleType(name)
    for member, content in members.items():
        setattr(module, member, content)
    sys.modules[name] = module
    stubbed.add(name)


def remove_stubs(*names: str) -> None:
    """Removes stubs, so that the next import loads the real modules."""
    for name in stubbed.intersection(names):
        sys.modules.pop(name)


def declare_namespace(_name: str) -> None:
    """Does nothing: circuits is no namespace package here."""


def describe_process() -> SimpleNamespace:
    """Returns what `multiprocessing.current_process` gives a node."""
    return SimpleNamespace(pid=os.getpid(), name='MainProcess')


def list_members(owner: object) -> list[tuple[str, Any]]:
    """Returns names and values of an object's attributes."""
    missing = object()
    found = ((name, getattr(owner, name, missing)) for name in dir(owner))  # noqa: WPS421
    return [pair for pair in found if pair[1] is not missing]


def list_arguments(function: Any) -> tuple[list[str], None, None, None]:
    """Returns only the names of a function's positional arguments."""
    code: CodeType = function.__code__
    return list(code.co_varnames[: code.co_argcount]), None, None, None


def lazy_function(module_name: str, name: str) -> Callable[..., Any]:
    """Returns a function whose module is imported when it is called."""

    def call(*arguments: Any, **named: Any) -> Any:
        return getattr(import_module(module_name), name)(*arguments, **named)

    return call


install_stub(
    'inspect',
    getmembers=list_members,
    getfullargspec=list_arguments,
    ismethod=lambda found: isinstance(found, MethodType),
    isfunction=lambda found: isinstance(found, FunctionType),
    # dataclasses uses it for generated docstrings, which -OO removes anyway.
    signature=lambda _callable: '',
)
install_stub(
    'traceback',
    format_exc=lazy_function('traceback', 'format_exc'),
    format_tb=lazy_function('traceback', 'format_tb'),
)
install_stub('linecache', cache={})
install_stub(
    'platform',
    system=lambda: os.uname().sysname,
    python_implementation=lambda: 'CPython',
)
install_stub('uuid', uuid4=lazy_function('uuid', 'uuid4'))
# circuits' timers check for datetime objects; a node uses none.
install_stub('datetime', datetime=type('datetime', (), {}))
install_stub('pkg_resources', declare_namespace=declare_namespace)
install_stub('circuits.core.workers', Worker=None, task=None)
install_stub('circuits.core.bridge', Bridge=None, ipc=None)
install_stub('circuits.core.debugger', Debugger=None)
install_stub('circuits.core.loader', Loader=None)
# attrs creates a dozen classes for validators, which a node does not use.
install_stub('attr.validators')
install_stub('multiprocessing', Process=None, current_process=describe_process)

import dataclasses  # noqa: E402, F401

import attrs  # noqa: E402, F401
from circuits.core import pollers as _pollers  # noqa: E402, F401

# Later imports get the real modules.
remove_stubs(
    'inspect',
    'traceback',
    'linecache',
    'platform',
    'uuid',
    'datetime',
    'multiprocessing',
)
