"""Base class of the messages that processes of the system exchange."""

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of typed messages, encoded as an array of the class name and the fields in order.

    For compatibility between versions, fields may only be appended, with default values.
    """

    @property
    def is_large(self):
        """Whether the message may be large, so that others to the same process pass it.

        Such messages keep their order among those of their class only.
        """
        return False
