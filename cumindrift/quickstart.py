"""Imported first by a node: keeps what circuits loads at start small.

A node is restarted in the middle of traffic, and until it serves, clients
wait. circuits loads pools of processes and threads, a bridge between
processes and a debugger with its core; a node uses none of them, and they
take longer to load than the rest of circuits. It, attrs and dataclasses also
load what reads source code and describes machines, of which they use little.
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

# The settings are read later anyway, and nobody takes the signal yet.
signal(SIGHUP, SIG_IGN)
# Everything that is loaded stays, so looking for garbage meanwhile is lost.
gc.disable()


# The modules that something small stands for.
stubbed: set[str] = set()


def install_stub(name: str, **members: Any) -> None:
    """Puts a small module in place of one that nothing here uses."""
    if name in sys.modules:
        return
    module = ModuleType(name)
    for member, content in members.items():
        setattr(module, member, content)
    sys.modules[name] = module
    stubbed.add(name)


def remove_stubs(*names: str) -> None:
    """Forgets the modules that stood in place of others."""
    for name in stubbed.intersection(names):
        sys.modules.pop(name)


def declare_namespace(_name: str) -> None:
    """Does nothing: the package circuits is no name space here."""


def describe_process() -> SimpleNamespace:
    """Describes the process of a node, which starts no others."""
    return SimpleNamespace(pid=os.getpid(), name='MainProcess')


def list_members(owner: object) -> list[tuple[str, Any]]:
    """Returns the attributes of an object by name, those that it has."""
    missing = object()
    found = ((name, getattr(owner, name, missing)) for name in dir(owner))  # noqa: WPS421
    return [pair for pair in found if pair[1] is not missing]


def list_arguments(function: Any) -> tuple[list[str], None, None, None]:
    """Returns the names of a function's positional arguments, and no more."""
    code: CodeType = function.__code__
    return list(code.co_varnames[: code.co_argcount]), None, None, None


def lazy_function(module_name: str, name: str) -> Callable[..., Any]:
    """Returns a function that loads its module when it is called."""

    def call(*arguments: Any, **named: Any) -> Any:
        return getattr(import_module(module_name), name)(*arguments, **named)

    return call


install_stub(
    'inspect',
    getmembers=list_members,
    getfullargspec=list_arguments,
    ismethod=lambda found: isinstance(found, MethodType),
    isfunction=lambda found: isinstance(found, FunctionType),
    # A text for readers, which -OO leaves out anyway.
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
# Timers compare with it; no node has one that ends at a time of day.
install_stub('datetime', datetime=type('datetime', (), {}))
install_stub('pkg_resources', declare_namespace=declare_namespace)
install_stub('circuits.core.workers', Worker=None, task=None)
install_stub('circuits.core.bridge', Bridge=None, ipc=None)
install_stub('circuits.core.debugger', Debugger=None)
install_stub('circuits.core.loader', Loader=None)
# attrs makes a dozen classes for validators, which no node has.
install_stub('attr.validators')
install_stub('multiprocessing', Process=None, current_process=describe_process)

import dataclasses  # noqa: E402, F401

import attrs  # noqa: E402, F401
from circuits.core import pollers as _pollers  # noqa: E402, F401

# Whoever wants the real ones later gets them.
remove_stubs(
    'inspect',
    'traceback',
    'linecache',
    'platform',
    'uuid',
    'datetime',
    'multiprocessing',
)
