"""Registries that decorators fill, for behaviour that varies."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Entry = TypeVar('Entry')


class UnknownNameError(LookupError):
    """Tells that a registry holds no entry of the wanted name."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(f'no {kind} {name!r}; known: {", ".join(known)}')


class Registry(Generic[Entry]):
    """Maps names to entries; every module with varying behaviour has one.

    Example::

        policies = Registry('placement policy')


        @policies.register('home-only')
        def place_home_only(choice): ...
    """

    def __init__(self, kind: str) -> None:
        """Makes an empty registry; `kind` is used in error texts."""
        self._kind = kind
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Returns a decorator that files its argument under `name`.

        Raises ValueError when the name is taken.
        """
        if name in self._entries:
            raise ValueError(f'{self._kind} {name!r} is registered twice')

        def file_entry(entry: Entry) -> Entry:
            self._entries[name] = entry
            return entry

        return file_entry

    def get(self, name: str) -> Entry:
        """Returns the entry of `name`; raises UnknownNameError."""
        if name not in self._entries:
            raise UnknownNameError(self._kind, name, self.names())
        return self._entries[name]

    def names(self) -> list[str]:
        """Returns all names in order."""
        return sorted(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[tuple[str, Entry]]:
        return iter(sorted(self._entries.items()))
