"""CBOR codec for unions of attrs classes."""

import collections.abc
import functools
import io
import typing
import weakref

import cattrs
import cattrs.gen
import cattrs.preconf.cbor2
import cbor2

TAG = "_t"
"""Key under which the class name of a message is written."""

_BYTE_STRING, _ARRAY, _MAP = 2, 4, 5
"""Major types of CBOR, from RFC 8949."""

_SHORTEST_ARGUMENT, _LONGEST_ARGUMENT = 24, 27
"""Additional information of a head whose length follows in 1 to 8 bytes."""

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
        return cbor2.dumps(self._to_fields(message))

    def encode_slices(
        self,
        message: T,
        field: str,
        items: collections.abc.Sequence[collections.abc.Callable[[], bytes]],
    ) -> collections.abc.Iterator[bytes]:
        """Yields the bytes of one message with a long list, part by part.

        Args:
            message: The message; its list is empty.
            field: Name of the field with the list, of byte strings.
            items: Each returns an item when its part is asked for.

        Yields:
            Consecutive parts of what `encode` returns for the whole message.
        """
        fields = self._to_fields(message)
        buffer = io.BytesIO()
        encoder = cbor2.CBOREncoder(buffer)
        encoder.encode_length(_MAP, len(fields))
        for name, value in fields.items():
            encoder.encode(name)
            if name != field:
                encoder.encode(value)
                continue
            encoder.encode_length(_ARRAY, len(items))
            for make_item in items:
                item = make_item()
                encoder.encode_length(_BYTE_STRING, len(item))
                yield _take(buffer)
                yield item
        yield _take(buffer)

    def decode(self, data: bytes) -> T:
        """Reads one message.

        Raises:
            CodecError: The bytes are not a message of this codec.
        """
        try:
            return self._from_fields(cbor2.loads(data))
        except Exception as exc:
            raise CodecError(f"Not a known message: {exc!r}") from exc

    def decode_slices(
        self,
        data: bytes,
        field: str,
        take_item: collections.abc.Callable[[bytes], None],
    ) -> collections.abc.Generator[int, None, T]:
        """Reads one message with a long list, item by item.

        Args:
            data: What `encode` or `encode_slices` wrote.
            field: Name of the field with the list, of byte strings.
            take_item: Called with each item.

        Yields:
            Size in bytes of each item, once it is read.

        Returns:
            The message; its list is empty.

        Raises:
            CodecError: The bytes are not a message of this codec.
        """
        try:
            stream = io.BytesIO(data)
            decoder = cbor2.CBORDecoder(stream)
            fields = {}
            for _ in range(_read_length(stream, _MAP)):
                name = decoder.decode()
                if name != field:
                    fields[name] = decoder.decode()
                    continue
                for _ in range(_read_length(stream, _ARRAY)):
                    item = decoder.decode()
                    take_item(item)
                    yield len(item)
                fields[name] = ()
            return self._from_fields(fields)
        except Exception as exc:
            raise CodecError(f"Not a known message: {exc!r}") from exc

    def preparations(self) -> collections.abc.Iterator[Preparation]:
        """Yields calls that generate what no message needed so far."""
        for member in self._members.values():
            if member not in self._writers:
                yield functools.partial(self._make_writer, member)
            if member not in self._readers:
                yield functools.partial(self._make_reader, member)

    def _to_fields(self, message: T) -> dict[str, typing.Any]:
        member = self._sole or type(message)
        write = self._writers.get(member) or self._make_writer(member)
        fields: dict[str, typing.Any] = write(message)
        if self._sole is None:
            fields[TAG] = member.__name__
        return fields

    def _from_fields(self, fields: dict[str, typing.Any]) -> T:
        member = self._sole or self._members[fields.pop(TAG)]
        read = self._readers.get(member) or self._make_reader(member)
        return typing.cast(T, read(fields, member))

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


def _read_length(stream: io.BytesIO, major_type: int) -> int:
    """Reads the head of a CBOR value and returns its length.

    Raises:
        ValueError: The value has another type or no definite length.
    """
    [head] = stream.read(1)
    info = head & 0x1F
    if head >> 5 != major_type or info > _LONGEST_ARGUMENT:
        raise ValueError(f"unexpected head {head:#04x} of a value")
    if info < _SHORTEST_ARGUMENT:
        return info
    size = 1 << (info - _SHORTEST_ARGUMENT)
    return int.from_bytes(stream.read(size), "big")


def _take(buffer: io.BytesIO) -> bytes:
    """Empties a buffer and returns what it held."""
    data = buffer.getvalue()
    buffer.seek(0)
    buffer.truncate()
    return data


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
