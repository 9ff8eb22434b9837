"""First outcomes of operator commands, remembered for resends."""

from hashlib import blake2b
from heapq import heapify, heappop, heappush

import msgspec

from sassafrashook.state._commands import Reply

__all__ = ["CommandMemory", "RememberedCommand"]

_ENCODER = msgspec.msgpack.Encoder()
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)
DIGEST_BYTES = 16


class RememberedCommand(msgspec.Struct, frozen=True, array_like=True):
    """The first outcome of one command id.

    :param digest: digest of what the command asked for, its deadline left out.
    :param reply: the encoded reply.
    :param forget_ms: stored deadline of the memory.
    """

    digest: bytes
    reply: bytes
    forget_ms: int


class CommandMemory:
    """Outcomes by command id, each until a stored deadline.

    A command is refused once its own deadline has passed, and it is remembered for the skew margin
    longer, so a resend either meets its first outcome or is refused.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self._reset()

    def _reset(self):
        self.commands_ = {}
        self._queue = []

    def recall(self, command):
        """Return the first outcome of a command.

        :returns: ``(known, reply)``; ``reply`` is ``None`` when the id was used for another
            command.
        """
        remembered = self.commands_.get(command.command_id)
        if remembered is None:
            return False, None
        if remembered.digest != _digest(command):
            return True, None
        return True, _REPLY_DECODER.decode(remembered.reply)

    def find_refusal(self, command, now_ms):
        """Return why a command that is not remembered can't be taken, or an empty string."""
        if not 0 < len(command.command_id) <= self.limits.max_key_chars:
            return "bad_command_id"
        if command.deadline_ms <= now_ms:
            return "deadline_passed"
        if command.deadline_ms > now_ms + self.limits.command_horizon_ms:
            return "deadline_too_far"
        if len(self.commands_) >= self.limits.max_commands:
            return "too_many_commands"
        return ""

    def remember(self, command, reply):
        """Store the first outcome of a command."""
        assert command.command_id not in self.commands_, "a command id has two first outcomes"
        forget_ms = command.deadline_ms + self.limits.skew_margin_ms
        remembered = RememberedCommand(_digest(command), _ENCODER.encode(reply), forget_ms)
        self.commands_[command.command_id] = remembered
        heappush(self._queue, (forget_ms, command.command_id))

    def expire(self, now_ms):
        """Forget the commands whose stored deadlines have passed."""
        while self._queue and self._queue[0][0] <= now_ms:
            _, command_id = heappop(self._queue)
            del self.commands_[command_id]

    def save(self):
        """Return the memory as sorted rows."""
        return [[name, self.commands_[name]] for name in sorted(self.commands_)]

    def restore(self, rows):
        """Replace the memory by rows from :meth:`save`."""
        self._reset()
        self.commands_ = {name: msgspec.convert(row, RememberedCommand) for name, row in rows}
        self._queue = [(row.forget_ms, name) for name, row in self.commands_.items()]
        heapify(self._queue)


def _digest(command):
    return blake2b(_ENCODER.encode(command.identify()), digest_size=DIGEST_BYTES).digest()
