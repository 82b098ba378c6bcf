"""Imported first by a node: keeps what circuits loads at start small.

A node is restarted in the middle of traffic, and until it serves, clients
wait. circuits loads pools of processes and threads, a bridge between
processes and a debugger with its core; a node uses none of them, and they
take longer to load than the rest of circuits.
"""

import gc
import os
import sys
from types import ModuleType, SimpleNamespace
from typing import Any

# Everything that is loaded stays, so looking for garbage meanwhile is lost.
gc.disable()


def stand_in(name: str, **members: Any) -> None:
    """Puts a small module in place of one that nothing here uses."""
    module = ModuleType(name)
    for member, content in members.items():
        setattr(module, member, content)
    sys.modules.setdefault(name, module)


def declare_namespace(_name: str) -> None:
    """Does nothing: the package circuits is no name space here."""


def lone_process() -> SimpleNamespace:
    """Describes the process of a node, which starts no others."""
    return SimpleNamespace(pid=os.getpid(), name='MainProcess')


stand_in('pkg_resources', declare_namespace=declare_namespace)
stand_in('circuits.core.workers', Worker=None, task=None)
stand_in('circuits.core.bridge', Bridge=None, ipc=None)
stand_in('circuits.core.debugger', Debugger=None)
stand_in('circuits.core.loader', Loader=None)
# attrs makes a dozen classes for validators, which no node has.
stand_in('attr.validators')
stand_in('multiprocessing', Process=None, current_process=lone_process)

import circuits  # noqa: E402, F401

# Whoever wants the real one later gets it.
sys.modules.pop('multiprocessing')
