"""Typed messages as msgpack, and back with their types checked."""

import msgpack
import msgspec

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class CodecError(ValueError):
    """Bytes from a peer are not a known message; the connection can't go on."""


class Codec:
    """Encodes and decodes a closed set of message classes.

    :param message_types: the classes, subclasses of :class:`~sassafrashook.messages.Message`.

    :raises CodecError: from :meth:`decode` and :meth:`feed`.

    See also :class:`Mesh`.

    >>> from sassafrashook.messages import PermitWithdrawn
    >>> codec = Codec((PermitWithdrawn,))
    >>> codec.decode(codec.encode(PermitWithdrawn(7)))
    PermitWithdrawn(request_id=7)
    """

    def __init__(self, message_types):
        self.message_types = message_types
        self._types_by_tag = {kind.__name__: kind for kind in message_types}

    def encode(self, message):
        """Return one message as bytes."""
        return msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def decode(self, data):
        """Return the message that the bytes hold."""
        try:
            value = msgpack.unpackb(data)
        except (ValueError, msgpack.UnpackException) as error:
            raise CodecError(f"not msgpack: {error}") from error
        return self._convert(value)

    def make_unpacker(self):
        """Return the buffer that one connection's bytes are fed into."""
        return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(self, unpacker, data):
        """Yield the messages that are complete once the bytes were added.

        :param unpacker: what :meth:`make_unpacker` returned.
        :param data: bytes received.
        """
        try:
            unpacker.feed(data)
            for value in unpacker:
                yield self._convert(value)
        except (ValueError, msgpack.UnpackException) as error:
            if isinstance(error, CodecError):
                raise
            raise CodecError(f"not msgpack: {error}") from error

    def _convert(self, value):
        if not isinstance(value, list) or not value or not isinstance(value[0], str):
            raise CodecError("a message must be an array headed by its name")
        kind = self._types_by_tag.get(value[0])
        if kind is None:
            raise CodecError(f"unknown message {value[0][:64]!r}")
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            raise CodecError(f"bad {value[0]}: {error}") from error
