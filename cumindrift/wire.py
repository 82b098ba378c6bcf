"""Cap'n Proto encoding of the messages between processes."""

from collections.abc import Callable
from functools import partial
from importlib.resources import files
from itertools import starmap
from typing import Any, TypeVar

import capnp
from attrs import fields, has
from cattrs import Converter
from cattrs.gen import (
    make_dict_structure_fn,
    make_dict_unstructure_fn,
    override,
)

from cumindrift.registry import Registry

capnp.remove_import_hook()

Message = TypeVar('Message', bound=type)

TRAVERSAL_LIMIT_WORDS = 8 * 1024 * 1024


class WireError(ValueError):
    """Raised for bytes that are no message of their family."""


def _to_camel_case(name: str) -> str:
    head, *tail = name.split('_')
    return head + ''.join(part.title() for part in tail)


def _field_renames(cls: type) -> dict[str, Any]:
    return {
        attribute.name: override(rename=_to_camel_case(attribute.name))
        for attribute in fields(cls)
    }


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=False)
    converter.register_unstructure_hook_factory(
        has,
        lambda cls: make_dict_unstructure_fn(
            cls, converter, **_field_renames(cls)
        ),
    )
    converter.register_structure_hook_factory(
        has,
        lambda cls: make_dict_structure_fn(
            cls, converter, **_field_renames(cls)
        ),
    )
    # Keep bytes as they are: cattrs converts them to base-85 text by default.
    converter.register_unstructure_hook(bytes, bytes)
    # Cap'n Proto accepts plain numbers only, no enum members.
    converter.register_unstructure_hook(int, int)
    converter.register_unstructure_hook(bool, bool)
    converter.register_structure_hook(bytes, lambda raw, _: bytes(raw))
    return converter


_CONVERTER = _make_converter()


def encode_as_columns(
    cls: type,
    columns: tuple[str, ...],
    to_row: Callable[[Any], tuple[Any, ...]],
    from_row: Callable[..., Any],
) -> None:
    """Encodes tuples of `cls` in any message as one list per column.

    A list of numbers or texts is converted in one step; a list of structs is
    converted field by field, which takes more than ten times as long.
    """

    def is_tuple_of_cls(kind: Any) -> bool:
        return kind == tuple[cls, ...]

    def unstructure(rows: tuple[Any, ...]) -> dict[str, list[Any]]:
        lists = zip(*map(to_row, rows), strict=True) if rows else ()
        return dict(zip(columns, map(list, lists), strict=False))

    def structure(bare: dict[str, list[Any]], _: Any) -> tuple[Any, ...]:
        lists = [bare.get(column, ()) for column in columns]
        return tuple(starmap(from_row, zip(*lists, strict=True)))

    _CONVERTER.register_unstructure_hook_func(is_tuple_of_cls, unstructure)
    _CONVERTER.register_structure_hook_func(is_tuple_of_cls, structure)


class Family:
    """A schema file and the message classes of its union.

    The first octet of a frame is the number of the family. The decorator
    `message` adds a class as a field of the union.

    Example::

        traffic = Family(2, 'traffic.capnp', 'TrafficMessage')


        @traffic.message('recordAck')
        @define(frozen=True)
        class RecordAck: ...
    """

    def __init__(self, number: int, schema: str, union: str) -> None:
        """Loads the schema file from `cumindrift/schema`."""
        self.number = number
        path = files('cumindrift.schema').joinpath(schema)
        self._union = getattr(capnp.load(str(path)), union)
        self._classes: Registry[type] = Registry(f'message of {schema}')
        self._tags: dict[type, str] = {}
        families[number] = self

    def message(self, tag: str) -> Any:
        """Returns a decorator that adds an attrs class as field `tag`."""
        return partial(self._register, tag)

    def encode(self, message: Any) -> bytes:
        """Encodes a message; raises KeyError for a class not in the family."""
        tag = self._tags[type(message)]
        bare = _CONVERTER.unstructure(message)
        return self._union.new_message(**{tag: bare}).to_bytes()

    def decode(self, octets: bytes) -> Any:
        """Decodes a message; raises WireError if malformed."""
        try:
            with self._union.from_bytes(
                octets,
                traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            ) as reader:
                bare = reader.to_dict()
        except (capnp.KjException, ValueError) as error:
            raise WireError(str(error)) from error
        tag, content = bare.popitem()
        try:
            return _CONVERTER.structure(content, self._classes.get(tag))
        except (LookupError, TypeError, ValueError) as error:
            raise WireError(str(error)) from error

    def _register(self, tag: str, cls: Message) -> Message:
        self._tags[cls] = tag
        _family_by_class[cls] = self
        return self._classes.register(tag)(cls)


families: dict[int, Family] = {}
_family_by_class: dict[type, Family] = {}


def encode_frame(family: Family, message: Any) -> bytes:
    """Returns the frame of a message: family number and encoded message."""
    return bytes((family.number,)) + family.encode(message)


def encode_message(message: Any) -> bytes:
    """Returns the frame of a message, in the family of its class.

    Raises KeyError for a class without family.
    """
    return encode_frame(_family_by_class[type(message)], message)


def decode_frame(frame: bytes) -> Any:
    """Decodes a frame; raises WireError if malformed."""
    if not frame or frame[0] not in families:
        raise WireError('unknown message family')
    return families[frame[0]].decode(frame[1:])
