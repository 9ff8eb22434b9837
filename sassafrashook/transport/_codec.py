"""Encodes messages as msgpack and decodes them with type checks."""

import msgpack
import msgspec

MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class CodecError(ValueError):
    """Received bytes are not a known message; the connection must be closed."""


class UnknownMessageError(CodecError):
    """A message of a class that this build does not know, probably sent by a newer one."""


class Codec:
    """Encodes and decodes a fixed set of message classes.

    :param message_types: tuple of subclasses of :class:`~sassafrashook.messages.Message`.

    :raises CodecError: from :meth:`decode` and :meth:`decode_chunk`.

    See also :class:`Mesh`.

    >>> from sassafrashook.messages import PermitWithdrawn
    >>> codec = Codec((PermitWithdrawn,))
    >>> codec.decode(codec.encode(PermitWithdrawn(7)))
    PermitWithdrawn(request_id=7)
    """

    def __init__(self, message_types):
        self.message_types = message_types
        self._types_by_tag = {message_type.__name__: message_type for message_type in message_types}

    def encode(self, message):
        """Return the encoded bytes of one message."""
        return msgpack.packb(msgspec.to_builtins(message, builtin_types=(bytes,)))

    def decode(self, data):
        """Return the message encoded in ``data``."""
        try:
            value = msgpack.unpackb(data)
        except (ValueError, msgpack.UnpackException) as error:
            raise CodecError(f"cannot decode msgpack: {error}") from error
        return self._convert(value)

    def make_unpacker(self):
        """Return an incremental unpacker for the bytes of one connection."""
        return msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def decode_chunk(self, unpacker, data, on_unknown=None):
        """Add received bytes and yield each message that they complete.

        :param unpacker: the connection's unpacker, from :meth:`make_unpacker`.
        :param data: bytes received from the connection.
        :param on_unknown: called with the :class:`UnknownMessageError` of each message of an
            unknown class, which is then left out; ``None`` to raise it.
        :raises CodecError: if the bytes are no known message, or more than ``MAX_MESSAGE_BYTES``
            are buffered.
        """
        try:
            unpacker.feed(data)
            for value in unpacker:
                try:
                    message = self._convert(value)
                except UnknownMessageError as error:
                    if on_unknown is None:
                        raise
                    on_unknown(error)
                else:
                    yield message
        except (ValueError, msgpack.UnpackException) as error:
            if isinstance(error, CodecError):
                raise
            raise CodecError(f"cannot decode msgpack: {error}") from error

    def _convert(self, value):
        if not isinstance(value, list) or not value or not isinstance(value[0], str):
            raise CodecError("a message must be an array whose first element is its type name")
        message_type = self._types_by_tag.get(value[0])
        if message_type is None:
            raise UnknownMessageError(f"unknown message type {value[0][:64]!r}")
        try:
            return msgspec.convert(value, message_type)
        except msgspec.ValidationError as error:
            raise CodecError(f"invalid {value[0]}: {error}") from error
