"""Imported first by a node: keeps what circuits loads at start small."""

import sys
from types import ModuleType


def declare_namespace(_name: str) -> None:
    """Does nothing: the package circuits is no name space here."""


def stand_in_for_setuptools() -> None:
    """Gives circuits the only function that it wants of pkg_resources.

    The real package takes longer to load than everything that a node does
    until it serves its first packet.
    """
    stand_in = ModuleType('pkg_resources')
    stand_in.declare_namespace = declare_namespace  # type: ignore[attr-defined]
    sys.modules.setdefault('pkg_resources', stand_in)


stand_in_for_setuptools()
