"""Validation of the sender and recipient of incoming messages."""

from dataclasses import dataclass

from sassafrashook.consensus._messages import (
    ConsensusMessage,
    DepartureRequested,
    IdentityAnnounced,
    IdentityConfirmed,
    IdentityQueried,
    VoteRequested,
)

# Messages that replicas send before they are members, or after that.
OUTSIDER_MESSAGES = (DepartureRequested, IdentityAnnounced, IdentityConfirmed, IdentityQueried)

__all__ = ["MessageValidationMixin"]

BOOT_SILENCE_HEARTBEATS = 3  # silence of a process start before a newer one is accepted


@dataclass(slots=True)
class _AcceptedBoot:
    """The process start of a peer whose messages are accepted.

    :param boot: number of process starts on the peer's data folder.
    :param boot_id: unique id of the process start.
    :param last_contact_at: time of its last accepted message, seconds.
    """

    boot: int
    boot_id: str
    last_contact_at: float


class MessageValidationMixin:
    """Rejects messages of other groups, unknown identities and copied data folders."""

    _message_types = ConsensusMessage

    def _start_validation(self):
        self._boots = {}

    def _validate_message(self, message, now):
        """Return the reason to reject a message, or ``None`` if it is accepted.

        An accepted message updates the accepted process start of its sender. A vote request from an
        unknown identity is rejected, but may count as an announcement of that identity.
        """
        if message.group != self.group:
            return "wrong_group"
        if message.recipient not in ("", self.identity):
            self._record_if_removed(message, now)
            return "wrong_recipient"
        if message.identity == self.identity:
            return "duplicate_identity"
        if message.identity in self.lost_identities_:
            return "lost_identity"
        if not self._is_known_sender(message):
            self._record_if_removed(message, now)
            return "unknown_identity"
        return self._check_boot(message, now)

    def _record_if_removed(self, message, now):
        """Take a vote request of an unknown identity as an announcement.

        It may name an earlier identity of this host, since a replica that was removed doesn't learn
        of disks that were replaced later.
        """
        if isinstance(message, VoteRequested) and not self._is_known_sender(message):
            self._record_removed_replica(message, now)

    def _is_known_sender(self, message):
        if isinstance(message, OUTSIDER_MESSAGES):
            return True
        if any(member.identity == message.identity for member in self._list_members_in_force()):
            return True
        return message.configuration_index > self.configuration_index_

    def _check_boot(self, message, now):
        """Accept a newer process start on a data folder once the previous one is silent.

        Two processes that send at the same time run on copies of one data folder.
        """
        accepted = self._boots.get(message.identity)
        if accepted is None or accepted.boot_id == message.boot_id:
            self._boots[message.identity] = _AcceptedBoot(message.boot, message.boot_id, now)
            return None
        if message.boot < accepted.boot:
            return "stale_boot"
        silent_from = accepted.last_contact_at + BOOT_SILENCE_HEARTBEATS * self.heartbeat_s_
        if message.boot == accepted.boot or now < silent_from:
            return "duplicate_identity"
        self._boots[message.identity] = _AcceptedBoot(message.boot, message.boot_id, now)
        self._restart_transmission(message.identity, now)
        return None
