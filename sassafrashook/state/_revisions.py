"""Configuration, drained zones and quarantine, versioned by one revision number."""

from hashlib import blake2b

import msgspec

from sassafrashook.configuration import Configuration, FleetState
from sassafrashook.state._commands import CommandOutcome, ConfigurationReply, RegistryReply

__all__ = ["RevisionRegister", "digest_document"]

_CONFIGURATION_DECODER = msgspec.json.Decoder(Configuration)
DIGEST_BYTES = 16


class RevisionRegister:
    """Compare-and-set register of what routers act on; each change increments the revision.

    An operator's change names the revision that it is based on, which must be between
    ``operator_revision_`` and the current revision. A quarantine also increments the revision, but
    since it leaves ``operator_revision_`` as it is, it never causes an operator's change to
    conflict.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    :ivar revision_: current revision.
    :ivar operator_revision_: revision of the last change by an operator.
    :ivar last_command_id_: command id of the last change by an operator.
    :ivar document_: the configuration document, JSON; empty before the first one.
    :ivar drained_zones_: names of the drained availability zones.
    :ivar quarantined_: end of the quarantine, wall-clock milliseconds, by fingerprint.
    """

    def __init__(self, limits):
        self.limits = limits
        self.revision_ = 0
        self.operator_revision_ = 0
        self.last_command_id_ = ""
        self.document_ = b""
        self.drained_zones_ = set()
        self.quarantined_ = {}
        self._fleet_state = None

    def apply_configuration(self, command):
        """Replace the configuration document if no operator changed anything since.

        :param command: an :class:`~sassafrashook.state.ApplyConfiguration`.
        :returns: a :class:`~sassafrashook.state.ConfigurationReply`.
        """
        if not self._matches_revision(command.expected_revision):
            return self._build_conflict()
        if not 0 < len(command.document) <= self.limits.max_document_bytes:
            return self._refuse("document_size")
        self.document_ = command.document
        return self._accept_change(command)

    def set_zone(self, command):
        """Drain an availability zone, or restore it.

        :param command: a :class:`~sassafrashook.state.SetZone`.
        :returns: a :class:`~sassafrashook.state.ConfigurationReply`.
        """
        if command.expected_revision >= 0 and not self._matches_revision(command.expected_revision):
            return self._build_conflict()
        if not 0 < len(command.zone) <= self.limits.max_key_chars:
            return self._refuse("zone_name")
        if command.drained and not self._can_drain(command.zone):
            return self._refuse("too_many_zones")
        if command.drained:
            self.drained_zones_.add(command.zone)
        else:
            self.drained_zones_.discard(command.zone)
        return self._accept_change(command)

    def quarantine(self, command, now_ms):
        """Quarantine a fingerprint until a deadline.

        :param command: a :class:`~sassafrashook.state.QuarantineFingerprint`.
        :param now_ms: replicated clock, in wall-clock milliseconds.
        :returns: a :class:`~sassafrashook.state.RegistryReply`.
        """
        if not 0 <= command.fingerprint < 2**64:
            return RegistryReply(CommandOutcome.REFUSED, "bad_fingerprint")
        if command.deadline_ms <= now_ms:
            return RegistryReply(CommandOutcome.REFUSED, "deadline_passed")
        deadline_ms = min(command.deadline_ms, now_ms + self.limits.max_command_deadline_ahead_ms)
        previous_ms = self.quarantined_.get(command.fingerprint)
        self.quarantined_[command.fingerprint] = max(deadline_ms, previous_ms or 0)
        if previous_ms is None:
            self._evict_quarantined()
            self._increment_revision()
        return RegistryReply(CommandOutcome.ACCEPTED)

    def expire(self, now_ms):
        """Remove the quarantines whose stored deadlines have passed."""
        expired = [f for f, deadline_ms in self.quarantined_.items() if deadline_ms <= now_ms]
        for fingerprint in expired:
            del self.quarantined_[fingerprint]
        if expired:
            self._increment_revision()

    def get_fleet_state(self):
        """Return the current :class:`~sassafrashook.configuration.FleetState`.

        :raises msgspec.DecodeError: if this program can't decode the committed document.
        """
        if self._fleet_state is None:
            self._fleet_state = FleetState(
                self.revision_,
                _CONFIGURATION_DECODER.decode(self.document_) if self.document_ else None,
                sorted(self.drained_zones_),
                sorted(self.quarantined_),
            )
        return self._fleet_state

    def save(self):
        """Return one row with the whole register."""
        return [
            self.revision_,
            self.operator_revision_,
            self.last_command_id_,
            self.document_,
            sorted(self.drained_zones_),
            sorted(self.quarantined_.items()),
        ]

    def restore(self, row):
        """Replace the register with a row from :meth:`save`."""
        (
            self.revision_,
            self.operator_revision_,
            self.last_command_id_,
            self.document_,
            zones,
            quarantined,
        ) = row
        self.drained_zones_ = set(zones)
        self.quarantined_ = dict(quarantined)
        self._fleet_state = None

    def _matches_revision(self, expected_revision):
        return self.operator_revision_ <= expected_revision <= self.revision_

    def _accept_change(self, command):
        self._increment_revision()
        self.operator_revision_ = self.revision_
        self.last_command_id_ = command.command_id
        return ConfigurationReply(CommandOutcome.ACCEPTED, self.revision_)

    def _build_conflict(self):
        return ConfigurationReply(CommandOutcome.CONFLICT, self.revision_, self.last_command_id_)

    def _refuse(self, reason):
        return ConfigurationReply(CommandOutcome.REFUSED, self.revision_, reason=reason)

    def _increment_revision(self):
        self.revision_ += 1
        self._fleet_state = None

    def _can_drain(self, zone):
        return (
            zone in self.drained_zones_ or len(self.drained_zones_) < self.limits.max_drained_zones
        )

    def _evict_quarantined(self):
        if len(self.quarantined_) > self.limits.max_quarantined:
            earliest = min(self.quarantined_, key=lambda f: (self.quarantined_[f], f))
            del self.quarantined_[earliest]


def digest_document(document):
    """Return the BLAKE2b digest of an encoded document, hexadecimal."""
    return blake2b(document, digest_size=DIGEST_BYTES).hexdigest()
