"""Messages that the streams themselves need."""

from sassafrashook.messages import Message

PROTOCOL_VERSION = 1


class Hello(Message):
    """First message on a connection.

    :param name: who opened it.
    :param recipient: whom it is meant for.
    """

    name: str
    recipient: str
    version: int = PROTOCOL_VERSION


class Ping(Message):
    """Asks the other side to show that the connection still carries bytes."""

    sequence: int


class Pong(Message):
    """Answers a :class:`Ping` on the same connection."""

    sequence: int


FRAMES = (Hello, Ping, Pong)
