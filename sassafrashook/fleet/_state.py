"""What the controllers agree on: the desired state of the highest version, and evacuations."""

import msgspec

from sassafrashook.base import StateMachine

__all__ = [
    "FleetState",
    "PutDesiredState",
    "SetEvacuation",
    "decode_outcome",
    "encode_command",
]


class _Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of the commands."""


class PutDesiredState(_Command):
    """Put a desired state in force unless one of its version or a higher one is.

    :param document: the operator's document, compressed.
    :param desired: the decoded desired state, encoded and compressed.
    """

    version: int
    document: bytes
    desired: bytes


class SetEvacuation(_Command):
    """Take an availability zone out, or back."""

    zone: str
    is_out: bool


class CommandOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command changed anything."""

    changed: bool


class _Saved(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    desired: bytes
    evacuated: list[str]
    evacuation_index: int


_COMMANDS = msgspec.msgpack.Decoder(PutDesiredState | SetEvacuation)
_OUTCOMES = msgspec.msgpack.Decoder(CommandOutcome)


def encode_command(command):
    """Return the bytes of a command for the log."""
    return msgspec.msgpack.encode(command)


def decode_outcome(reply):
    """Return the :class:`CommandOutcome` that a reply holds."""
    return _OUTCOMES.decode(reply)


class FleetState(StateMachine):
    """The agreed state; it keeps one document, so that the log can be cut after any command.

    :ivar version_: version of the desired state in force, 0 if there is none.
    :ivar document_: the operator's document, compressed.
    :ivar desired_: the encoded desired state, compressed.
    :ivar evacuated_: availability zones that are out.
    :ivar evacuation_index_: log index of the last change of these.

    >>> state = FleetState()
    >>> put = encode_command(PutDesiredState(7, b"document", b"desired"))
    >>> decode_outcome(state.apply(1, put)).changed, decode_outcome(state.apply(2, put)).changed
    (True, False)
    """

    def __init__(self):
        self.version_ = 0
        self.document_ = b""
        self.desired_ = b""
        self.evacuated_ = frozenset()
        self.evacuation_index_ = 0

    def apply(self, index, command):
        """Apply one committed command."""
        command = _COMMANDS.decode(command)
        if isinstance(command, PutDesiredState):
            changed = self._put(command)
        else:
            changed = self._set_evacuation(index, command)
        return msgspec.msgpack.encode(CommandOutcome(changed))

    def _put(self, command):
        if command.version <= self.version_:
            return False
        self.version_ = command.version
        self.document_ = command.document
        self.desired_ = command.desired
        return True

    def _set_evacuation(self, index, command):
        if (command.zone in self.evacuated_) == command.is_out:
            return False
        self.evacuated_ = self.evacuated_ ^ {command.zone}
        self.evacuation_index_ = index
        return True

    def save(self):
        """Return the whole state."""
        return msgspec.msgpack.encode(
            _Saved(
                self.version_,
                self.document_,
                self.desired_,
                sorted(self.evacuated_),
                self.evacuation_index_,
            )
        )

    def restore(self, snapshot):
        """Replace the whole state."""
        saved = msgspec.msgpack.decode(snapshot, type=_Saved)
        self.version_ = saved.version
        self.document_ = saved.document
        self.desired_ = saved.desired
        self.evacuated_ = frozenset(saved.evacuated)
        self.evacuation_index_ = saved.evacuation_index
