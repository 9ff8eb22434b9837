"""Replicated state machine of the configuration, the drained zones and the rollouts."""

import msgspec

from sassafrashook.base import StateMachine
from sassafrashook.rollouts import (
    AdvanceRollout,
    FinishRollout,
    Rollout,
    RolloutOutcome,
    RolloutTable,
    StartRollout,
)

__all__ = [
    "FleetState",
    "PutConfiguration",
    "SetZoneDrained",
    "decode_outcome",
    "encode_command",
]


class _Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of the commands in the consensus log."""


class PutConfiguration(_Command):
    """Replace the configuration, unless the current version is the same or higher.

    :param document: the operator's original document, compressed with zlib.
    :param configuration: the parsed configuration, encoded and compressed with zlib.
    """

    version: int
    document: bytes
    configuration: bytes


class SetZoneDrained(_Command):
    """Drain an availability zone, or put it back into service."""

    zone: str
    is_drained: bool


class CommandOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Whether a command changed the state.

    :param rollout: a :class:`~sassafrashook.rollouts.RolloutOutcome`, ``None`` for other commands.
    """

    changed: bool
    rollout: RolloutOutcome | None = None


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    version: int
    document: bytes
    configuration: bytes
    drained_zones: list[str]
    drain_index: int
    rollouts: list[Rollout] = []


_ROLLOUT_COMMANDS = (StartRollout, AdvanceRollout, FinishRollout)
_COMMAND_DECODER = msgspec.msgpack.Decoder(
    PutConfiguration | SetZoneDrained | StartRollout | AdvanceRollout | FinishRollout
)
_OUTCOME_DECODER = msgspec.msgpack.Decoder(CommandOutcome)


def encode_command(command):
    """Return the log entry of a command, ``bytes``."""
    return msgspec.msgpack.encode(command)


def decode_outcome(reply):
    """Return the :class:`CommandOutcome` encoded in a reply of :meth:`FleetState.apply`."""
    return _OUTCOME_DECODER.decode(reply)


class FleetState(StateMachine):
    """State that the controllers replicate through the consensus log.

    Only the latest configuration is kept, so the log can be truncated after any command.

    :ivar version_: version of the current configuration, 0 if there is none.
    :ivar document_: the operator's original document, compressed with zlib.
    :ivar configuration_: the encoded configuration, compressed with zlib.
    :ivar drained_zones_: availability zones that are drained.
    :ivar drain_index_: log index of the last change of ``drained_zones_``.
    :ivar rollouts_: the :class:`~sassafrashook.rollouts.RolloutTable`.

    >>> state = FleetState()
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
        self.rollouts_ = RolloutTable()

    def apply(self, index, command):
        """Apply one committed command.

        :param index: log index of the command.
        :param command: the log entry, ``bytes``.
        :returns: the encoded :class:`CommandOutcome`.
        """
        command = _COMMAND_DECODER.decode(command)
        if isinstance(command, _ROLLOUT_COMMANDS):
            outcome = self.rollouts_.apply(index, command)
            changed = outcome is RolloutOutcome.CHANGED
            return msgspec.msgpack.encode(CommandOutcome(changed, outcome))
        if isinstance(command, PutConfiguration):
            changed = self._put_configuration(command)
        else:
            changed = self._set_zone_drained(index, command)
        return msgspec.msgpack.encode(CommandOutcome(changed))

    def _put_configuration(self, command):
        if command.version <= self.version_:
            return False
        self.version_ = command.version
        self.document_ = command.document
        self.configuration_ = command.configuration
        return True

    def _set_zone_drained(self, index, command):
        if (command.zone in self.drained_zones_) == command.is_drained:
            return False
        self.drained_zones_ = self.drained_zones_ ^ {command.zone}
        self.drain_index_ = index
        return True

    def save(self):
        """Return a snapshot of the state, ``bytes``."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.version_,
                self.document_,
                self.configuration_,
                sorted(self.drained_zones_),
                self.drain_index_,
                self.rollouts_.list_all(),
            )
        )

    def restore(self, snapshot):
        """Replace the state by a snapshot of :meth:`save`."""
        saved = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self.version_ = saved.version
        self.document_ = saved.document
        self.configuration_ = saved.configuration
        self.drained_zones_ = frozenset(saved.drained_zones)
        self.drain_index_ = saved.drain_index
        self.rollouts_.restore(saved.rollouts)
