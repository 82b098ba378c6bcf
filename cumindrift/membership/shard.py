"""Sharded maps: immutable maps whose successors share unchanged parts."""

from collections.abc import Iterator, Mapping
from typing import TypeVar

Key = TypeVar('Key')
Value = TypeVar('Value')

SHARD_COUNT = 256


class ShardedMap(Mapping[Key, Value]):
    """An immutable map; used by views for members and services.

    A successor copies only the shards that changed, so hundreds of views of
    thousands of members need little more memory than one.

    Example::

        first = ShardedMap().updated({1: 'a', 2: 'b'})
        second = first.updated({2: None})  # without the key 2
    """

    __slots__ = ('_length', '_shards')

    def __init__(
        self,
        shards: tuple[dict[Key, Value], ...] | None = None,
        length: int = 0,
    ) -> None:
        """Makes an empty map; use `updated` to fill it."""
        self._shards = shards or tuple({} for _ in range(SHARD_COUNT))
        self._length = length

    def updated(
        self,
        changes: Mapping[Key, Value | None],
    ) -> 'ShardedMap[Key, Value]':
        """Returns a map with the changes; None removes a key."""
        shards = list(self._shards)
        touched: dict[int, dict[Key, Value]] = {}
        length = self._length
        for key, value in changes.items():
            number = hash(key) % SHARD_COUNT
            if number not in touched:
                shards[number] = dict(shards[number])
                touched[number] = shards[number]
            shard = touched[number]
            length -= len(shard)
            if value is None:
                shard.pop(key, None)
            else:
                shard[key] = value
            length += len(shard)
        return ShardedMap(tuple(shards), length)

    def __getitem__(self, key: Key) -> Value:
        return self._shards[hash(key) % SHARD_COUNT][key]

    def __contains__(self, key: object) -> bool:
        return key in self._shards[hash(key) % SHARD_COUNT]

    def __iter__(self) -> Iterator[Key]:
        for shard in self._shards:
            yield from shard

    def __len__(self) -> int:
        return self._length
