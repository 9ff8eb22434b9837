"""Control messages of a connection: handshake and heartbeats."""

from sassafrashook.messages import Message

PROTOCOL_VERSION = 2
PARTS_PROTOCOL_VERSION = 2  # from this version on, a process reads messages in parts


class Hello(Message):
    """First message on a connection.

    :param sender: name of the process that opened the connection.
    :param recipient: name of the process that it expects to reach.
    :param version: protocol version of the sender.
    """

    sender: str
    recipient: str
    version: int = 1


class Ping(Message):
    """Heartbeat request.

    :param sequence: number that the :class:`Pong` repeats.
    """

    sequence: int


class Pong(Message):
    """Heartbeat response, sent on the connection that carried the :class:`Ping`.

    :param sequence: number of the ping.
    :param version: protocol version of the process that responds.
    """

    sequence: int
    version: int = 1


class MessagePart(Message):
    """Part of a message of which other messages are written in between.

    It is sent only on a connection whose other end has stated ``PARTS_PROTOCOL_VERSION``.

    :param lane: identifies the message among those that are being sent on the connection.
    :param is_first: whether the message begins with this part.
    :param is_last: whether the message ends with this part.
    :param data: part of the encoded message.
    """

    lane: str
    is_first: bool
    is_last: bool
    data: bytes


CONTROL_MESSAGES = (Hello, MessagePart, Ping, Pong)
