"""Streams of bytes that an upstream sends on one connection."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["ResponseStream", "StreamEnd"]


class StreamEnd(StrEnum):
    """What happens to the connection after the last byte.

    :cvar CLOSED: the upstream closes it.
    :cvar RESET: it is reset, which the task that receives is told.
    :cvar RESET_WHILE_SENDING: it is reset, which only the task that sends the request is told. The
        task that receives can't tell this from ``CLOSED`` by its socket.
    :cvar SILENT: the upstream keeps it open and sends nothing more.
    """

    CLOSED = "closed"
    RESET = "reset"
    RESET_WHILE_SENDING = "reset_while_sending"
    SILENT = "silent"


@dataclass(slots=True, frozen=True)
class ResponseStream:
    """Bytes sent in response to one request.

    :param method: method of the request, ``str``.
    :param pieces: the bytes as they arrive, tuple of ``bytes``.
    :param end: a :class:`StreamEnd`.
    """

    method: str
    pieces: tuple[bytes, ...]
    end: StreamEnd

    @property
    def data(self):
        """All pieces, joined."""
        return b"".join(self.pieces)
