"""What the controllers agree on: the configuration of the highest version and drained zones."""

import msgspec

from sassafrashook.base import StateMachine

__all__ = [
    "AgreedState",
    "PutConfiguration",
    "SetZoneDrained",
    "decode_outcome",
    "encode_command",
]


class _Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of the commands."""


class PutConfiguration(_Command):
    """Put a configuration in force unless one of its version or a higher one is.

    :param document: the operator's document, compressed.
    :param configuration: the decoded configuration, encoded and compressed.
    """

    version: int
    document: bytes
    configuration: bytes


class SetZoneDrained(_Command):
    """Take an availability zone out, or back."""

    zone: str
    is_out: bool


class CommandOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command changed anything."""

    changed: bool


class _Saved(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    configuration: bytes
    drained_zones: list[str]
    drain_index: int


_COMMANDS = msgspec.msgpack.Decoder(PutConfiguration | SetZoneDrained)
_OUTCOMES = msgspec.msgpack.Decoder(CommandOutcome)


def encode_command(command):
    """Return the bytes of a command for the log."""
    return msgspec.msgpack.encode(command)


def decode_outcome(reply):
    """Return the :class:`CommandOutcome` that a reply holds."""
    return _OUTCOMES.decode(reply)


class AgreedState(StateMachine):
    """The agreed state; it keeps one document, so that the log can be cut after any command.

    :ivar version_: version of the configuration in force, 0 if there is none.
    :ivar document_: the operator's document, compressed.
    :ivar configuration_: the encoded configuration, compressed.
    :ivar drained_zones_: availability zones that are out.
    :ivar drain_index_: log index of the last change of these.

    >>> state = AgreedState()
    >>> put = encode_command(PutConfiguration(7, b"document", b"configuration"))
    >>> decode_outcome(state.apply(1, put)).changed, decode_outcome(state.apply(2, put)).changed
    (True, False)
    """

    def __init__(self):
        self.version_ = 0
        self.document_ = b""
        self.configuration_ = b""
        self.drained_zones_ = frozenset()
        self.drain_index_ = 0

    def apply(self, index, command):
        """Apply one committed command."""
        command = _COMMANDS.decode(command)
        if isinstance(command, PutConfiguration):
            changed = self._put(command)
        else:
            changed = self._set_zone_drained(index, command)
        return msgspec.msgpack.encode(CommandOutcome(changed))

    def _put(self, command):
        if command.version <= self.version_:
            return False
        self.version_ = command.version
        self.document_ = command.document
        self.configuration_ = command.configuration
        return True

    def _set_zone_drained(self, index, command):
        if (command.zone in self.drained_zones_) == command.is_out:
            return False
        self.drained_zones_ = self.drained_zones_ ^ {command.zone}
        self.drain_index_ = index
        return True

    def save(self):
        """Return the whole state."""
        return msgspec.msgpack.encode(
            _Saved(
                self.version_,
                self.document_,
                self.configuration_,
                sorted(self.drained_zones_),
                self.drain_index_,
            )
        )

    def restore(self, snapshot):
        """Replace the whole state."""
        saved = msgspec.msgpack.decode(snapshot, type=_Saved)
        self.version_ = saved.version
        self.document_ = saved.document
        self.configuration_ = saved.configuration
        self.drained_zones_ = frozenset(saved.drained_zones)
        self.drain_index_ = saved.drain_index
