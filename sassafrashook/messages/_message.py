"""The base of everything that crosses a stream between two processes of the system."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of typed messages, encoded as arrays headed by the class name.

    Fields may only be appended, with defaults, so that two versions understand each other.
    """
