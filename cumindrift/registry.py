"""Registries filled by decorators, for behaviour that varies by name."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Entry = TypeVar('Entry')


class UnknownNameError(LookupError):
    """Raised when a registry has no entry of the given name."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(f'no {kind} {name!r}; known: {", ".join(known)}')


class Registry(Generic[Entry]):
    """Maps names to entries, which decorators register.

    Example::

        policies = Registry('placement policy')


        @policies.register('home-only')
        def place_home_only(choice): ...
    """

    def __init__(self, kind: str) -> None:
        """Creates an empty registry; `kind` is used in error messages."""
        self._kind = kind
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Returns a decorator that registers its argument as `name`.

        Raises ValueError if the name is already registered.
        """
        if name in self._entries:
            raise ValueError(f'{self._kind} {name!r} is registered twice')

        def add_entry(entry: Entry) -> Entry:
            self._entries[name] = entry
            return entry

        return add_entry

    def get(self, name: str) -> Entry:
        """Returns the entry of `name`; raises UnknownNameError if missing."""
        if name not in self._entries:
            raise UnknownNameError(self._kind, name, self.names())
        return self._entries[name]

    def names(self) -> list[str]:
        """Returns all names, sorted."""
        return sorted(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(sorted(self._entries.items()))
