"""Control messages of a connection: handshake and heartbeats."""

from sassafrashook.messages import Message

PROTOCOL_VERSION = 1


class Hello(Message):
    """First message on a connection.

    :param sender: name of the process that opened the connection.
    :param recipient: name of the process that it expects to reach.
    :param version: protocol version of the sender.
    """

    sender: str
    recipient: str
    version: int = PROTOCOL_VERSION


class Ping(Message):
    """Heartbeat request.

    :param sequence: number that the :class:`Pong` repeats.
    """

    sequence: int


class Pong(Message):
    """Heartbeat response, sent on the connection that carried the :class:`Ping`.

    :param sequence: number of the ping.
    """

    sequence: int


CONTROL_MESSAGES = (Hello, Ping, Pong)
