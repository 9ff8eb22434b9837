"""Which messages a replica accepts."""

from dataclasses import dataclass

from sassafrashook.consensus._messages import ConsensusMessage, IdentityAnnounced, VoteRequested

__all__ = ["AdmissionMixin"]

BOOT_OVERLAP_HEARTBEATS = 3


@dataclass(slots=True)
class _KnownBoot:
    """The start of a peer's process that its messages are accepted from."""

    boot: int
    boot_id: str
    heard_at: float


class AdmissionMixin:
    """Refuses messages of foreign groups, unknown identities and copied data folders."""

    _message_types = ConsensusMessage

    def _start_admission(self):
        self._boots = {}

    def _find_refusal(self, message, now):
        """Return why a message is refused, or ``None``."""
        if message.group != self.group:
            return "wrong_group"
        if message.recipient not in ("", self.identity):
            return "wrong_recipient"
        if message.identity == self.identity:
            return "duplicate_identity"
        if not self._is_known(message):
            if isinstance(message, VoteRequested):
                self._note_stranger(message, now)
            return "unknown_identity"
        return self._check_boot(message, now)

    def _is_known(self, message):
        if isinstance(message, IdentityAnnounced):
            return True
        if any(member.identity == message.identity for member in self.configuration_):
            return True
        return message.configuration_index > self.configuration_index_

    def _check_boot(self, message, now):
        """Let a newer start of a folder's process in once the older one has fallen silent."""
        known = self._boots.get(message.identity)
        if known is None or known.boot_id == message.boot_id:
            self._boots[message.identity] = _KnownBoot(message.boot, message.boot_id, now)
            return None
        if message.boot < known.boot:
            return "stale_boot"
        silent_at = known.heard_at + BOOT_OVERLAP_HEARTBEATS * self.heartbeat_s_
        if message.boot == known.boot or now < silent_at:
            return "duplicate_identity"
        self._boots[message.identity] = _KnownBoot(message.boot, message.boot_id, now)
        return None
