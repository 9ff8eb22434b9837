"""Deduplication of operator commands: a resend gets the reply of the first delivery."""

from hashlib import blake2b
from heapq import heapify, heappop, heappush

import msgspec

from sassafrashook.state._commands import Reply

__all__ = ["CommandDeduplicator", "CommandRecord"]

_ENCODER = msgspec.msgpack.Encoder()
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)
DIGEST_BYTES = 16


class CommandRecord(msgspec.Struct, frozen=True, array_like=True):
    """The reply to the first command with one command id.

    :param digest: digest of the command's identity fields, which don't include its deadline.
    :param reply: the encoded reply.
    :param expires_at_ms: when the record is removed, wall-clock milliseconds.
    """

    digest: bytes
    reply: bytes
    expires_at_ms: int


class CommandDeduplicator:
    """Replies by command id, each kept until a stored deadline.

    A command is refused once its own deadline has passed. Its record is kept for the clock skew
    margin longer, so a resend either gets the first reply or is refused.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    :ivar records_: :class:`CommandRecord` by command id.
    """

    def __init__(self, limits):
        self.limits = limits
        self._reset()

    def _reset(self):
        self.records_ = {}
        self._expiry_queue = []

    def find_reply(self, command):
        """Return the reply recorded for a command's id.

        :param command: an operator command, with ``command_id`` and ``list_identity_fields``.
        :returns: ``(is_known, reply)``; ``reply`` is ``None`` if the id was used for a different
            command.
        """
        record = self.records_.get(command.command_id)
        if record is None:
            return False, None
        if record.digest != _compute_digest(command):
            return True, None
        return True, _REPLY_DECODER.decode(record.reply)

    def find_refusal_reason(self, command, now_ms):
        """Return why a command that is not recorded is refused, or an empty string.

        :param command: an operator command.
        :param now_ms: replicated clock, in wall-clock milliseconds.
        """
        if not 0 < len(command.command_id) <= self.limits.max_key_chars:
            return "bad_command_id"
        if command.deadline_ms <= now_ms:
            return "deadline_passed"
        if command.deadline_ms > now_ms + self.limits.max_command_deadline_ahead_ms:
            return "deadline_too_far"
        if len(self.records_) >= self.limits.max_commands:
            return "too_many_commands"
        return ""

    def record_reply(self, command, reply):
        """Record the reply to the first delivery of a command."""
        assert command.command_id not in self.records_, "a command id was recorded twice"
        expires_at_ms = command.deadline_ms + self.limits.skew_margin_ms
        record = CommandRecord(_compute_digest(command), _ENCODER.encode(reply), expires_at_ms)
        self.records_[command.command_id] = record
        heappush(self._expiry_queue, (expires_at_ms, command.command_id))

    def expire(self, now_ms):
        """Remove the records whose stored deadlines have passed."""
        while self._expiry_queue and self._expiry_queue[0][0] <= now_ms:
            _, command_id = heappop(self._expiry_queue)
            del self.records_[command_id]

    def save(self):
        """Return rows of command id and record, sorted by command id."""
        return [[command_id, self.records_[command_id]] for command_id in sorted(self.records_)]

    def restore(self, rows):
        """Replace all records with rows from :meth:`save`."""
        self._reset()
        self.records_ = {
            command_id: msgspec.convert(row, CommandRecord) for command_id, row in rows
        }
        self._expiry_queue = [
            (record.expires_at_ms, command_id) for command_id, record in self.records_.items()
        ]
        heapify(self._expiry_queue)


def _compute_digest(command):
    return blake2b(
        _ENCODER.encode(command.list_identity_fields()), digest_size=DIGEST_BYTES
    ).digest()
