"""Encoding and decoding of log entries, commands and replies."""

import msgspec

from sassafrashook.state._commands import Command, Envelope, Reply

__all__ = ["STATE_VERSION", "decode_command", "decode_envelope", "decode_reply", "encode_command"]

STATE_VERSION = 1

_ENVELOPE_DECODER = msgspec.msgpack.Decoder(Envelope)
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)


def encode_command(command, now_ms, version=STATE_VERSION):
    """Encode a command for the log.

    :param command: one of the :data:`~sassafrashook.state._commands.Command` types.
    :param now_ms: the proposer's wall clock, milliseconds.
    :param version: state version that the command requires.
    :returns: the encoded :class:`Envelope`, ``bytes``.
    """
    body = msgspec.msgpack.encode(command)
    return msgspec.msgpack.encode(Envelope(version, now_ms, body))


def decode_envelope(data):
    """Decode a log entry.

    :returns: an :class:`Envelope`, or ``None`` if the entry is malformed.
    """
    return _decode(_ENVELOPE_DECODER, data)


def decode_command(data):
    """Decode the command in an envelope's body.

    :returns: a command, or ``None`` if its type is unknown or it is malformed.
    """
    return _decode(_COMMAND_DECODER, data)


def decode_reply(data):
    """Decode the reply to a command.

    :raises msgspec.DecodeError: if it is malformed.
    """
    return _REPLY_DECODER.decode(data)


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
