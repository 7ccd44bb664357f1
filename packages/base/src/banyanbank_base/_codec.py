"""CBOR codec for unions of attrs classes."""

import collections.abc
import functools
import typing
import weakref

import cattrs
import cattrs.gen
import cattrs.preconf.cbor2
import cbor2

TAG = "_t"
"""Key under which the class name of a message is written."""

T = typing.TypeVar("T")

Preparation = collections.abc.Callable[[], object]
"""Call that does ahead of time what the first message of a kind would do."""


class CodecError(Exception):
    """Bytes could not be read as a message of the codec's union."""


class Codec(typing.Generic[T]):
    """Encodes members of a closed union of attrs classes as CBOR.

    A member is written as a map of its fields with its class name under `_t`.
    What reads or writes a member is generated with its first message: a
    process uses few of them at its start, and generating all takes time.

    Args:
        members: The attrs classes that may be written and read.
        sparse: Those of them that are written without fields at their default,
            so that peers of an earlier release can read them.
    """

    def __init__(self, *members: type, sparse: tuple[type, ...] = ()) -> None:
        self._members = {member.__name__: member for member in members}
        self._sole = members[0] if len(members) == 1 else None
        self._sparse = frozenset(sparse)
        self._writers: dict[type, typing.Callable[..., typing.Any]] = {}
        self._readers: dict[type, typing.Callable[..., typing.Any]] = {}
        _CODECS.add(self)

    def encode(self, message: T) -> bytes:
        """Returns the CBOR bytes of one message."""
        member = self._sole or type(message)
        write = self._writers.get(member) or self._make_writer(member)
        fields = write(message)
        if self._sole is None:
            fields[TAG] = member.__name__
        return cbor2.dumps(fields)

    def decode(self, data: bytes) -> T:
        """Reads one message.

        Raises:
            CodecError: The bytes are not a message of this codec.
        """
        try:
            fields = cbor2.loads(data)
            member = self._sole or self._members[fields.pop(TAG)]
            read = self._readers.get(member) or self._make_reader(member)
            return typing.cast(T, read(fields, member))
        except Exception as exc:
            raise CodecError(f"Not a known message: {exc!r}") from exc

    def preparations(self) -> collections.abc.Iterator[Preparation]:
        """Yields calls that generate what no message needed so far."""
        for member in self._members.values():
            if member not in self._writers:
                yield functools.partial(self._make_writer, member)
            if member not in self._readers:
                yield functools.partial(self._make_reader, member)

    def _make_writer(self, member: type) -> typing.Callable[..., typing.Any]:
        if member not in self._members.values():
            raise TypeError(f"{member.__name__} is no member of this codec.")
        converter = _make_converter(self._sparse)
        writer = converter.get_unstructure_hook(member)
        self._writers[member] = writer
        return writer

    def _make_reader(self, member: type) -> typing.Callable[..., typing.Any]:
        reader = _make_converter(self._sparse).get_structure_hook(member)
        self._readers[member] = reader
        return reader


_CODECS: weakref.WeakSet[Codec[typing.Any]] = weakref.WeakSet()


def codec_preparations() -> collections.abc.Iterator[Preparation]:
    """Yields the preparations of all codecs of the process."""
    for codec in list(_CODECS):
        yield from codec.preparations()


@functools.cache
def _make_converter(sparse: frozenset[type]) -> cattrs.Converter:
    """Returns the converter of all codecs with these sparse members."""
    converter = cattrs.preconf.cbor2.make_converter(forbid_extra_keys=True)
    converter.register_unstructure_hook_factory(
        lambda kind: isinstance(kind, type) and kind in sparse,
        lambda member: cattrs.gen.make_dict_unstructure_fn(
            member, converter, _cattrs_omit_if_default=True
        ),
    )
    return converter
